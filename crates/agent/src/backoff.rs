//! The pause between two passes over the control processes.

use fastrand::Rng;
use std::time::Duration;

/// The first pause: a pass that failed by chance is retried soon.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause. A front-end node must have a configuration within 2 s after the control plane has recovered; that
/// includes a control process that does not answer (0.35 s) and a second attempt.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// Exponential backoff with jitter, so that the agents of a fleet do not come back all at once.
#[derive(Debug)]
pub struct Backoff {
    rng: Rng,
    pause: Duration,
}

impl Backoff {
    /// A backoff whose first pause is the shortest. The jitter follows from the seed.
    pub fn new(seed: u64) -> Backoff {
        Backoff { rng: Rng::with_seed(seed), pause: MIN_PAUSE }
    }

    /// Starts over with the shortest pause, after a control process has served.
    pub fn reset(&mut self) {
        self.pause = MIN_PAUSE;
    }

    /// The next pause: drawn between half of the present one and all of it. The present one then doubles, up to 600 ms.
    pub fn next(&mut self) -> Duration {
        let pause = self.pause.mul_f64(0.5 + 0.5 * self.rng.f64());
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        pause
    }
}
