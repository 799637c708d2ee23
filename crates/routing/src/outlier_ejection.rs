//! Outlier ejection: servers with consecutive failures are excluded from selection for a while, and are
//! readmitted by single trial requests.
//!
//! As in Envoy's outlier detection, there are a base and a maximum ejection time, and a bound on the ejected
//! share of the servers of one service and stage (see [`Balancer`](crate::Balancer)). Unlike in Envoy, the
//! ejection time doubles with each failed trial.

use crate::observation::FailureKind;
use crate::tuning::Tuning;
use std::time::Duration;

/// The failures and the ejection of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutlierEjection {
    consecutive_failures: u8,
    /// The end of the current ejection; only meaningful if `ejection_time` is not zero.
    ejected_until: Duration,
    /// The duration of the last ejection; zero if there was none since the last success.
    ejection_time: Duration,
    has_trial_in_flight: bool,
}

impl OutlierEjection {
    /// Counts a failure; returns whether the server should be ejected. The caller decides and calls
    /// [`OutlierEjection::eject`].
    ///
    /// A refused connection counts as [`Tuning::ejection_threshold`] failures, since nothing listens at the
    /// address.
    pub fn record_failure(&mut self, kind: FailureKind, tuning: &Tuning) -> bool {
        self.has_trial_in_flight = false;
        let failures = match kind {
            FailureKind::Connect => tuning.ejection_threshold,
            FailureKind::ConnectionBroken | FailureKind::Timeout | FailureKind::ServerError => 1,
        };
        self.consecutive_failures = self.consecutive_failures.saturating_add(failures);
        self.consecutive_failures >= tuning.ejection_threshold
    }

    /// Ejects the server from `now` on: first for [`Tuning::base_ejection_time`], then for twice as long each
    /// time, up to [`Tuning::max_ejection_time`].
    ///
    /// An ongoing ejection is not extended: attempts that fail during it were in flight together with those
    /// that caused it and give no new information.
    pub fn eject(&mut self, now: Duration, tuning: &Tuning) {
        if now < self.ejected_until {
            return;
        }
        let doubled = self.ejection_time.saturating_mul(2);
        self.ejection_time = doubled.clamp(tuning.base_ejection_time, tuning.max_ejection_time);
        self.ejected_until = now + self.ejection_time;
    }

    /// Records a success, which clears all failures and the ejection.
    pub fn record_success(&mut self) {
        *self = OutlierEjection::default();
    }

    /// Records that an attempt ended without showing whether the server works: another trial may start.
    pub fn record_inconclusive(&mut self) {
        self.has_trial_in_flight = false;
    }

    /// Returns whether the server is ejected at `now`, or has its one trial in flight.
    pub fn is_ejected(&self, now: Duration) -> bool {
        !self.ejection_time.is_zero() && (now < self.ejected_until || self.has_trial_in_flight)
    }

    /// Records the start of an attempt. After an ejection it is a trial, and no other one starts until it
    /// ends.
    pub fn record_start(&mut self) {
        self.has_trial_in_flight = !self.ejection_time.is_zero();
    }
}
