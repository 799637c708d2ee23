//! Leaving the control plane gracefully before the process ends.
//!
//! A process that shuts down reports it in its heartbeats. The others decide a view whose chain is without it and, if a learner
//! is ready, in which that learner replaces it as a member. It takes part until then.

use super::Replica;
use crate::status::LeaveState;
use std::net::SocketAddr;

impl Replica {
    /// Starts to leave.
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

    /// Whether a learner is ready to replace a member, as far as is known here.
    pub fn has_ready_learner(&self) -> bool {
        self.planner().has_ready_learner()
    }

    /// The live processes that are not members.
    pub(super) fn learner_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.peers.live_addresses(self.now);
        addresses.retain(|address| !self.view.has_member_at(*address));
        addresses
    }
}
