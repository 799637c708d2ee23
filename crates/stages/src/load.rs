//! Load that stages are planned for.

use std::time::Duration;

/// The minimum time constant, in seconds; prevents a division by zero.
const MIN_TIME_CONSTANT_SECONDS: f64 = 1e-3;

/// A load that rises immediately and falls by exponential decay: servers needed for a burst are not
/// reassigned right after it, since the next burst would arrive while they change back.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingPeak {
    value: f64,
    updated_at: Duration,
}

impl DecayingPeak {
    /// Adds a sample; returns the load, which is the sample or, if larger, the decayed earlier load.
    pub(crate) fn observe(&mut self, now: Duration, sample: f64, time_constant: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let retained = (-age / time_constant.as_secs_f64().max(MIN_TIME_CONSTANT_SECONDS)).exp();
        self.value = sample.max(sample + (self.value - sample) * retained);
        self.updated_at = now;
        self.value
    }
}
