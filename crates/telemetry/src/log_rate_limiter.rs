//! A token bucket for log lines, which counts the lines that it suppresses. The caller passes the current
//! time.

use std::time::Duration;

/// Admits log lines at a limited rate, with bursts, and counts the suppressed lines.
///
/// The limiter is a token bucket, implemented as the generic cell rate algorithm (GCRA). Its state is the
/// time at which the bucket will be full again.
#[derive(Clone, Debug)]
pub struct LogRateLimiter {
    /// The time in which the bucket gains one token, which admits one line.
    interval: Duration,
    /// The maximum number of lines that are admitted at once after a quiet period; at least 1.
    burst: u32,
    /// The time at which the bucket will be full again; in the past if the bucket is full.
    full_at: Duration,
    /// The number of lines suppressed since the last admitted one.
    omitted: u64,
}

/// The permission to write one log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPermit {
    /// The number of lines suppressed since the last admitted one, to be written in this line.
    pub omitted: u64,
}

impl LogRateLimiter {
    /// Admits one line in each `interval`, and up to `burst` at once. A burst of 0 counts as 1.
    pub fn new(interval: Duration, burst: u32) -> LogRateLimiter {
        LogRateLimiter { interval, burst: burst.max(1), full_at: Duration::ZERO, omitted: 0 }
    }

    /// Takes a token from the bucket; `None` if the bucket is empty. `now` is the time of a monotonic clock.
    pub fn try_acquire(&mut self, now: Duration) -> Option<LogPermit> {
        let full_at = self.full_at.max(now);
        if full_at - now > self.interval * (self.burst - 1) {
            self.omitted += 1;
            return None;
        }
        self.full_at = full_at + self.interval;
        Some(LogPermit { omitted: std::mem::take(&mut self.omitted) })
    }

    /// The number of lines suppressed since the last admitted one.
    pub fn omitted(&self) -> u64 {
        self.omitted
    }
}

#[cfg(test)]
#[path = "log_rate_limiter_tests.rs"]
mod log_rate_limiter_tests;
