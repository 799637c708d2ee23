//! Outlier ejection: servers that fail in a row are left out of the selection for a while, and come back by single trials.
//!
//! As in Envoy's outlier detection there is a base and a maximum ejection time and a bound on the ejected share of the servers of one service and stage (see
//! [`Balancer`](crate::Balancer)). Unlike there, the ejection time doubles with each failed trial.

use crate::observation::FailureKind;
use crate::tuning::Tuning;
use std::time::Duration;

/// The failures and the ejection of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutlierEjection {
    consecutive_failures: u8,
    /// The end of the current ejection; only meaningful if `ejection_time` is not zero.
    ejected_until: Duration,
    /// The length of the last ejection; zero if there was none since the last success.
    ejection_time: Duration,
    has_trial_in_flight: bool,
}

impl OutlierEjection {
    /// Counts a failure. Returns whether the server should be ejected; the caller decides and calls
    /// [`OutlierEjection::eject`].
    ///
    /// A refused connection counts as [`Tuning::ejection_threshold`] failures: nobody is listening.
    pub fn record_failure(&mut self, kind: FailureKind, tuning: &Tuning) -> bool {
        self.has_trial_in_flight = false;
        let failures = match kind {
            FailureKind::Connect => tuning.ejection_threshold,
            FailureKind::ConnectionBroken | FailureKind::Timeout | FailureKind::ServerError => 1,
        };
        self.consecutive_failures = self.consecutive_failures.saturating_add(failures);
        self.consecutive_failures >= tuning.ejection_threshold
    }

    /// Ejects the server from `now` on: for [`Tuning::base_ejection_time`] first, then for twice as long each time, up to
    /// [`Tuning::max_ejection_time`].
    ///
    /// A server that is ejected stays so until the time that was set: what fails meanwhile was in flight together with what led
    /// to the ejection, and shows nothing new.
    pub fn eject(&mut self, now: Duration, tuning: &Tuning) {
        if now < self.ejected_until {
            return;
        }
        let doubled = self.ejection_time.saturating_mul(2);
        self.ejection_time = doubled.clamp(tuning.base_ejection_time, tuning.max_ejection_time);
        self.ejected_until = now + self.ejection_time;
    }

    /// A success clears all failures and the ejection.
    pub fn record_success(&mut self) {
        *self = OutlierEjection::default();
    }

    /// An attempt has ended without showing whether the server works: another trial may start.
    pub fn record_inconclusive(&mut self) {
        self.has_trial_in_flight = false;
    }

    /// Whether the server is ejected at `now`, or has its one trial in flight.
    pub fn is_ejected(&self, now: Duration) -> bool {
        !self.ejection_time.is_zero() && (now < self.ejected_until || self.has_trial_in_flight)
    }

    /// An attempt starts. After an ejection it is a trial, and the only one until it ends.
    pub fn record_start(&mut self) {
        self.has_trial_in_flight = !self.ejection_time.is_zero();
    }
}
