//! Executes the steps of [`ShutdownSequence`] after SIGTERM.

use super::Controller;
use crate::reply::send_reply;
use crate::shutdown::{Membership, Observation, ShutdownOutcome, ShutdownSequence, Step};
use lugwharf_chain as chain;
use lugwharf_election as election;
use spdlog::prelude::*;
use std::time::Duration;
use tokio::sync::oneshot;

/// A shutdown in progress.
pub struct GracefulShutdown {
    sequence: ShutdownSequence,
    /// Whether this process held the lease at SIGTERM.
    held_lease: bool,
    /// Receives the outcome. `None` after it has been sent.
    done: Option<oneshot::Sender<ShutdownOutcome>>,
}

impl Controller {
    /// Starts the shutdown after SIGTERM: resigns the lease, and makes agents follow other processes.
    pub(super) fn begin_shutdown(&mut self, done: oneshot::Sender<ShutdownOutcome>) {
        let now = self.now();
        let held_lease = self.elector.held_lease(now).is_some();
        let grace = Duration::try_from_secs_f64(self.settings.bounds.grace_s).unwrap_or_default();
        info!("shutdown", kv: { outcome = "started", held_lease, view = self.views.current() });
        self.handle_elector_event(election::Event::Resign);
        let sequence = ShutdownSequence::begin(now, grace);
        self.shutdown = Some(GracefulShutdown { sequence, held_lease, done: Some(done) });
        self.serve_pulls();
        self.continue_shutdown();
    }

    /// Executes the next step of the shutdown, if one is in progress.
    pub(super) fn continue_shutdown(&mut self) {
        let now = self.now();
        let Some(held_lease) = self.shutdown.as_ref().map(|shutdown| shutdown.held_lease) else { return };
        let observed = self.observe_shutdown(held_lease);
        let Some(shutdown) = &mut self.shutdown else { return };
        match shutdown.sequence.step(now, &observed) {
            Step::Wait => {}
            Step::RequestLeave => self.request_leave(),
            Step::End(outcome) => {
                if let Some(done) = shutdown.done.take() {
                    send_reply(done, outcome);
                }
            }
        }
    }

    fn observe_shutdown(&self, held_lease: bool) -> Observation {
        let status = self.replica.status();
        let membership = match status.leave_state {
            _ if !status.is_member => Membership::Left,
            chain::LeaveState::Left => Membership::Left,
            chain::LeaveState::Leaving => Membership::Leaving,
            chain::LeaveState::NotLeaving | chain::LeaveState::OutOfChain => Membership::Staying,
        };
        let is_lease_transferred = !held_lease || self.elector.known_holder().is_some();
        Observation { membership, has_replacement: !status.learners.is_empty(), is_lease_transferred }
    }

    fn request_leave(&mut self) {
        info!("shutdown", kv: { outcome = "leaving", view = self.views.current() });
        self.handle_replica_event(chain::Event::Leave);
    }
}
