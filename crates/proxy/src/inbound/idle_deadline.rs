//! When an idle client connection is closed, while the configured timeout may change.

use lugwharf_config::Limits;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
#[path = "idle_deadline_tests.rs"]
mod idle_deadline_tests;

/// A connection is closed only after it has been idle for this much longer than the configured timeout, since
/// clients may still reuse it close to the timeout. After a change, clients may follow the earlier timeout for
/// as long.
const IDLE_GRACE: Duration = Duration::from_secs(5);
/// The minimum idle timeout, which applies if the configured one is shorter.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The time at which a client connection is closed unless a request arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleDeadline {
    idle_since: Instant,
    at: Instant,
}

impl IdleDeadline {
    /// Creates the deadline of a connection that has been idle since `idle_since`.
    pub fn new(idle_since: Instant, limits: &Limits) -> IdleDeadline {
        IdleDeadline { idle_since, at: deadline(idle_since, limits) }
    }

    /// Returns the time at which the connection is closed.
    pub fn at(self) -> Instant {
        self.at
    }

    /// Applies limits that came into force at `now`. A shorter timeout closes the connection [`IDLE_GRACE`]
    /// after the change at the earliest, but never later than before the change.
    pub fn set_limits(&mut self, limits: &Limits, now: Instant) {
        let earliest = self.at.min(now + IDLE_GRACE);
        self.at = deadline(self.idle_since, limits).max(earliest);
    }
}

/// Returns the time at which a connection is closed under unchanged limits.
fn deadline(idle_since: Instant, limits: &Limits) -> Instant {
    idle_since + Duration::from_millis(limits.idle_timeout_ms).max(MIN_IDLE_TIMEOUT) + IDLE_GRACE
}
