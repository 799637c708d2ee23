//! The recent outcomes of attempts, as a miss rate that few or old samples raise only a little.

/// Maximum number of earlier attempts that a history counts. A larger number is scaled down to it.
const MAX_COUNTED_ATTEMPTS: f64 = 16.0;
/// Pseudo-count of successes that is added to the attempts (a Bayesian prior), so that few attempts have
/// little weight.
const PRIOR_SUCCESSES: f64 = 4.0;

/// Decaying counts of attempts and of misses among them. A miss is an attempt that failed or was answered
/// after its latency target.
#[derive(Clone, Copy)]
pub(crate) struct OutcomeHistory {
    attempts: f64,
    misses: f64,
    updated_at_ms: f64,
}

impl OutcomeHistory {
    pub(crate) const EMPTY: OutcomeHistory =
        OutcomeHistory { attempts: 0.0, misses: 0.0, updated_at_ms: 0.0 };

    /// Records the outcome of one attempt. Earlier attempts decay by age, or faster if
    /// [`MAX_COUNTED_ATTEMPTS`] requires it.
    pub(crate) fn record(&mut self, is_miss: bool, now_ms: f64, time_constant_ms: f64) {
        let decay_by_age = (-(now_ms - self.updated_at_ms) / time_constant_ms).exp();
        let decay_factor = decay_by_age.min(MAX_COUNTED_ATTEMPTS / self.attempts.max(MAX_COUNTED_ATTEMPTS));
        self.attempts = self.attempts * decay_factor + 1.0;
        self.misses = self.misses * decay_factor + f64::from(u8::from(is_miss));
        self.updated_at_ms = now_ms;
    }

    /// Returns the share of misses, decayed to now, from 0 to 1.
    pub(crate) fn miss_rate(&self, now_ms: f64, time_constant_ms: f64) -> f64 {
        let decay_factor = (-(now_ms - self.updated_at_ms) / time_constant_ms).exp();
        self.misses * decay_factor / (self.attempts * decay_factor + PRIOR_SUCCESSES)
    }
}

/// The outcomes of one class at one server, and whether the server is ejected for the class.
#[derive(Clone, Copy)]
pub(crate) struct ClassHistory {
    pub(crate) outcomes: OutcomeHistory,
    /// The miss rate above which the server is ejected for the class; infinite while the server is not
    /// ejected for it.
    pub(crate) ejection_miss_rate: f64,
}

impl ClassHistory {
    pub(crate) const EMPTY: ClassHistory =
        ClassHistory { outcomes: OutcomeHistory::EMPTY, ejection_miss_rate: f64::INFINITY };
}
