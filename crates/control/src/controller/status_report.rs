//! What the owner tells operators of its state.

use super::Controller;
use crate::status::{RoleStatus, Status, by_service};
use lugwharf_protocol::{ServerEntry, ServerState};
use std::collections::BTreeSet;
use std::time::Duration;

/// The name of the list reader's role.
const LIST_READER: &str = "list_reader";

impl Controller {
    /// What `GET /status` tells.
    pub(super) fn status(&self) -> Status {
        let now = self.now();
        let replica = self.replica.status();
        let entries = self.tables.servers().entries();
        Status {
            node: self.settings.node.clone(),
            address: self.local_address,
            uptime_ms: millis(now),
            view: replica.view,
            members: replica.members,
            chain: replica.chain,
            learners: replica.learners,
            standby: self.replica.has_standby(),
            position: replica.position,
            member: replica.is_member,
            serving: replica.is_serving,
            in_touch: replica.has_quorum && !self.pause_detector.is_contact_in_doubt(now),
            disk_well: replica.disk_healthy,
            config_version: replica.committed_version.unwrap_or(0),
            roles: vec![self.list_reader(now)],
            servers: self.tables.servers().len(),
            services: by_service(entries, &self.changing()),
            live_proxies: self.tables.live_proxies(),
            agents: self.agent_registry.report(now, self.tables.servers().position(), &self.commit_history),
        }
    }

    /// What `GET /metrics` tells.
    pub(super) fn metrics_text(&self) -> String {
        self.metrics.render(&self.status(), self.tables.servers().entries())
    }

    fn list_reader(&self, now: Duration) -> RoleStatus {
        let known = self.elector.known_holder();
        RoleStatus {
            role: LIST_READER,
            holder: known.map(|holder| holder.address),
            token: known.map(|holder| holder.token.0),
            held_ms: known.map(|_| millis(now.saturating_sub(self.known_holder_since))),
            held_here: self.elector.held_lease(now).is_some(),
        }
    }

    /// Ids of the servers that this process has told to change their stage, or is about to.
    fn changing(&self) -> BTreeSet<String> {
        let entries = self.tables.servers().entries().cloned();
        let mut shown: Vec<ServerEntry> =
            entries.map(|entry| ServerEntry { state: ServerState::Ready, ..entry }).collect();
        self.stage_planner.overlay(&mut shown);
        let changing = shown.into_iter().filter(|entry| entry.state == ServerState::Draining);
        changing.map(|entry| entry.id).collect()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
