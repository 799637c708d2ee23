//! The load that is planned for.

use std::time::Duration;

/// The shortest time constant in seconds; it avoids a division by zero.
const MIN_TIME_CONSTANT_SECONDS: f64 = 1e-3;

/// A load that rises at once and falls by exponential decay: servers that a burst needed are not reassigned right after it,
/// since the next burst would find them changing back.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingPeak {
    value: f64,
    updated_at: Duration,
}

impl DecayingPeak {
    /// Adds a sample and returns the load: the sample, or the decayed earlier load if that is larger.
    pub(crate) fn observe(&mut self, now: Duration, sample: f64, time_constant: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let retained = (-age / time_constant.as_secs_f64().max(MIN_TIME_CONSTANT_SECONDS)).exp();
        self.value = sample.max(sample + (self.value - sample) * retained);
        self.updated_at = now;
        self.value
    }
}
