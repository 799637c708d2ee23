//! Leaving the core before the process ends.
//!
//! A process that was told to end says so in its heartbeats. The others agree on a view whose chain is without it and, if a learner
//! stands ready, in which that learner has its place. It takes part until then.

use super::Replica;
use crate::status::LeaveState;
use std::net::SocketAddr;

impl Replica {
    pub(super) fn leave(&mut self) {
        self.leaving = true;
        if self.ready {
            self.beat_all();
        }
    }

    pub(super) fn leave_state(&self) -> LeaveState {
        if !self.leaving {
            return LeaveState::Staying;
        }
        if self.view.number == 0 {
            return LeaveState::Left;
        }
        let in_chain = self.view.position(self.identity).is_some();
        if in_chain || !self.installation.serving {
            return LeaveState::Leaving;
        }
        match self.is_member() {
            false => LeaveState::Left,
            true if self.has_standby() => LeaveState::Leaving,
            true => LeaveState::OutOfChain,
        }
    }

    /// Whether a process stands ready to take the place of a member, as far as is known here.
    pub fn has_standby(&self) -> bool {
        self.planner().has_standby()
    }

    /// The processes heard lately that are no members.
    pub(super) fn learners(&self) -> Vec<SocketAddr> {
        let mut heard = self.peers.fresh_addresses(self.now);
        heard.retain(|address| !self.view.has_member_at(*address));
        heard
    }
}
