//! Peak-sensitive exponentially weighted moving average of latency, after Finagle's `PeakEwma` (also in tower
//! and linkerd2-proxy).

use std::time::Duration;

/// The minimum decay constant, in seconds; prevents a division by zero.
const MIN_DECAY_SECONDS: f64 = 1e-3;

/// A moving average that rises immediately and falls slowly.
///
/// Used to rank servers by latency: a latency peak must move traffic away within one sample, while a recovery
/// may take effect gradually. Values are in ms, or in ms per unit of work. Samples arrive at irregular
/// intervals, so the weight of the past is `exp(-elapsed / decay)`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeakEwma {
    value: Option<f64>,
    updated_at: Duration,
}

impl PeakEwma {
    /// Adds a sample. A sample above the average replaces it if `is_peak_sensitive` is set; any other sample
    /// is averaged in. Samples that are negative or not finite are ignored.
    pub fn observe(&mut self, now: Duration, decay: Duration, sample: f64, is_peak_sensitive: bool) {
        if !sample.is_finite() || sample < 0.0 {
            return;
        }
        let weight = self.past_weight(now, decay);
        self.value = Some(match self.value {
            Some(value) if sample < value || !is_peak_sensitive => value * weight + sample * (1.0 - weight),
            _ => sample,
        });
        self.updated_at = now;
    }

    /// Returns the average as of the last sample; `None` without samples.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Returns the average at `now`. The average decays towards `baseline`, so that a server that was slow
    /// once is tried again; without samples it is the baseline.
    pub fn decayed(&self, now: Duration, decay: Duration, baseline: f64) -> f64 {
        match self.value {
            Some(value) => baseline + (value - baseline) * self.past_weight(now, decay),
            None => baseline,
        }
    }

    /// Returns the weight of the past, which falls from 1 at the last sample towards 0.
    fn past_weight(&self, now: Duration, decay: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        (-elapsed / decay.as_secs_f64().max(MIN_DECAY_SECONDS)).exp()
    }
}
