//! The exchange with the other control processes: each process reports every 500 ms which versions it has,
//! and is sent the changes that it lacks.
//!
//! Changes of the server list are sent immediately ([`Controller::handle_list_read`]). The exchange sends
//! them again if they were lost. A change that arrives after a lost one is not applied, but answered by a
//! report at once ([`super::gap_recovery`]).

use super::Controller;
use crate::message::{PeerMessage, TablesMessage};
use lugwharf_distribution::ApplyError;
use lugwharf_protocol::{TablePosition, Update, VersionVector};
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// The interval between two reports to the other control processes.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

impl Controller {
    /// Returns the control processes that this process reports to.
    pub(super) fn report_recipients(&self, now: Duration) -> Vec<SocketAddr> {
        let members = self.replica.status().members;
        self.process_directory.report_recipients(now, self.local_address, &members)
    }

    /// Reports to the other control processes if a report is due. Without a view no other process is known.
    pub(super) fn report_if_due(&mut self) {
        let now = self.now();
        if self.report_schedule.is_due(now) && self.views.current() > 0 {
            self.report_to_peers(now);
        }
    }

    /// Reports the state of this process to the other control processes.
    pub(super) fn report_to_peers(&mut self, now: Duration) {
        self.report_schedule.record(now);
        self.update_live_proxies(now);
        let report = PeerMessage::Tables(self.report(now));
        let recipients = self.report_recipients(now);
        self.peer_transport.send_all(&recipients, report);
    }

    /// Returns the report of this process to other control processes.
    fn report(&self, now: Duration) -> TablesMessage {
        let front_count = self.live_nodes.live_count(now);
        let status = self.replica.status();
        let processes = match status.is_member {
            true => self.process_directory.all(now, self.local_address, &status.members),
            false => Vec::new(),
        };
        let have = self.tables.version_vector();
        let servers = self.gap_recovery.reported_position(have.servers);
        TablesMessage::Report {
            vector: VersionVector { servers, ..have },
            front_count,
            loads: self.fleet_load.local_sum(now),
            is_platform_reachable: self.platform_reachability.may_be_reachable(now),
            processes,
            list_digest: (servers == have.servers).then(|| self.tables.servers().digest()),
        }
    }

    /// Updates the number of live proxies. Members count the front-end nodes of all control processes. A
    /// learner knows only its own, so it uses the total that a member reported.
    fn update_live_proxies(&mut self, now: Duration) {
        let counted = self.live_nodes.total(now);
        let status = self.replica.status();
        let total = match status.is_member {
            true => counted,
            false => self.process_directory.live_proxies(now, &status.members),
        };
        self.tables.set_live_proxies(total);
    }

    /// Handles a message from another control process about the tables.
    pub(super) fn handle_tables_message(&mut self, from: SocketAddr, message: TablesMessage) {
        match message {
            TablesMessage::Report {
                vector,
                front_count,
                loads,
                is_platform_reachable,
                processes,
                list_digest,
            } => {
                let now = self.now();
                self.platform_reachability.record_peer_report(now, from, is_platform_reachable);
                self.live_nodes.record_peer_count(from, front_count, now);
                self.fleet_load.record_peer(now, from, loads);
                self.record_processes_from_member(now, from, &processes);
                self.process_directory.record_live_proxies(now, from, vector.live_proxies);
                self.send_missing_servers(from, vector);
                self.compare_lists(from, vector.servers, list_digest);
            }
            TablesMessage::Update(update) => self.apply_peer_update(from, &update),
        }
    }

    fn send_missing_servers(&mut self, to: SocketAddr, have: VersionVector) {
        if let Some(update) = self.server_update_for(have) {
            self.peer_transport.send(to, PeerMessage::Tables(TablesMessage::Update(update)));
        }
    }

    fn apply_peer_update(&mut self, from: SocketAddr, update: &Update) {
        match self.tables.apply(update) {
            Ok(true) => {
                self.gap_recovery.record_advance();
                self.platform_reachability.record_peer_success();
                self.serve_pulls();
            }
            Ok(false) => {}
            Err(error) => {
                debug!("servers", kv: { outcome = "rejected", from: = from, error: = error });
                let ApplyError::Gap { base, .. } = error;
                self.request_missing_servers(from, base);
            }
        }
    }

    /// Reports to the sender of a delta that did not follow the list of this process, so that it sends what
    /// is missing.
    fn request_missing_servers(&mut self, from: SocketAddr, base: Option<TablePosition>) {
        let now = self.now();
        if self.gap_recovery.record_gap(now, base) {
            let report = self.report(now);
            self.peer_transport.send(from, PeerMessage::Tables(report));
        }
    }

    /// Records the processes that a member reported, if this process is a learner. A learner receives
    /// messages only from members, so it learns of other processes from them. Members use only the messages
    /// that they receive themselves; otherwise processes could keep a stopped process listed by reporting it
    /// to each other.
    fn record_processes_from_member(&mut self, now: Duration, from: SocketAddr, processes: &[SocketAddr]) {
        let status = self.replica.status();
        if !status.is_member && status.members.contains(&from) {
            self.process_directory.record_reported_processes(now, processes);
        }
    }
}
