//! How attempts have lately ended, as a miss rate that is sceptical of few or old samples.

/// Attempts that a history counts at most; older ones fade beyond that.
const MAX_ATTEMPTS: f64 = 16.0;
/// Imagined successes that are added to the attempts, so that few attempts prove little.
const PRIOR_SUCCESSES: f64 = 4.0;

/// A decaying count of attempts and of misses among them. A miss is an attempt that failed or answered after its latency
/// target.
#[derive(Clone, Copy)]
pub(crate) struct OutcomeHistory {
    attempts: f64,
    misses: f64,
    updated_at_ms: f64,
}

impl OutcomeHistory {
    pub(crate) const EMPTY: OutcomeHistory =
        OutcomeHistory { attempts: 0.0, misses: 0.0, updated_at_ms: 0.0 };

    /// Records the end of one attempt. Earlier ones fade by their age, and by the bound on their number.
    pub(crate) fn record(&mut self, is_miss: bool, now_ms: f64, time_constant_ms: f64) {
        let by_age = (-(now_ms - self.updated_at_ms) / time_constant_ms).exp();
        let keep = by_age.min(MAX_ATTEMPTS / self.attempts.max(MAX_ATTEMPTS));
        self.attempts = self.attempts * keep + 1.0;
        self.misses = self.misses * keep + f64::from(u8::from(is_miss));
        self.updated_at_ms = now_ms;
    }

    /// The share of misses as of now, from 0 to 1.
    pub(crate) fn miss_rate(&self, now_ms: f64, time_constant_ms: f64) -> f64 {
        let keep = (-(now_ms - self.updated_at_ms) / time_constant_ms).exp();
        self.misses * keep / (self.attempts * keep + PRIOR_SUCCESSES)
    }
}

/// The outcomes of one class at one server, and whether the server is ejected for the class.
#[derive(Clone, Copy)]
pub(crate) struct ClassHistory {
    pub(crate) outcomes: OutcomeHistory,
    /// The server is ejected for the class while its miss rate is above this; infinite while it is not ejected.
    pub(crate) ejected_above: f64,
}

impl ClassHistory {
    pub(crate) const EMPTY: ClassHistory =
        ClassHistory { outcomes: OutcomeHistory::EMPTY, ejected_above: f64::INFINITY };
}
