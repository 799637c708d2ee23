//! The lease of the list watcher: the singleton role whose holder reads the platform's server list and sends
//! orders to servers.
//!
//! The elector decides which process holds the lease. [`ListWatcherRole`] publishes the lease to the tasks
//! that act under it, and records the known holder for `GET /status`.

use super::Controller;
use crate::lease::{HeldLease, ROLE_NAME};
use crate::message::PeerMessage;
use crate::record_owner::RecordOwner;
use crate::status::RoleStatus;
use lugwharf_election::{self as election, FencingToken, LeaseHolder};
use spdlog::prelude::*;
use std::time::Duration;
use tokio::sync::watch;

/// The state of the lease as published to tasks and operators.
pub struct ListWatcherRole {
    lease: watch::Sender<Option<HeldLease>>,
    known_holder: Option<LeaseHolder>,
    known_holder_since: Duration,
}

impl ListWatcherRole {
    /// Creates a role without a known holder, and a receiver on which the lease of this process is published.
    pub fn new() -> (ListWatcherRole, watch::Receiver<Option<HeldLease>>) {
        let (lease, receiver) = watch::channel(None);
        (ListWatcherRole { lease, known_holder: None, known_holder_since: Duration::ZERO }, receiver)
    }

    /// Publishes the lease, or `None` if this process does not hold it. Receivers are woken when the lease is
    /// acquired or lost. A renewal only changes the expiry that they check, and wakes no receiver.
    pub fn publish(&self, lease: Option<HeldLease>) {
        self.lease.send_if_modified(|current| {
            let before = std::mem::replace(current, lease);
            before.map(|lease| lease.token) != lease.map(|lease| lease.token)
        });
    }

    /// Returns the published lease.
    #[cfg(test)]
    pub fn published(&self) -> Option<HeldLease> {
        *self.lease.borrow()
    }

    /// Records the holder that the elector knows at `now`, and logs a change of the holder
    /// (`lease outcome=held`).
    pub fn record_holder(&mut self, now: Duration, known_holder: Option<LeaseHolder>) {
        if self.known_holder != known_holder {
            if let Some(LeaseHolder { address, token }) = known_holder {
                info!("lease", kv: { role = ROLE_NAME, outcome = "held", holder: = address, token = token.0 });
            }
            self.known_holder = known_holder;
            self.known_holder_since = now;
        }
    }

    /// Returns the status of the role at `now`, with the holder that the elector knows.
    pub fn status(&self, now: Duration, known_holder: Option<LeaseHolder>, is_held_here: bool) -> RoleStatus {
        let held_for = now.saturating_sub(self.known_holder_since);
        RoleStatus {
            role: ROLE_NAME,
            holder: known_holder.map(|holder| holder.address),
            token: known_holder.map(|holder| holder.token.0),
            held_ms: known_holder.map(|_| super::millis(held_for)),
            held_here: is_held_here,
        }
    }
}

impl Controller {
    /// Passes an event to the elector and executes its actions.
    pub(super) fn handle_elector_event(&mut self, event: election::Event) {
        let mut actions = Vec::new();
        self.elector.handle(self.now(), event, &mut actions);
        // Publish the lease before sending any message, so that no task acts under a lease whose release is
        // about to be sent.
        self.list_watcher_role.publish(self.held_lease());
        for action in actions {
            match action {
                election::Action::Send { to, message } => {
                    self.peer_transport.send(to, PeerMessage::Election(message));
                }
                election::Action::Persist { batch, records } => {
                    self.persist(RecordOwner::Election, batch.0, records, false);
                }
                election::Action::LeaseAcquired { token } => {
                    info!("lease", kv: { role = ROLE_NAME, outcome = "acquired", token = token.0 });
                    self.stage_planning.lease_acquired(self.now());
                }
                election::Action::LeaseLost => {
                    info!("lease", kv: { role = ROLE_NAME, outcome = "lost" });
                    self.stage_planning.lease_lost();
                }
            }
        }
        let known_holder = self.elector.known_holder();
        self.list_watcher_role.record_holder(self.now(), known_holder);
    }

    /// Returns the lease if this process currently holds it.
    pub(super) fn held_lease(&self) -> Option<HeldLease> {
        let lease = self.elector.held_lease(self.now())?;
        Some(HeldLease { token: lease.token, expires_at: self.started_at + lease.expires_at })
    }

    /// Whether this process currently holds the lease with this token.
    pub(super) fn holds_lease(&self, token: FencingToken) -> bool {
        self.elector.held_lease(self.now()).is_some_and(|lease| lease.token == token)
    }
}
