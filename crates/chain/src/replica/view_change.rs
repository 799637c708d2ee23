//! Entry into a decided view.

use super::Replica;
use crate::action::Action;
use crate::paxos::Acceptor;
use crate::record::Record;
use crate::view::View;
use lugwharf_invariants::{Invariant, check};
use std::sync::Arc;

impl Replica {
    pub(super) fn on_decided(&mut self, view: View) {
        if view.number == self.view.number {
            let own = &self.view;
            check(Invariant::OneViewPerNumber, view == **own, || format!("own {own:?}, received {view:?}"));
        }
        if view.number > self.view.number {
            self.enter_view(view);
        }
    }

    /// Enters a decided view. State that belongs to the previous view is reset. Operators' requests stay
    /// pending and are sent again to the ends of the new chain.
    pub(super) fn enter_view(&mut self, view: View) {
        for replica in self.view.chain.clone() {
            if !view.chain.contains(&replica) {
                self.peers.record_flap(replica.address);
            }
        }
        self.append_record(&Record::Decided { view: view.clone() });
        self.acceptor = Acceptor::default();
        self.proposer.attempt = None;
        self.proposer.consecutive_failures = 0;
        self.proposer.backoff_until = self.now;
        self.proposer.change_wanted_since = None;
        self.view = Arc::new(view);
        self.view_entered_at = self.now;
        for member in self.view.members.clone() {
            self.peers.add(member.address, self.now);
        }
        self.change_queue.clear();
        self.read_only.reset();
        self.successor.reset();
        self.learner.reset_catch_up();
        self.outbox.push(Action::ViewChanged(self.view.clone()));
        self.start_state_transfer();
        self.send_heartbeats();
        self.drive_pending_requests();
    }
}
