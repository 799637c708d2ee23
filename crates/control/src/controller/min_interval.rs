//! The minimum time between two actions of the same kind.

use std::time::Duration;

/// Decides when an action may be repeated. All times count from the start of the process.
#[derive(Debug)]
pub struct MinInterval {
    interval: Duration,
    last_at: Option<Duration>,
}

impl MinInterval {
    /// Allows an action at once, and then once per `interval`.
    pub fn new(interval: Duration) -> MinInterval {
        MinInterval { interval, last_at: None }
    }

    /// Returns whether the interval has passed since the last action, or there was none yet.
    pub fn is_due(&self, now: Duration) -> bool {
        self.last_at.is_none_or(|last| now.saturating_sub(last) >= self.interval)
    }

    /// Records that the action is taken at `now`.
    pub fn record(&mut self, now: Duration) {
        self.last_at = Some(now);
    }
}
