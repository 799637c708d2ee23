//! A bound on the rate of log lines, with a count of those left out. A state machine without a clock of its own.

use std::time::Duration;

/// Lets lines through at a steady rate with bursts, and counts the others.
#[derive(Clone, Debug)]
pub struct LineLimit {
    /// The time in which one more line may go out.
    every: Duration,
    /// Lines that may go out at once after a quiet time.
    burst: u32,
    /// Until when the lines written so far use the rate up. The rate is free again once it is past.
    used_until: Duration,
    omitted: u64,
}

/// A line may go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Lines that were left out since the one before.
    pub omitted: u64,
}

impl LineLimit {
    /// One line in `every`, and up to `burst` at once.
    pub fn new(every: Duration, burst: u32) -> LineLimit {
        LineLimit { every, burst: burst.max(1), used_until: Duration::ZERO, omitted: 0 }
    }

    /// Asks for one line at `now`, which is steady time.
    pub fn ask(&mut self, now: Duration) -> Option<Permit> {
        let used = self.used_until.max(now);
        if used - now > self.every * (self.burst - 1) {
            self.omitted += 1;
            return None;
        }
        self.used_until = used + self.every;
        Some(Permit { omitted: std::mem::take(&mut self.omitted) })
    }

    /// Lines that were left out since the last one that went out.
    pub fn omitted(&self) -> u64 {
        self.omitted
    }
}

#[cfg(test)]
#[path = "line_limit_tests.rs"]
mod line_limit_tests;
