//! Circuit breaker for KV cache transfers between the prefill and decode servers of a service.
//!
//! When KV handles expire or the links between servers are down, each attempted transfer costs one more
//! delivery. Once most transfers fail, the breaker opens: no transfer is attempted for requests whose prompts a
//! decode server may prefill itself, except for one trial every 500 ms (the half-open state of a circuit
//! breaker).

use std::time::Duration;

/// The weight of one transfer in the average share of failures.
const EWMA_GAIN: f64 = 0.25;
/// The breaker opens above this share of failures. With the gain above, three consecutive failures are
/// enough.
const MAX_FAILED_SHARE: f64 = 0.5;
/// The time between trials while the breaker is open.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// The circuit breaker of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KvTransferBreaker {
    failed_share: f64,
    next_trial_at: Duration,
}

impl KvTransferBreaker {
    /// Records the outcome of a transfer.
    pub fn record(&mut self, now: Duration, succeeded: bool) {
        let failed = if succeeded { 0.0 } else { 1.0 };
        self.failed_share += (failed - self.failed_share) * EWMA_GAIN;
        if !succeeded {
            self.next_trial_at = now + TRIAL_INTERVAL;
        }
    }

    /// Returns whether a transfer may be attempted now. While the breaker is open, `true` uses up the trial
    /// that is due.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        if self.failed_share <= MAX_FAILED_SHARE {
            return true;
        }
        let is_due = now >= self.next_trial_at;
        if is_due {
            self.next_trial_at = now + TRIAL_INTERVAL;
        }
        is_due
    }
}
