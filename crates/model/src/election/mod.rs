//! A model of the election of one singleton role: leases (Gray and Cheriton, SOSP 1989), fencing tokens, votes, restarts of
//! voters, and one change of view in which a member is replaced by a newcomer.
//!
//! | module | concern |
//! | --- | --- |
//! | `state` | a state of the model, the steps between states |
//! | `node` | the state of one machine |
//! | `message`, `token` | messages and fencing tokens |
//! | `guards` | the rules, each of which can be left out |
//! | `voter` | granting leases, as `lugwharf-election` does it |
//! | `elector` | pre-vote, candidacy, holding, renewing and releasing |
//! | `faults` | changes of view, restarts of voters |
//!
//! All machines share one clock of a few ticks, and messages take any time. When to start a campaign, to renew or to
//! release is left open; requests and votes that are older than a lease are dropped, since they make no holder. A voter's
//! write and its vote are one step; without [`Guard::VoteAfterSync`] a restart may find the vote unwritten.

mod elector;
mod faults;
mod guards;
mod message;
mod node;
mod state;
mod token;
mod voter;

pub use guards::{Guard, Guards};
pub use message::Message;
pub use state::{State, Step};
pub use token::Token;

use crate::explorer::Model;
use node::MACHINE_COUNT;
use state::Steps;

/// Violated when two machines hold the lease at one time.
pub const ONE_HOLDER: &str = "one holder at a time";
/// Violated when two holders have one token, or a later holder has a lower one.
pub const TOKENS_INCREASE: &str = "one holder to a token, and tokens increase";

/// How far a search goes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Bounds {
    /// Ticks of the clock. A lease takes two.
    pub max_ticks: u8,
    /// The machines that may campaign.
    pub candidates: &'static [usize],
    /// Campaigns of all machines.
    pub max_campaigns: u8,
    /// Requests to renew the lease.
    pub max_renewals: u8,
    /// Releases by candidates and holders.
    pub max_releases: u8,
    /// Restarts.
    pub max_crashes: u8,
    /// Whether a second view may be agreed.
    pub may_change_view: bool,
}

/// The election within bounds, with some of its guards.
#[derive(Clone, Copy, Debug)]
pub struct ElectionModel {
    /// How far the search goes.
    pub bounds: Bounds,
    /// The rules that are in force.
    pub guards: Guards,
}

impl Model for ElectionModel {
    type State = State;
    type Step = Step;

    fn initial_states(&self) -> Vec<State> {
        vec![State::initial(&self.bounds)]
    }

    fn successors(&self, state: &State, found: &mut Vec<(Step, State)>) {
        let mut steps = Steps { from: state, found };
        if state.now < self.bounds.max_ticks {
            steps.add(Step::Tick, |state| {
                state.now += 1;
                state.drop_expired(self.guards);
            });
        }
        for machine in 0..MACHINE_COUNT {
            self.voter_steps(machine, &mut steps);
            self.fault_steps(machine, &mut steps);
            self.elector_steps(machine, &mut steps);
        }
    }

    fn violated_property(&self, state: &State) -> Option<&'static str> {
        state.violated_property.or_else(|| (state.holder_count() > 1).then_some(ONE_HOLDER))
    }
}
