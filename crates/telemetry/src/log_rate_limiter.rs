//! A token bucket for log lines that counts the lines it suppresses. It has no clock of its own: the caller passes the time.

use std::time::Duration;

/// Admits log lines at a steady rate with bursts, and counts the others.
///
/// It is a token bucket in the form of the generic cell rate algorithm: the state is one time, up to which the lines admitted
/// so far have used the rate up.
#[derive(Clone, Debug)]
pub struct LogRateLimiter {
    /// The time in which the bucket gains one line.
    interval: Duration,
    /// Lines that may be written at once after a quiet time; at least 1.
    burst: u32,
    /// Until when the lines admitted so far use the rate up; in the past if the bucket is full.
    used_until: Duration,
    omitted: u64,
}

/// The permission to write one log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPermit {
    /// Lines suppressed since the last one that was admitted; for the log line itself.
    pub omitted: u64,
}

impl LogRateLimiter {
    /// Admits one line in each `interval`, and up to `burst` at once. A burst of 0 counts as 1.
    pub fn new(interval: Duration, burst: u32) -> LogRateLimiter {
        LogRateLimiter { interval, burst: burst.max(1), used_until: Duration::ZERO, omitted: 0 }
    }

    /// Takes one line from the bucket at `now`, a time of a steady clock; `None` if the bucket is empty.
    pub fn try_acquire(&mut self, now: Duration) -> Option<LogPermit> {
        let used_until = self.used_until.max(now);
        if used_until - now > self.interval * (self.burst - 1) {
            self.omitted += 1;
            return None;
        }
        self.used_until = used_until + self.interval;
        Some(LogPermit { omitted: std::mem::take(&mut self.omitted) })
    }

    /// Lines suppressed since the last one that was admitted.
    pub fn omitted(&self) -> u64 {
        self.omitted
    }
}

#[cfg(test)]
#[path = "log_rate_limiter_tests.rs"]
mod log_rate_limiter_tests;
