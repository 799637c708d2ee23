//! The steps between the states of the model.

use super::collections::SmallSet;
use super::guards::Guards;
use super::state::State;
use super::view::{ProposalNumber, View};

/// A step of one machine. The `Debug` form is a line in the trace of a counterexample.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A member starts a proposal (phase 1a of Paxos).
    Prepare { machine: usize, proposal: ProposalNumber },
    /// An acceptor promises a proposal (phase 1b).
    Promise { machine: usize, proposal: ProposalNumber },
    /// A proposer has received promises from a majority and proposes a view (phase 2a).
    Propose { machine: usize, proposal: ProposalNumber, promisers: SmallSet, view: View },
    /// An acceptor accepts a view (phase 2b).
    Accept { machine: usize, proposal: ProposalNumber, view: View },
    /// A proposer has received acceptances from a majority.
    Decide { machine: usize, view: View },
    /// A machine enters a decided view.
    Adopt { machine: usize, view: u8 },
    /// A replica installs the history of its view.
    Install { machine: usize, view: u8 },
    /// A machine outside the chain learns the committed history.
    LearnCommitted { machine: usize },
    /// A replica learns that all replicas of its chain hold the history.
    StartServing { machine: usize, view: u8 },
    /// The head evaluates a change.
    Submit { machine: usize, change: u8 },
    /// A replica receives an entry from its predecessor.
    Replicate { machine: usize, view: u8, index: u8, change: u8 },
    /// The tail starts a read.
    Read { machine: usize },
    /// A member confirms the view to the machine that asks.
    Confirm { machine: usize, asker: usize },
    /// The head or tail answers a request after a majority has confirmed the view.
    Answer { machine: usize },
    /// A machine syncs its records.
    Sync { machine: usize },
    /// A machine restarts.
    Crash { machine: usize },
    /// A machine loses its disk and restarts.
    LoseDisk { machine: usize },
    /// A machine leaves permanently.
    Leave { machine: usize },
}

/// Collects the steps that are possible in one state.
pub struct Steps<'a> {
    /// The state before each step.
    pub from: &'a State,
    /// The enabled rules.
    pub guards: Guards,
    /// The collected steps, each with the state after it.
    pub found: &'a mut Vec<(Step, State)>,
}

impl Steps<'_> {
    /// Adds a step; `change` turns the state before it into the state after it.
    pub fn add(&mut self, step: Step, change: impl FnOnce(&mut State)) {
        let mut state = self.from.clone();
        change(&mut state);
        state.prune(self.guards);
        self.found.push((step, state));
    }
}
