//! All steps that decide the next view (Lamport, Paxos Made Simple, section 2.2) and enter it.

use super::ChainModel;
use super::message::Message;
use super::step::Steps;

impl ChainModel {
    /// Adds the steps of a machine as proposer and as acceptor, and those that enter a decided view.
    pub(super) fn agreement_steps(&self, machine: usize, steps: &mut Steps<'_>) {
        self.begin_proposal(machine, steps);
        let state = steps.from;
        for message in &state.in_flight {
            match *message {
                Message::Prepare { instance, proposal } => {
                    self.promise_proposal(machine, instance, proposal, steps)
                }
                Message::Accept { proposal, view } => self.accept_view(machine, proposal, view, steps),
                _ => {}
            }
        }
        self.choose_view(machine, steps);
        self.decide_view(machine, steps);
        self.adopt_view(machine, steps);
    }
}
