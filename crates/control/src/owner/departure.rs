//! The shutdown of a control process, step by step with the ticks.

use super::Owner;
use crate::shutdown::{Membership, Outcome, Seen, Shutdown, Step};
use lugwharf_chain as chain;
use lugwharf_election as election;
use spdlog::prelude::*;
use std::time::Duration;
use tokio::sync::oneshot;

/// A shutdown under way.
pub struct Departure {
    shutdown: Shutdown,
    /// Whether this process held the role when it was told to end.
    held: bool,
    /// Told once.
    done: Option<oneshot::Sender<Outcome>>,
}

impl Owner {
    /// This process was told to end: it gives its role up, and agents are told to ask another process.
    pub(super) fn begin_departure(&mut self, done: oneshot::Sender<Outcome>) {
        let now = self.now();
        let held = self.elector.held_lease(now).is_some();
        let grace = Duration::try_from_secs_f64(self.settings.bounds.grace_s).unwrap_or_default();
        info!("shutdown", kv: { outcome = "begun", held, view = self.elected_view });
        self.elect(election::Event::Resign);
        self.departure = Some(Departure { shutdown: Shutdown::begin(now, grace), held, done: Some(done) });
        self.serve_pulls();
        self.go_on_departing();
    }

    /// Takes the next step of a shutdown, if one is due.
    pub(super) fn go_on_departing(&mut self) {
        let now = self.now();
        let Some(held) = self.departure.as_ref().map(|departure| departure.held) else { return };
        let seen = self.seen(held);
        let Some(departure) = &mut self.departure else { return };
        match departure.shutdown.step(now, &seen) {
            Step::Wait => {}
            Step::AskToLeave => self.ask_to_leave(),
            Step::End(outcome) => {
                // Nobody waits any more where it took too long.
                let _ = departure.done.take().map(|done| done.send(outcome));
            }
        }
    }

    fn seen(&self, held: bool) -> Seen {
        let status = self.replica.status();
        let membership = match status.leave {
            _ if !status.is_member => Membership::Left,
            chain::LeaveState::Left => Membership::Left,
            chain::LeaveState::Leaving => Membership::Leaving,
            chain::LeaveState::Staying | chain::LeaveState::OutOfChain => Membership::Staying,
        };
        let handed_on = !held || self.elector.known_holder().is_some();
        Seen { membership, has_replacement: !status.learners.is_empty(), handed_on }
    }

    fn ask_to_leave(&mut self) {
        info!("shutdown", kv: { outcome = "leaving", view = self.elected_view });
        self.chain(chain::Event::Leave);
    }
}
