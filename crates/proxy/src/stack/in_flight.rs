//! The accounting of attempts in flight at the balancer.

use crate::state::ProxyState;
use lugwharf_routing::{FailureKind, Observation, Phase, Selection, ServerKey, WorkSize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// If an attempt is cancelled without an observation after this time, because its client has disconnected, it
/// counts as timed out. Clients often give up on an unresponsive server before the deadline passes.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_000);

/// Counts an attempt as in flight until it is dropped, and reports the observations about the server to the
/// balancer.
pub struct InFlightAttempt {
    state: Rc<ProxyState>,
    key: ServerKey,
    phase: Phase,
    work: WorkSize,
    started_at: Instant,
    timeout: Duration,
    is_observed: bool,
}

impl InFlightAttempt {
    /// Records the start of an attempt at the selected server, which has time until `deadline`.
    pub fn new(
        state: &Rc<ProxyState>, selection: &Selection, phase: Phase, deadline: Instant,
    ) -> InFlightAttempt {
        state.balancer.borrow_mut().record_start(selection.key, phase);
        let started_at = Instant::now();
        InFlightAttempt {
            state: state.clone(),
            key: selection.key,
            phase,
            work: WorkSize { tokens: selection.prefill_tokens.into() },
            started_at,
            timeout: deadline.saturating_duration_since(started_at),
            is_observed: false,
        }
    }

    /// Records that the server succeeded, `elapsed` after the request was sent.
    pub fn record_success(&mut self, elapsed: Duration) {
        self.record(Observation::Success { elapsed, work: self.work });
    }

    /// Records that the server failed.
    pub fn record_failure(&mut self, kind: FailureKind) {
        let (elapsed, timeout, work) = (self.started_at.elapsed(), self.timeout, self.work);
        self.record(Observation::Failure { kind, elapsed, timeout, work });
    }

    /// Records that nothing was sent, or that the response says nothing about the server's health.
    pub fn record_inconclusive(&mut self) {
        self.record(Observation::Inconclusive);
    }

    /// Records that the server rejected the request because it is saturated.
    pub fn record_rejection(&mut self) {
        self.record(Observation::Rejected);
    }

    fn record(&mut self, observation: Observation) {
        self.is_observed = true;
        let now = self.state.now();
        self.state.balancer.borrow_mut().record_observation(now, self.key, self.phase, observation);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if !self.is_observed && self.started_at.elapsed() >= UNRESPONSIVE_AFTER {
            self.timeout = self.started_at.elapsed();
            self.record_failure(FailureKind::Timeout);
        }
        self.state.balancer.borrow_mut().record_end(self.key, self.phase);
    }
}
