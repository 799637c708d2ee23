//! The singleton role: events of the elector, and what its workers are told.

use super::Controller;
use crate::lease::HeldLease;
use crate::message::{PeerMessage, RecordOwner};
use lugwharf_election as election;
use spdlog::prelude::*;

impl Controller {
    /// Hands an event to the elector and carries out what it wants.
    pub(super) fn elect(&mut self, event: election::Event) {
        let mut out = Vec::new();
        self.elector.handle(self.now(), event, &mut out);
        for action in out {
            match action {
                election::Action::Send { to, message } => {
                    self.peer_transport.send(to, PeerMessage::Election(message))
                }
                election::Action::Persist { batch, records } => {
                    self.store(RecordOwner::Election, batch.0, records, false);
                }
                election::Action::LeaseAcquired { token } => {
                    info!("role", kv: { role = "list_reader", outcome = "gained", token = token.0 });
                    self.stage_planner.lease_acquired(self.now());
                }
                election::Action::LeaseLost => {
                    info!("role", kv: { role = "list_reader", outcome = "lost" });
                    self.stage_planner.lease_lost();
                }
            }
        }
        self.record_known_holder();
        let held = self.held_lease();
        // A renewal changes the end that workers look at, and interrupts nobody.
        self.lease_sender.send_if_modified(|role| {
            let before = std::mem::replace(role, held);
            before.map(|held| held.token) != held.map(|held| held.token)
        });
    }

    /// The list reader's role, if this process holds it now.
    pub(super) fn held_lease(&self) -> Option<HeldLease> {
        let lease = self.elector.held_lease(self.now())?;
        Some(HeldLease { token: lease.token.0, expires_at: self.started + lease.expires_at })
    }

    fn record_known_holder(&mut self) {
        let known = self.elector.known_holder();
        if self.known_holder != known {
            self.known_holder = known;
            self.known_holder_since = self.now();
        }
    }
}
