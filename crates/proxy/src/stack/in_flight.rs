//! One send in in_flight, as the balancer counts it.

use crate::state::ProxyState;
use lugwharf_routing::{FailureKind, Observation, Phase, Selection, ServerKey, WorkSize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A send that ends without a word after so long, since its client has left, counts as timed out: clients leave silent servers
/// before the time is over.
const SILENCE: Duration = Duration::from_millis(1_000);

/// Counts as in in_flight while it exists.
pub struct InFlightAttempt {
    state: Rc<ProxyState>,
    key: ServerKey,
    part: Phase,
    work: WorkSize,
    begun: Instant,
    timeout: Duration,
    is_seen: bool,
}

impl InFlightAttempt {
    /// A server was chosen, and has until `by`.
    pub fn new(state: &Rc<ProxyState>, choice: &Selection, part: Phase, by: Instant) -> InFlightAttempt {
        state.balancer.borrow_mut().record_start(choice.key, part);
        let begun = Instant::now();
        let work = WorkSize { tokens: choice.prefill_tokens.into() };
        let timeout = by.saturating_duration_since(begun);
        InFlightAttempt { state: state.clone(), key: choice.key, part, work, begun, timeout, is_seen: false }
    }

    /// The server did its part, so long after it was sent the request.
    pub fn answered(&mut self, took: Duration) {
        self.observe(Observation::Success { elapsed: took, work: self.work });
    }

    /// The server failed.
    pub fn failed(&mut self, failure: FailureKind) {
        let (took, timeout, work) = (self.begun.elapsed(), self.timeout, self.work);
        self.observe(Observation::Failure { kind: failure, elapsed: took, timeout, work });
    }

    /// Nothing was sent, or the answer tells nothing of the server.
    pub fn void(&mut self) {
        self.observe(Observation::Inconclusive);
    }

    /// The server turned the request away since it is full.
    pub fn rejected(&mut self) {
        self.observe(Observation::Rejected);
    }

    fn observe(&mut self, sample: Observation) {
        self.is_seen = true;
        let now = self.state.now();
        self.state.balancer.borrow_mut().record_observation(now, self.key, self.part, sample);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if !self.is_seen && self.begun.elapsed() >= SILENCE {
            self.timeout = self.begun.elapsed();
            self.failed(FailureKind::Timeout);
        }
        self.state.balancer.borrow_mut().record_end(self.key, self.part);
    }
}
