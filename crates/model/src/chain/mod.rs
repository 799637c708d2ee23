//! A model of the chain: views agreed by Paxos, state transfer, chain replication, retries, rejections, reads, and the loss
//! of unsynced records, disks and members.
//!
//! | module | concern |
//! | --- | --- |
//! | `bounds` | how far a search goes |
//! | `guards` | the rules, each of which can be left out |
//! | `property` | what must hold in each state |
//! | `state`, `step` | a state of the model, the steps between states |
//! | `pruning` | dropping messages that no machine would act on |
//! | `node`, `message`, `view`, `identity`, `collections` | the parts of a state |
//! | `agreement`: `proposer`, `acceptor`, `view_planning`, `view_change` | agreeing on the next view |
//! | `service`: `state_transfer`, `replication`, `requests` | a view in service |
//! | `faults` | syncs, restarts, lost disks, members that leave |
//!
//! The steps follow the replica of `lugwharf-chain`. What its timers and heartbeats decide is left open: any member may
//! propose at any time any view that its planner could plan, and learns at any time, or never, who holds which history. Time
//! does not pass.

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
pub use identity::{FOUNDER_COUNT, Identity, MACHINE_COUNT, NEWCOMER};
pub use state::State;
pub use view::{CHANGE_COUNT, Chain, MAX_VIEWS, ProposalNumber, View};

use crate::explorer::Model;
use step::{Step, Steps};

/// The chain within bounds, with some of its guards.
#[derive(Clone, Copy, Debug)]
pub struct ChainModel {
    /// How far the search goes.
    pub bounds: Bounds,
    /// The rules that are in force.
    pub guards: Guards,
}

impl ChainModel {
    /// Whether it matters that views serve: for changes, for confirmations, and for the lineage of the third view. Else the
    /// steps of service are left out.
    fn models_service(&self) -> bool {
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
            if self.models_service() {
                self.service_steps(machine, &mut steps);
            }
            self.fault_steps(machine, &mut steps);
        }
    }

    fn violated_property(&self, state: &State) -> Option<&'static str> {
        property::violated_property(state)
    }
}
