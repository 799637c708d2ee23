//! The counters of this process.
//!
//! Counters are plain cells, since all tasks run on one thread.
//! [`metrics_endpoint`](crate::telemetry::metrics_endpoint) renders them on request. `docs/OPERATING.md`
//! lists the names.

use crate::telemetry::outcome::{AttemptLabel, RequestOutcome};
use lugwharf_telemetry::{Exposition, LogPermit, LogRateLimiter};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// The time after which one log line is added to a token bucket. Log lines about failed requests are limited
/// by one bucket for each outcome, which holds up to [`LOG_BURST`] lines.
const LOG_REFILL_INTERVAL: Duration = Duration::from_secs(1);
/// The capacity of the token bucket of an outcome, in log lines. Buckets start full.
const LOG_BURST: u32 = 5;

/// The counters since the start of the process.
pub struct Metrics {
    /// Completed requests by [`RequestOutcome::index`].
    requests: [Cell<u64>; RequestOutcome::COUNT],
    /// Completed attempts by [`AttemptLabel::index`].
    attempts: [Cell<u64>; AttemptLabel::NAMES.len()],
    /// Retries that the retry budget denied.
    pub budget_denials: Cell<u64>,
    /// Unused KV handles that were freed at their prefill servers.
    pub handles_freed: Cell<u64>,
    /// Unused KV handles that could not be freed. They expire at their prefill servers.
    pub handles_not_freed: Cell<u64>,
    /// Configurations that could not be read, each time that the agent sent one.
    pub unreadable_configs: Cell<u64>,
    /// Log lines about failed requests that were omitted because of the rate limit.
    omitted_log_lines: Cell<u64>,
    log_limiters: RefCell<[LogRateLimiter; RequestOutcome::COUNT]>,
}

/// Increments a counter.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Metrics {
    /// Creates counters at zero, and full token buckets for log lines.
    pub fn new() -> Metrics {
        let limiter = |_| LogRateLimiter::new(LOG_REFILL_INTERVAL, LOG_BURST);
        Metrics {
            requests: std::array::from_fn(|_| Cell::new(0)),
            attempts: std::array::from_fn(|_| Cell::new(0)),
            budget_denials: Cell::new(0),
            handles_freed: Cell::new(0),
            handles_not_freed: Cell::new(0),
            unreadable_configs: Cell::new(0),
            omitted_log_lines: Cell::new(0),
            log_limiters: RefCell::new(std::array::from_fn(limiter)),
        }
    }

    /// Counts a completed request.
    pub fn record_request(&self, outcome: RequestOutcome) {
        increment(&self.requests[outcome.index()]);
    }

    /// Counts a completed attempt.
    pub fn record_attempt(&self, label: AttemptLabel) {
        increment(&self.attempts[label.index()]);
    }

    /// Asks the rate limit for permission to log a request with this outcome. Returns `None`, and counts the
    /// line as omitted, if the limit is exceeded.
    pub fn try_acquire_log_permit(&self, now: Duration, outcome: RequestOutcome) -> Option<LogPermit> {
        let permit = self.log_limiters.borrow_mut()[outcome.index()].try_acquire(now);
        if permit.is_none() {
            increment(&self.omitted_log_lines);
        }
        permit
    }

    /// Adds all counters to `exposition`.
    pub fn expose(&self, exposition: &mut Exposition) {
        let requests =
            RequestOutcome::all().map(|outcome| (outcome.name(), self.requests[outcome.index()].get()));
        exposition.counters_by_outcome("requests", "Requests by outcome", requests);
        let attempts = AttemptLabel::NAMES.into_iter().zip(self.attempts.iter().map(Cell::get));
        exposition.counters_by_outcome("sends", "Attempts at servers by outcome", attempts);
        let counters = [
            ("budget_denials", "Retries that the retry budget did not allow", &self.budget_denials),
            ("handles_freed", "KV handles that were freed unused", &self.handles_freed),
            ("handles_left", "KV handles that could not be freed", &self.handles_not_freed),
            ("configs_unreadable", "Configurations that could not be read", &self.unreadable_configs),
            ("request_lines_omitted", "Log lines about failed requests omitted", &self.omitted_log_lines),
        ];
        for (name, help, counter) in counters {
            exposition.counter(name, help, counter.get());
        }
    }
}
