//! Distributes the server list that the list watcher has read to agents and peers.
//!
//! The epoch of a list is the fencing token of the lease under which it was read, so a list from an older
//! lease never replaces one from a newer lease. The list of the initial read has [`PROVISIONAL_EPOCH`] and is
//! replaced by any other.

use super::Controller;
use crate::lease::ROLE_NAME;
use crate::message::{PeerMessage, TablesMessage};
use lugwharf_distribution::PROVISIONAL_EPOCH;
use lugwharf_election::{self as election, FencingToken};
use lugwharf_invariants::{Invariant, check};
use lugwharf_protocol::{ServerEntry, TablePosition, Update, VersionVector};
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// How long this process does not stand for election after it has stepped down. The time covers several
/// election rounds: if no other process acquires the lease in it, no other process can.
const STEP_DOWN_BACKOFF: Duration = Duration::from_millis(1_500);

/// The minimum time between two restatements of the list. Each sends the full list to all front-end nodes.
pub const RESTATEMENT_INTERVAL: Duration = Duration::from_secs(30);

impl Controller {
    /// Whether this process has no server list at all.
    pub(super) fn needs_initial_list(&self) -> bool {
        self.tables.servers().position() == TablePosition::default()
    }

    /// Applies a list that was read without a lease, if there is none yet. It serves the agents that pull
    /// from this process until the list of the lease holder arrives. After a start of the whole control
    /// plane, this is about one second earlier than an election would allow.
    pub(super) fn handle_initial_list_read(&mut self, entries: Vec<ServerEntry>) {
        if self.needs_initial_list() && self.tables.servers_mut().replace(PROVISIONAL_EPOCH, entries).is_ok()
        {
            self.serve_pulls();
        }
    }

    /// Applies a list that was read under the lease with this token, and sends it to agents and peers. The
    /// list is discarded if this process no longer holds that lease.
    pub(super) fn handle_list_read(&mut self, token: FencingToken, mut entries: Vec<ServerEntry>) {
        if !self.holds_lease(token) {
            return;
        }
        self.metrics.list_reads.inc();
        self.platform_reachability.record_success();
        let now = self.now();
        self.stage_planning.request_reports(now, &entries, token);
        self.stage_planning.plan(now, &mut entries, &self.fleet_load);
        let before = self.tables.version_vector();
        match self.tables.servers_mut().replace(token.0, entries) {
            Ok(true) => self.publish_list_change(now, before),
            Ok(false) => {}
            Err(error) => warn!("list", kv: { outcome = "stale", error: = error }),
        }
    }

    /// Sends the change of the list since the versions `before` to agents and peers.
    fn publish_list_change(&mut self, now: Duration, before: VersionVector) {
        self.serve_pulls();
        let recipients = self.report_recipients(now);
        if let Some(update) = self.server_update_for(before) {
            let message = PeerMessage::Tables(TablesMessage::Update(update));
            self.peer_transport.send_all(&recipients, message);
        }
    }

    /// Checks that a peer whose list is at the position of this process's list has the same list. If it has
    /// not, the lease holder restates its list, so that all processes get it in full.
    pub(super) fn compare_lists(&mut self, from: SocketAddr, position: TablePosition, digest: Option<u64>) {
        let servers = self.tables.servers();
        let Some(digest) = digest.filter(|_| position == servers.position()) else { return };
        if position.epoch == PROVISIONAL_EPOCH || digest == servers.digest() {
            return;
        }
        let own = servers.digest();
        check(Invariant::OneListPerPosition, false, || {
            format!("{from} has list {digest:016x} at position {position:?}, this process has {own:016x}")
        });
        let now = self.now();
        if self.holds_lease(FencingToken(position.epoch)) && self.list_restatement.is_due(now) {
            warn!("list", kv: { outcome = "restated", peer: = from, sequence = position.sequence });
            self.list_restatement.record(now);
            let before = self.tables.version_vector();
            self.tables.servers_mut().restate();
            self.publish_list_change(now, before);
        }
    }

    /// Handles a failed read of the list. After a longer outage this process steps down, provided that a peer
    /// may be able to reach the platform.
    pub(super) fn handle_list_read_failure(&mut self, token: FencingToken, should_step_down: bool) {
        self.metrics.list_failures.inc();
        let now = self.now();
        if !should_step_down || !self.holds_lease(token) {
            return;
        }
        let mut peers = self.replica.status().members;
        peers.retain(|member| *member != self.local_address);
        if !self.platform_reachability.any_peer_may_reach(now, &peers) {
            debug!("lease", kv: { role = ROLE_NAME, outcome = "retained", token = token.0 });
            return;
        }
        warn!("lease", kv: { role = ROLE_NAME, outcome = "stepped_down", reason = "platform", token = token.0 });
        self.metrics.stand_downs.inc();
        self.platform_reachability.record_failure(now);
        // Report the failure before the lease becomes vacant, so that this process does not acquire the lease
        // again before all others have tried.
        self.report_to_peers(now);
        self.handle_elector_event(election::Event::StepDown { backoff: STEP_DOWN_BACKOFF });
    }

    /// Returns the part of the server list that a peer with these versions lacks, if any. Peers receive
    /// configurations through the replica, and determine the number of live proxies themselves.
    pub(super) fn server_update_for(&self, have: VersionVector) -> Option<Update> {
        if self.tables.servers().position().epoch == PROVISIONAL_EPOCH {
            return None;
        }
        let servers = self.tables.servers().delta_since(have.servers)?;
        let vector = VersionVector { servers: servers.position, ..VersionVector::default() };
        Some(Update { vector, servers: Some(servers), ..Update::default() })
    }
}
