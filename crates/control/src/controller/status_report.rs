//! Collects the status and the metrics of this process for operators.

use super::Controller;
use super::millis;
use crate::status::{Status, by_service};

impl Controller {
    /// Returns the response to `GET /status`.
    pub(super) fn status(&self) -> Status {
        let now = self.now();
        let replica = self.replica.status();
        let servers = self.tables.servers();
        let is_held_here = self.elector.held_lease(now).is_some();
        let known_holder = self.elector.known_holder();
        Status {
            node: self.settings.node.clone(),
            address: self.local_address,
            uptime_ms: millis(now),
            view: replica.view_number,
            members: replica.members,
            chain: replica.chain,
            learners: replica.learners,
            standby: self.replica.has_ready_learner(),
            position: replica.chain_position,
            member: replica.is_member,
            serving: replica.is_serving,
            has_quorum: replica.has_quorum && !self.pause_detector.is_contact_uncertain(now),
            disk_healthy: replica.disk_healthy,
            config_version: replica.committed_version.unwrap_or(0),
            roles: vec![self.list_watcher_role.status(now, known_holder, is_held_here)],
            servers: servers.len(),
            services: by_service(
                servers.entries(),
                &self.stage_planning.changing_server_ids(servers.entries()),
            ),
            live_proxies: self.tables.live_proxies(),
            agents: self.agent_registry.report(now, servers.position(), &self.commit_history),
        }
    }

    /// Returns the response to `GET /metrics`.
    pub(super) fn metrics_text(&self) -> String {
        self.metrics.update_and_encode(&self.status(), self.tables.servers().entries())
    }
}
