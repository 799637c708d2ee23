//! All steps of agreeing on the next view (Lamport, Paxos Made Simple, section 2.2) and of entering it.

use super::ChainModel;
use super::message::Message;
use super::step::Steps;

impl ChainModel {
    /// The steps of a machine as a proposer and as an acceptor, and those of entering a view.
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
