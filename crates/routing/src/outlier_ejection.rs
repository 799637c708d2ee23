//! Leaves servers that fail in a row out of the draw for a while, and lets them back in by single trials.

use crate::observation::FailureKind;
use crate::tuning::Tuning;
use std::time::Duration;

/// The failures of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutlierEjection {
    consecutive_failures: u8,
    /// Ejected ejected_until then, while `ejection_time` is not zero.
    ejected_until: Duration,
    ejection_time: Duration,
    has_trial_in_flight: bool,
}

impl OutlierEjection {
    /// A failure. Returns whether the server should be ejected, which [`OutlierEjection::eject`] does.
    pub fn record_failure(&mut self, kind: FailureKind, tuning: &Tuning) -> bool {
        self.has_trial_in_flight = false;
        let consecutive_failures = match kind {
            FailureKind::Connect => tuning.ejection_threshold,
            FailureKind::ConnectionBroken | FailureKind::Timeout | FailureKind::ServerError => 1,
        };
        self.consecutive_failures = self.consecutive_failures.saturating_add(consecutive_failures);
        self.consecutive_failures >= tuning.ejection_threshold
    }

    /// Ejects it; each time in a row for twice as long.
    pub fn eject(&mut self, now: Duration, tuning: &Tuning) {
        let twice = self.ejection_time.saturating_mul(2);
        self.ejection_time = twice.clamp(tuning.base_ejection_time, tuning.max_ejection_time);
        self.ejected_until = now + self.ejection_time;
    }

    /// A success: all is forgotten.
    pub fn record_success(&mut self) {
        *self = OutlierEjection::default();
    }

    /// A send that ended and showed nothing.
    pub fn record_inconclusive(&mut self) {
        self.has_trial_in_flight = false;
    }

    /// Whether it is left out for now.
    pub fn is_ejected(&self, now: Duration) -> bool {
        !self.ejection_time.is_zero() && (now < self.ejected_until || self.has_trial_in_flight)
    }

    /// A send begins; after an ejection this is the only one ejected_until it ends.
    pub fn record_start(&mut self) {
        self.has_trial_in_flight = !self.ejection_time.is_zero();
    }
}
