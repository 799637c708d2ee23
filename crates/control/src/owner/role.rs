//! The singleton role: events of the elector, and what its workers are told.

use super::Owner;
use crate::lease::HeldRole;
use crate::message::{PeerBody, RecordOwner};
use lugwharf_election as election;
use spdlog::prelude::*;

impl Owner {
    /// Hands an event to the elector and carries out what it wants.
    pub(super) fn elect(&mut self, event: election::Event) {
        let mut out = Vec::new();
        self.elector.handle(self.now(), event, &mut out);
        for action in out {
            match action {
                election::Action::Send { to, message } => self.peers.send(to, PeerBody::Election(message)),
                election::Action::Persist { batch, records } => {
                    self.store(RecordOwner::Election, batch.0, records, false);
                }
                election::Action::LeaseAcquired { token } => {
                    info!("role", kv: { role = "list_reader", outcome = "gained", token = token.0 });
                    self.stages.lease_acquired(self.now());
                }
                election::Action::LeaseLost => {
                    info!("role", kv: { role = "list_reader", outcome = "lost" });
                    self.stages.lease_lost();
                }
            }
        }
        self.note_holder();
        let held = self.held_role();
        // A renewal changes the end that workers look at, and interrupts nobody.
        self.role.send_if_modified(|role| {
            let before = std::mem::replace(role, held);
            before.map(|held| held.token) != held.map(|held| held.token)
        });
    }

    /// The list reader's role, if this process holds it now.
    pub(super) fn held_role(&self) -> Option<HeldRole> {
        let lease = self.elector.held_lease(self.now())?;
        Some(HeldRole { token: lease.token.0, until: self.started + lease.expires_at })
    }

    fn note_holder(&mut self) {
        let known = self.elector.known_holder();
        if self.holder != known {
            self.holder = known;
            self.holder_since = self.now();
        }
    }
}
