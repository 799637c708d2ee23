//! The peak-sensitive moving average of a round-trip time.

use std::time::Duration;

/// The average with the time of its last update. Values are in ms, or in ms for each unit of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeakEwma {
    value: Option<f64>,
    updated: Duration,
}

impl PeakEwma {
    /// Folds a sample in: one above the average replaces it at once if it `rises_at_once`, a lower one pulls it down by timed
    /// decay, `exp(-dt / tau)`.
    pub fn fold(&mut self, now: Duration, tau: Duration, sample: f64, rises_at_once: bool) {
        if !sample.is_finite() || sample < 0.0 {
            return;
        }
        let keep = self.kept(now, tau);
        self.value = Some(match self.value {
            Some(value) if sample < value || !rises_at_once => value * keep + sample * (1.0 - keep),
            _ => sample,
        });
        self.updated = now;
    }

    /// The average as it was last folded.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// The average as of now. Old news fades towards `typical`, so that a server that was slow once is tried again; one
    /// without samples counts as typical.
    pub fn current(&self, now: Duration, tau: Duration, typical: f64) -> f64 {
        match self.value {
            Some(value) => typical + (value - typical) * self.kept(now, tau),
            None => typical,
        }
    }

    fn kept(&self, now: Duration, tau: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        (-age / tau.as_secs_f64().max(1e-3)).exp()
    }
}
