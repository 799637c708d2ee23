//! The delay between two passes over the control processes.

use fastrand::Rng;
use std::time::Duration;

/// The first delay: a pass that failed by chance is retried soon.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// The longest delay. A front-end node must have a configuration within 2 s after the control plane has recovered; that
/// includes a control process that does not answer (0.35 s) and a second attempt.
const MAX_DELAY: Duration = Duration::from_millis(600);

/// Exponential backoff with jitter, so that the agents of a fleet do not come back all at once.
#[derive(Debug)]
pub struct Backoff {
    rng: Rng,
    delay: Duration,
}

impl Backoff {
    /// A backoff whose first delay is the shortest. The jitter follows from the seed.
    pub fn new(seed: u64) -> Backoff {
        Backoff { rng: Rng::with_seed(seed), delay: MIN_DELAY }
    }

    /// Starts over with the shortest delay, after a control process has served.
    pub fn reset(&mut self) {
        self.delay = MIN_DELAY;
    }

    /// The next delay: drawn between half of the present one and all of it. The present one then doubles, up to 600 ms.
    pub fn next(&mut self) -> Duration {
        let delay = self.delay.mul_f64(0.5 + 0.5 * self.rng.f64());
        self.delay = (self.delay * 2).min(MAX_DELAY);
        delay
    }
}
