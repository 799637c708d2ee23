//! Requests on the agent port: pulls from agents, and announcements from other control processes.

use super::Controller;
use crate::pulls::{ReplyContext, ReplyFrame, SentConfig};
use crate::reply::send_reply;
use lugwharf_chain as chain;
use lugwharf_protocol::{AgentRequest, Update};
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

impl Controller {
    /// Handles a request on the agent port.
    pub(super) fn handle_agent_request(&mut self, request: AgentRequest, reply: oneshot::Sender<ReplyFrame>) {
        let now = self.now();
        let (node, incarnation, have, wait_ms, loads) = match request {
            AgentRequest::Pull { node, incarnation, have, wait_ms, loads } => {
                (node, incarnation, have, wait_ms, loads)
            }
            AgentRequest::Announce { control } => return self.receive_announcement(&control, reply),
        };
        self.live_nodes.record_heartbeat(&node, incarnation, now);
        self.agent_registry.record_pull(now, &node, have);
        self.fleet_load.record_agent(now, &node, loads);
        self.pending_pulls.add(now, node, have, wait_ms, reply);
        self.serve_pulls();
    }

    /// Handles an announcement from a control process that considers this process a seed without a
    /// replica. The reply reports no quorum, so that the sender does not rely on its tables.
    fn receive_announcement(&mut self, control: &[SocketAddr], reply: oneshot::Sender<ReplyFrame>) {
        self.contact_announced_processes(control);
        let members = self.replica.status().members;
        let processes = self.process_directory.all(self.now(), self.local_address, &members);
        let context = ReplyContext { has_quorum: false, control: self.control_agent_addresses(&processes) };
        // If the reply can't be encoded, the connection is closed.
        if let Some(frame) = context.encode(Update::default()) {
            send_reply(reply, frame);
        }
    }

    /// Replies to the pulls whose deadline has passed or for which there is something newer.
    pub(super) fn serve_pulls(&mut self) {
        let replica = self.replica.status();
        let now = self.now();
        let processes = self.process_directory.all(now, self.local_address, &replica.members);
        let has_quorum = self.may_serve_agents(now, &replica);
        let context = ReplyContext { has_quorum, control: self.control_agent_addresses(&processes) };
        let served = self.pending_pulls.serve(now, &self.tables, &context);
        self.metrics.record_pulls(served.updated, served.unchanged);
        for SentConfig { node, version } in served.configs {
            info!("config", kv: { outcome = "pulled", version, to = node.as_str() });
        }
    }

    /// Whether agents may rely on this process. If not, its replies make them follow another process.
    fn may_serve_agents(&self, now: Duration, replica: &chain::ReplicaStatus) -> bool {
        replica.has_quorum && !self.pause_detector.is_contact_uncertain(now) && self.shutdown.is_none()
    }

    /// Converts the peer addresses of control processes to their agent addresses. All hosts use the same
    /// ports.
    pub(super) fn control_agent_addresses(&self, processes: &[SocketAddr]) -> Vec<SocketAddr> {
        let port = self.settings.internal_ports().agent;
        processes.iter().map(|process| SocketAddr::new(process.ip(), port)).collect()
    }
}
