//! The counters of this process.
//!
//! Counters are plain cells, since all tasks run on one thread. [`metrics_endpoint`](crate::telemetry::metrics_endpoint) renders
//! them when it is asked; `docs/OPERATING.md` lists the names.

use crate::telemetry::outcome::{AttemptLabel, RequestOutcome};
use lugwharf_telemetry::{Exposition, LogPermit, LogRateLimiter};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// The log lines about failed requests are limited by a token bucket for each outcome: one line is added in this time, up to
/// [`LOG_BURST`].
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The lines that the token bucket of an outcome holds at most, and at first.
const LOG_BURST: u32 = 5;

/// Counters since the start of the process.
pub struct Metrics {
    /// Requests by [`RequestOutcome::index`].
    requests: [Cell<u64>; RequestOutcome::COUNT],
    /// Attempts by [`AttemptLabel::index`].
    attempts: [Cell<u64>; AttemptLabel::NAMES.len()],
    /// Retries that the retry budget did not allow.
    pub budget_denials: Cell<u64>,
    /// KV handles that were freed unused.
    pub handles_freed: Cell<u64>,
    /// KV handles that could not be freed and expire by themselves.
    pub handles_left: Cell<u64>,
    /// Log lines about failed requests that were omitted by the rate limit.
    lines_omitted: Cell<u64>,
    log_limiters: RefCell<[LogRateLimiter; RequestOutcome::COUNT]>,
}

/// Increments a counter.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Metrics {
    /// All counters at zero, and full buckets of log lines.
    pub fn new() -> Metrics {
        let limiter = |_| LogRateLimiter::new(LOG_INTERVAL, LOG_BURST);
        Metrics {
            requests: std::array::from_fn(|_| Cell::new(0)),
            attempts: std::array::from_fn(|_| Cell::new(0)),
            budget_denials: Cell::new(0),
            handles_freed: Cell::new(0),
            handles_left: Cell::new(0),
            lines_omitted: Cell::new(0),
            log_limiters: RefCell::new(std::array::from_fn(limiter)),
        }
    }

    /// Counts a request that has ended.
    pub fn record_request(&self, outcome: RequestOutcome) {
        increment(&self.requests[outcome.index()]);
    }

    /// Counts an attempt that has ended.
    pub fn record_attempt(&self, label: AttemptLabel) {
        increment(&self.attempts[label.index()]);
    }

    /// Asks the rate limit for a log line about a request that ended in this way; counts the line if it is denied.
    pub fn try_log_request(&self, now: Duration, outcome: RequestOutcome) -> Option<LogPermit> {
        let permit = self.log_limiters.borrow_mut()[outcome.index()].try_acquire(now);
        if permit.is_none() {
            increment(&self.lines_omitted);
        }
        permit
    }

    /// Adds all counters to an exposition.
    pub fn expose(&self, exposition: &mut Exposition) {
        let requests =
            RequestOutcome::all().map(|outcome| (outcome.name(), self.requests[outcome.index()].get()));
        exposition.counters_by_outcome("requests", "Requests by outcome", requests);
        let attempts = AttemptLabel::NAMES.into_iter().zip(self.attempts.iter().map(Cell::get));
        exposition.counters_by_outcome("sends", "Attempts at servers by outcome", attempts);
        let counters = [
            ("budget_denials", "Retries that the retry budget did not allow", &self.budget_denials),
            ("handles_freed", "KV handles that were freed unused", &self.handles_freed),
            ("handles_left", "KV handles that could not be freed", &self.handles_left),
            ("request_lines_omitted", "Log lines about failed requests omitted", &self.lines_omitted),
        ];
        for (name, help, counter) in counters {
            exposition.counter(name, help, counter.get());
        }
    }
}
