//! The peak-sensitive moving average of a round-trip time.

use std::time::Duration;

/// The average with the time of its last update. Values are in ms, or in ms for each unit of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeakEwma {
    value: Option<f64>,
    updated_at: Duration,
}

impl PeakEwma {
    /// Folds a sample in: one above the average replaces it at once if it `is_peak_sensitive`, a lower one pulls it down by timed
    /// decay, `exp(-dt / decay)`.
    pub fn observe(&mut self, now: Duration, decay: Duration, sample: f64, is_peak_sensitive: bool) {
        if !sample.is_finite() || sample < 0.0 {
            return;
        }
        let weight = self.decay_weight(now, decay);
        self.value = Some(match self.value {
            Some(value) if sample < value || !is_peak_sensitive => value * weight + sample * (1.0 - weight),
            _ => sample,
        });
        self.updated_at = now;
    }

    /// The average as it was last folded.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// The average as of now. Old news fades towards `baseline`, so that a server that was slow once is tried again; one
    /// without samples counts as baseline.
    pub fn decayed(&self, now: Duration, decay: Duration, baseline: f64) -> f64 {
        match self.value {
            Some(value) => baseline + (value - baseline) * self.decay_weight(now, decay),
            None => baseline,
        }
    }

    fn decay_weight(&self, now: Duration, decay: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        (-age / decay.as_secs_f64().max(1e-3)).exp()
    }
}
