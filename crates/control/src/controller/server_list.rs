//! The server list: what the list watcher has read, on its way to agents and peers.
//!
//! The epoch of a list is the fencing token of the lease under which it was read, so a list of an older lease never replaces
//! one of a newer lease. The list of the initial read has [`PROVISIONAL_EPOCH`] and gives way to any other.

use super::Controller;
use crate::lease::ROLE_NAME;
use crate::message::{PeerMessage, TablesMessage};
use lugwharf_distribution::PROVISIONAL_EPOCH;
use lugwharf_election::{self as election, FencingToken};
use lugwharf_protocol::{ServerEntry, TablePosition, Update, VersionVector};
use spdlog::prelude::*;
use std::time::Duration;

/// How long this process does not stand for election after it stepped down: several election rounds. If nobody acquires the
/// lease meanwhile, nobody else can.
const STEP_DOWN_BACKOFF: Duration = Duration::from_millis(1_500);

impl Controller {
    /// Whether there is no server list at all.
    pub(super) fn needs_initial_list(&self) -> bool {
        self.tables.servers().position() == TablePosition::default()
    }

    /// Applies a list that was read without a lease: for the agents that pull from here, until the lease holder's list comes.
    /// After a start of the whole core that is a second sooner than an election allows.
    pub(super) fn initial_list_read(&mut self, entries: Vec<ServerEntry>) {
        if self.needs_initial_list() && self.tables.servers_mut().replace(PROVISIONAL_EPOCH, entries).is_ok()
        {
            self.serve_pulls();
        }
    }

    /// Applies a list that was read under the lease with the token `epoch`, and sends it to agents and peers.
    pub(super) fn list_read(&mut self, token: FencingToken, mut entries: Vec<ServerEntry>) {
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
            Ok(true) => {
                self.serve_pulls();
                let audience = self.audience(now);
                if let Some(update) = self.server_update_for(before) {
                    let message = PeerMessage::Tables(TablesMessage::Update(update));
                    self.peer_transport.send_all(&audience, message);
                }
            }
            Ok(false) => {}
            Err(error) => warn!("list", kv: { outcome = "stale", error: = error }),
        }
    }

    /// The list could not be read. If that lasts, this process steps down, provided that a peer may reach the platform.
    pub(super) fn list_read_failed(&mut self, token: FencingToken, should_step_down: bool) {
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
        // Before the lease is vacant, so that it does not come back here before all others have tried.
        self.report_to_peers(now);
        self.handle_elector_event(election::Event::StepDown { backoff: STEP_DOWN_BACKOFF });
    }

    /// What a peer with these versions lacks of the server list. Configurations reach it through the replica, and the live
    /// proxies it counts itself.
    pub(super) fn server_update_for(&self, have: VersionVector) -> Option<Update> {
        if self.tables.servers().position().epoch == PROVISIONAL_EPOCH {
            return None;
        }
        let servers = self.tables.servers().delta_since(have.servers)?;
        let vector = VersionVector { servers: servers.position, ..VersionVector::default() };
        Some(Update { vector, servers: Some(servers), ..Update::default() })
    }
}
