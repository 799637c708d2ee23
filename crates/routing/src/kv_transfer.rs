//! Whether the memory of prompts can be handed over between the servers of a service.
//!
//! Where handles lapse or links between servers are down, each attempt at a pair costs an extra arrival. Once most hand-overs
//! fail, requests go to decode servers alone, but for a trial now and then.

use std::time::Duration;

/// Weight of one hand-over in the share of failed ones.
const EWMA_GAIN: f64 = 0.25;
/// Above this share pairs are given up.
const MAX_FAILED_SHARE: f64 = 0.5;
/// The time between trials.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// The hand-overs of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KvTransferBreaker {
    failed_share: f64,
    next_trial_at: Duration,
}

impl KvTransferBreaker {
    /// A hand-over has ended.
    pub fn record(&mut self, now: Duration, succeeded: bool) {
        let failed = if succeeded { 0.0 } else { 1.0 };
        self.failed_share += (failed - self.failed_share) * EWMA_GAIN;
        if !succeeded {
            self.next_trial_at = now + TRIAL_INTERVAL;
        }
    }

    /// Whether a pair is worth trying now. A trial counts as begun.
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
