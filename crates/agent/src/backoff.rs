//! The delay between two passes over the known control processes.

use fastrand::Rng;
use std::time::Duration;

/// The first delay. It is short so that a pass that failed for a transient reason is retried soon.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// The longest delay. A front-end node must receive a configuration within 2 s of the recovery of the control
/// plane; those 2 s also have to cover one control process that does not respond (0.35 s) and a second
/// attempt.
const MAX_DELAY: Duration = Duration::from_millis(600);

/// Exponential backoff with jitter, so that the agents of a fleet do not all reconnect at the same time.
#[derive(Debug)]
pub struct Backoff {
    rng: Rng,
    delay: Duration,
}

impl Backoff {
    /// Creates a backoff that starts at the minimum delay. `seed` determines the jitter.
    pub fn new(seed: u64) -> Backoff {
        Backoff { rng: Rng::with_seed(seed), delay: MIN_DELAY }
    }

    /// Returns to the minimum delay. Call this after a control process has served a pull.
    pub fn reset(&mut self) {
        self.delay = MIN_DELAY;
    }

    /// Returns the next delay, drawn uniformly from the upper half of the current delay. The current delay
    /// then doubles, up to 600 ms.
    pub fn next(&mut self) -> Duration {
        let delay = self.delay.mul_f64(0.5 + 0.5 * self.rng.f64());
        self.delay = (self.delay * 2).min(MAX_DELAY);
        delay
    }
}
