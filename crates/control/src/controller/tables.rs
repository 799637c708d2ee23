//! The tables of a control process: who asks for what, and how control processes keep each other's up to date.

use super::Controller;
use crate::message::{PeerMessage, TablesMessage};
use crate::pulls::{Frame, ReplyContext};
use lugwharf_chain as chain;
use lugwharf_distribution::PROVISIONAL_EPOCH;
use lugwharf_election as election;
use lugwharf_protocol::{AgentRequest, ServerEntry, TablePosition, Update, VersionVector};
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// How often each control process tells the others what it has. What the holder of a role changes is told at once; this
/// finds what was lost on the way.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// How long this process leaves the list reader's role to the others: several election rounds. If nobody takes it
/// meanwhile, nobody else can.
const REST: Duration = Duration::from_millis(1_500);

impl Controller {
    /// Takes a pull of an agent in.
    pub(super) fn pull(&mut self, request: AgentRequest, reply: oneshot::Sender<Frame>) {
        let now = self.now();
        let (node, incarnation, have, wait_ms, loads) = match request {
            AgentRequest::Pull { node, incarnation, have, wait_ms, loads } => {
                (node, incarnation, have, wait_ms, loads)
            }
            AgentRequest::Announce { control } => return self.receive_announcement(&control, reply),
        };
        self.census.record_heartbeat(&node, incarnation, now);
        self.agent_registry.record_pull(now, &node, have);
        self.fleet_load.record_agent(now, &node, loads);
        self.pending_pulls.add(now, node, have, wait_ms, reply);
        self.serve_pulls();
    }

    /// A process that takes this one for a seed without a replica has named control processes.
    fn receive_announcement(&mut self, control: &[SocketAddr], reply: oneshot::Sender<Frame>) {
        self.learn_announced_processes(control);
        let processes =
            self.process_directory.all(self.now(), self.local_address, &self.replica.status().members);
        let context = ReplyContext { in_touch: false, control: self.agent_addresses(&processes) };
        // Without an answer the link is closed.
        if let Some(frame) = context.encode(Update::default()) {
            drop(reply.send(frame));
        }
    }

    /// Answers the pulls for which there is something.
    pub(super) fn serve_pulls(&mut self) {
        let replica = self.replica.status();
        let now = self.now();
        let processes = self.process_directory.all(now, self.local_address, &replica.members);
        let in_touch = self.serves_agents(now, &replica);
        let context = ReplyContext { in_touch, control: self.agent_addresses(&processes) };
        let served = self.pending_pulls.serve(now, &self.tables, &context);
        self.metrics.record_pulls(served.updated, served.unchanged);
        for (node, version) in served.configs {
            info!("config", kv: { outcome = "pulled", version, to = node.as_str() });
        }
    }

    /// Whether agents may rely on this process; else they are told to ask another one.
    pub(super) fn serves_agents(&self, now: Duration, replica: &chain::ReplicaStatus) -> bool {
        replica.has_quorum && !self.pause_detector.is_contact_in_doubt(now) && self.shutdown.is_none()
    }

    /// The agent addresses of control processes.
    pub(super) fn agent_addresses(&self, processes: &[SocketAddr]) -> Vec<SocketAddr> {
        let port = self.settings.internal_ports().agent;
        processes.iter().map(|process| SocketAddr::new(process.ip(), port)).collect()
    }

    /// The control processes that are told what this one has.
    fn audience(&self, now: Duration) -> Vec<SocketAddr> {
        self.process_directory.audience(now, self.local_address, &self.replica.status().members)
    }

    /// Tells the others what this process has, now and then.
    pub(super) fn exchange(&mut self) {
        let now = self.now();
        let is_due = self.last_exchange_at.is_none_or(|last| now.saturating_sub(last) >= EXCHANGE_INTERVAL);
        if !is_due || self.current_view == 0 {
            return;
        }
        self.report_to_peers(now);
    }

    /// Tells the others what this process has.
    fn report_to_peers(&mut self, now: Duration) {
        self.last_exchange_at = Some(now);
        self.update_live_proxies(now);
        let fronts = self.census.live_count(now);
        let status = self.replica.status();
        let processes = match status.is_member {
            true => self.process_directory.all(now, self.local_address, &status.members),
            false => Vec::new(),
        };
        let have = TablesMessage::Have {
            vector: self.tables.vector(),
            fronts,
            loads: self.fleet_load.local_sum(now),
            reaches: self.platform_reachability.may_be_reachable(now),
            processes,
        };
        let audience = self.audience(now);
        self.peer_transport.send_all(&audience, PeerMessage::Tables(have));
    }

