//! A model of the election for one singleton role: leases (Gray and Cheriton, SOSP 1989), fencing tokens,
//! votes, restarts of voters, and one view change that replaces a member by a new machine.
//!
//! | module | concern |
//! | --- | --- |
//! | `state` | a state of the model, and the steps between states |
//! | `node` | the state of one machine |
//! | `message`, `token` | messages and fencing tokens |
//! | `guards` | the safety rules, each of which can be disabled |
//! | `voter` | granting leases, as `lugwharf-election` does |
//! | `elector` | pre-vote, candidacy, holding, renewing and releasing the lease |
//! | `faults` | the view change, restarts of voters |
//!
//! All machines share one clock of a few ticks, and messages may be delayed by any time. The times at which
//! machines start a campaign, or renew or release the lease, are nondeterministic. Requests and votes older
//! than a lease duration are dropped, since they cannot make a machine the holder. A voter syncs and sends
//! its vote in one step; without [`Guard::VoteAfterSync`] a restart may find that the vote was not written.

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

/// Violated when two machines hold the lease at the same time.
pub const ONE_HOLDER: &str = "one holder at a time";
/// Violated when two holders have the same token, or a later holder has a lower token.
pub const TOKENS_INCREASE: &str = "one holder to a token, and tokens increase";

/// Limits the states that a search visits.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Bounds {
    /// The maximum time, in ticks of the clock. A lease lasts two ticks.
    pub max_ticks: u8,
    /// The machines that may campaign.
    pub candidates: &'static [usize],
    /// The maximum number of campaigns, in total.
    pub max_campaigns: u8,
    /// The maximum number of requests to renew the lease, in total.
    pub max_renewals: u8,
    /// The maximum number of releases by candidates and holders, in total.
    pub max_releases: u8,
    /// The maximum number of restarts, in total.
    pub max_crashes: u8,
    /// Whether a second view may be decided.
    pub may_change_view: bool,
}

/// The model of the election within given bounds, with a given set of guards.
#[derive(Clone, Copy, Debug)]
pub struct ElectionModel {
    /// The bounds of the search.
    pub bounds: Bounds,
    /// The enabled rules.
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
