//! A model of the chain: views decided by Paxos, state transfer, chain replication, retries, rejections,
//! reads, and the loss of unsynced records, disks and members.
//!
//! | module | concern |
//! | --- | --- |
//! | `bounds` | the bounds of a search |
//! | `guards` | the safety rules, each of which can be disabled |
//! | `property` | the properties that must hold in each state |
//! | `state`, `step` | a state of the model, and the steps between states |
//! | `pruning` | removal of messages that no machine would act on |
//! | `node`, `message`, `view`, `identity`, `collections` | the components of a state |
//! | `agreement`: `proposer`, `acceptor`, `view_planning`, `view_change` | deciding the next view and entering it |
//! | `service`: `state_transfer`, `replication`, `requests` | operation within a view |
//! | `faults` | disk syncs, restarts, lost disks, members that leave |
//!
//! The steps correspond to those of the replica of `lugwharf-chain`. Decisions that depend on its timers and
//! heartbeats are nondeterministic: any member may propose any view that its planner could plan, at any time,
//! and learns at any time, or never, which members hold which history. The model has no clock.

mod acceptor;
mod agreement;
mod bounds;
mod collections;
mod faults;
mod guards;
mod identity;
mod message;
mod node;
pub mod property;
mod proposer;
mod pruning;
mod replication;
mod requests;
mod service;
mod state;
mod state_transfer;
mod step;
mod view;
mod view_change;
mod view_planning;

pub use bounds::{Bounds, Change};
pub use collections::SmallSet;
pub use guards::{Guard, Guards};
pub use identity::{INITIAL_LEARNER, INITIAL_MEMBER_COUNT, Identity, MACHINE_COUNT};
pub use state::State;
pub use view::{CHANGE_COUNT, Chain, MAX_VIEWS, ProposalNumber, View};

use crate::explorer::Model;
use step::{Step, Steps};

/// The model of the chain within given bounds, with a given set of guards.
#[derive(Clone, Copy, Debug)]
pub struct ChainModel {
    /// The bounds of the search.
    pub bounds: Bounds,
    /// The enabled rules.
    pub guards: Guards,
}

impl ChainModel {
    /// Whether the model includes the steps of a view in service. They are needed for changes, for
    /// confirmations, and for the lineage of the third view; otherwise they are left out to keep the number
    /// of states small.
    fn is_service_modelled(&self) -> bool {
        let Bounds { change_count, max_confirmations, max_proposals, .. } = self.bounds;
        change_count > 0 || max_confirmations > 0 || max_proposals[1] > 0
    }
}

impl Model for ChainModel {
    type State = State;
    type Step = Step;

    fn initial_states(&self) -> Vec<State> {
        if self.bounds.crashing_machines.is_empty() {
            return vec![State::initial(&self.bounds, None)];
        }
        self.bounds
            .crashing_machines
            .iter()
            .map(|machine| State::initial(&self.bounds, Some(machine)))
            .collect()
    }

    fn successors(&self, state: &State, found: &mut Vec<(Step, State)>) {
        let mut steps = Steps { from: state, guards: self.guards, found };
        for machine in (0..MACHINE_COUNT).filter(|machine| !state.nodes[*machine].has_left) {
            self.agreement_steps(machine, &mut steps);
            if self.is_service_modelled() {
                self.service_steps(machine, &mut steps);
            }
            self.fault_steps(machine, &mut steps);
        }
    }

    fn violated_property(&self, state: &State) -> Option<&'static str> {
        property::violated_property(state)
    }
}
