//! The shutdown of a control process, step by step with the ticks.

use super::Controller;
use crate::shutdown::{Membership, Observation, ShutdownOutcome, ShutdownSequence, Step};
use lugwharf_chain as chain;
use lugwharf_election as election;
use spdlog::prelude::*;
use std::time::Duration;
use tokio::sync::oneshot;

/// A shutdown under way.
pub struct GracefulShutdown {
    sequence: ShutdownSequence,
    /// Whether this process held_lease the role when it was told to end.
    held_lease: bool,
    /// Told once.
    done: Option<oneshot::Sender<ShutdownOutcome>>,
}

impl Controller {
    /// This process was told to end: it gives its role up, and agents are told to ask another process.
    pub(super) fn begin_shutdown(&mut self, done: oneshot::Sender<ShutdownOutcome>) {
        let now = self.now();
        let held_lease = self.elector.held_lease(now).is_some();
        let grace = Duration::try_from_secs_f64(self.settings.bounds.grace_s).unwrap_or_default();
        info!("shutdown", kv: { outcome = "begun", held = held_lease, view = self.current_view });
        self.elect(election::Event::Resign);
        self.shutdown = Some(GracefulShutdown {
            sequence: ShutdownSequence::begin(now, grace),
            held_lease,
            done: Some(done),
        });
        self.serve_pulls();
        self.continue_shutdown();
    }

    /// Takes the next step of a shutdown, if one is due.
    pub(super) fn continue_shutdown(&mut self) {
        let now = self.now();
        let Some(held_lease) = self.shutdown.as_ref().map(|shutdown| shutdown.held_lease) else { return };
        let observed = self.observed(held_lease);
        let Some(shutdown) = &mut self.shutdown else { return };
        match shutdown.sequence.step(now, &observed) {
            Step::Wait => {}
            Step::RequestLeave => self.request_leave(),
            Step::End(outcome) => {
                // Nobody waits any more where it took too long.
                let _ = shutdown.done.take().map(|done| done.send(outcome));
            }
        }
    }

    fn observed(&self, held_lease: bool) -> Observation {
        let status = self.replica.status();
        let membership = match status.leave {
            _ if !status.is_member => Membership::Left,
            chain::LeaveState::Left => Membership::Left,
            chain::LeaveState::Leaving => Membership::Leaving,
            chain::LeaveState::Staying | chain::LeaveState::OutOfChain => Membership::Staying,
        };
        let is_lease_transferred = !held_lease || self.elector.known_holder().is_some();
        Observation { membership, has_replacement: !status.learners.is_empty(), is_lease_transferred }
    }

    fn request_leave(&mut self) {
        info!("shutdown", kv: { outcome = "leaving", view = self.current_view });
        self.chain(chain::Event::Leave);
    }
}