    /// Members count the fronts of all control processes. A follower knows its own alone, so that it takes a member's total.
    fn update_live_proxies(&mut self, now: Duration) {
        let counted = self.census.total(now);
        let status = self.replica.status();
        let total = match status.is_member {
            true => counted,
            false => self.process_directory.live_proxies(now, &status.members),
        };
        self.tables.set_live_proxies(total);
    }

    /// Takes over what another control process says of its tables.
    pub(super) fn tables_message(&mut self, from: SocketAddr, message: TablesMessage) {
        match message {
            TablesMessage::Have { vector, fronts, loads, reaches, processes } => {
                let now = self.now();
                self.platform_reachability.record_peer_report(now, from, reaches);
                self.census.record_peer_count(from, fronts, now);
                self.fleet_load.record_peer(now, from, loads);
                self.learn_processes_of_member(now, from, &processes);
                self.process_directory.record_live_proxies(now, from, vector.live_proxies);
                if let Some(update) = self.server_update_for(vector) {
                    self.peer_transport.send(from, PeerMessage::Tables(TablesMessage::Update(update)));
                }
            }
            TablesMessage::Update(update) => match self.tables.apply(&update) {
                Ok(true) => self.serve_pulls(),
                Ok(false) => {}
                Err(error) => debug!("servers", kv: { outcome = "refused", from: = from, error: = error }),
            },
        }
    }

    /// A follower hears members alone; they name the others to it. Members rely on what they hear themselves, so that no
    /// process is kept listed by hearsay that goes round.
    fn learn_processes_of_member(&mut self, now: Duration, from: SocketAddr, processes: &[SocketAddr]) {
        let status = self.replica.status();
        if !status.is_member && status.members.contains(&from) {
            self.process_directory.record_named(now, processes);
        }
    }

    /// The list of servers as far as a peer lacks it. Configurations come to it as committed by the replica, and the
    /// number of proxies it counts itself.
    fn server_update_for(&self, have: VersionVector) -> Option<Update> {
        if self.tables.servers().position().epoch == PROVISIONAL_EPOCH {
            return None;
        }
        let servers = self.tables.servers().delta_since(have.servers)?;
        let vector = VersionVector { servers: servers.position, ..VersionVector::default() };
        Some(Update { vector, servers: Some(servers), ..Update::default() })
    }

    /// Whether there is no list of servers at all.
    pub(super) fn needs_initial_list(&self) -> bool {
        self.tables.servers().position() == TablePosition::default()
    }

    /// Takes over a list that was read without the role: for the agents that pull from here, until the holder's comes.
    /// After a start of the whole core that is a second sooner than an election allows.
    pub(super) fn initial_list_read(&mut self, entries: Vec<ServerEntry>) {
        if self.needs_initial_list() && self.tables.servers_mut().replace(PROVISIONAL_EPOCH, entries).is_ok()
        {
            self.serve_pulls();
        }
    }

    /// Takes a listing over and brings it to everybody.
    pub(super) fn list_read(&mut self, epoch: u64, entries: Vec<ServerEntry>) {
        let holds = self.elector.held_lease(self.now()).is_some_and(|lease| lease.token.0 == epoch);
        if !holds {
            return;
        }
        self.metrics.list_reads.inc();
        self.platform_reachability.record_success();
        let now = self.now();
        self.stage_planner.observe(&entries);
        self.plan_stages(now, &entries);
        let mut entries = entries;
        self.stage_planner.overlay(&mut entries);
        let before = self.tables.vector();
        match self.tables.servers_mut().replace(epoch, entries) {
            Ok(true) => {
                self.serve_pulls();
                let audience = self.audience(now);
                if let Some(update) = self.server_update_for(before) {
                    self.peer_transport
                        .send_all(&audience, PeerMessage::Tables(TablesMessage::Update(update)));
                }
            }
            Ok(false) => {}
            Err(error) => warn!("list", kv: { outcome = "late", error: = error }),
        }
    }

    /// The list could not be read. If that lasts, another process gets the role, as long as one may do better.
    pub(super) fn list_read_failed(&mut self, epoch: u64, should_step_down: bool) {
        self.metrics.list_failures.inc();
        let now = self.now();
        let holds = self.elector.held_lease(now).is_some_and(|lease| lease.token.0 == epoch);
        if !holds || !should_step_down {
            return;
        }
        let mut others = self.replica.status().members;
        others.retain(|member| *member != self.local_address);
        if !self.platform_reachability.any_peer_may_reach(now, &others) {
            debug!("role", kv: { role = "list_reader", outcome = "kept", token = epoch });
            return;
        }
        warn!("role", kv: { role = "list_reader", outcome = "handed_on", token = epoch });
        self.metrics.stand_downs.inc();
        self.platform_reachability.record_failure(now);
        // Before the role is vacant, so that it does not come back here before all others have tried.
        self.report_to_peers(now);
        self.elect(election::Event::StepDown { backoff: REST });
    }
}
