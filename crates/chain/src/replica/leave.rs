//! Graceful leave of the control plane before a process ends.
//!
//! A process that is shutting down reports this in its heartbeats. The other members then decide a view whose
//! chain does not contain the process and in which, if possible, a ready learner replaces the process as a
//! member. The process participates until that view is entered.

use super::Replica;
use crate::status::LeaveState;
use std::net::SocketAddr;

impl Replica {
    /// Starts a graceful leave.
    pub(super) fn leave(&mut self) {
        self.is_leaving = true;
        if self.is_ready {
            self.send_heartbeats();
        }
    }

    pub(super) fn leave_state(&self) -> LeaveState {
        if !self.is_leaving {
            return LeaveState::NotLeaving;
        }
        if self.view.number == 0 {
            return LeaveState::Left;
        }
        let is_in_chain = self.view.position(self.identity).is_some();
        if is_in_chain || !self.state_transfer.is_serving {
            return LeaveState::Leaving;
        }
        match self.is_member() {
            false => LeaveState::Left,
            true if self.has_ready_learner() => LeaveState::Leaving,
            true => LeaveState::OutOfChain,
        }
    }

    /// Whether a learner is ready to replace a member, as far as this process knows.
    pub fn has_ready_learner(&self) -> bool {
        self.planner().has_ready_learner()
    }

    /// The addresses of the live processes that are not members.
    pub(super) fn learner_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.peers.live_addresses(self.now);
        addresses.retain(|address| !self.view.has_member_at(*address));
        addresses
    }
}
