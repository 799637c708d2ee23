//! All steps of operation within a view.

use super::ChainModel;
use super::message::Message;
use super::step::Steps;

impl ChainModel {
    /// Adds the steps of a machine as a replica of its view, and those of operator requests at the machine.
    pub(super) fn service_steps(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        for message in &state.in_flight {
            match *message {
                Message::State { view, history } => self.install_history(machine, view, history, steps),
                Message::Replicate { .. } => self.receive_entry(machine, message, steps),
                _ => {}
            }
        }
        self.start_serving(machine, steps);
        self.learn_committed(machine, steps);
        for change in 0..self.bounds.change_count {
            self.submit_change(machine, change, steps);
        }
        self.start_read(machine, steps);
        self.confirm_view(machine, steps);
        self.answer_confirmed(machine, steps);
    }
}
