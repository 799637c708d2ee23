//! Results of attempts. This module alone converts durations to latency samples.
//!
//! | phase | time from sending the request to | unit of the sample |
//! | --- | --- | --- |
//! | [`Phase::Prefill`] | the KV handle | ms, or ms per [unit of work](WorkSize::units) with [`Normalisation::ByTokens`] |
//! | [`Phase::Decode`] | the first event | ms |
//! | [`Phase::Full`] | the end of the response, or the first event of a stream | ms |

use crate::phase::Phase;
use crate::tuning::{Normalisation, Tuning};
use std::time::Duration;

/// The amount of work of one attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkSize {
    /// The number of prompt tokens that have to be prefilled.
    pub tokens: f64,
}

impl WorkSize {
    /// Returns the units of work: 1 for the fixed cost of an attempt, and 1 more for each
    /// [`Tuning::prefill_base_tokens`] of a prefill that is normalised by tokens.
    pub fn units(self, phase: Phase, tuning: &Tuning) -> f64 {
        match (phase, tuning.normalisation) {
            (Phase::Prefill, Normalisation::ByTokens) => {
                1.0 + self.tokens / tuning.prefill_base_tokens.max(1.0)
            }
            _ => 1.0,
        }
    }
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be established.
    Connect,
    /// The connection broke, or the received bytes are not a response to the request.
    ConnectionBroken,
    /// The attempt's deadline passed.
    Timeout,
    /// The server answered with an error of its own.
    ServerError,
}

/// What the result of one attempt shows about its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The server completed its work.
    Success {
        /// The time that counts for the phase; see the table in the module documentation.
        elapsed: Duration,
        /// The amount of work.
        work: WorkSize,
    },
    /// The server failed.
    Failure {
        /// The kind of failure.
        kind: FailureKind,
        /// The time until the failure.
        elapsed: Duration,
        /// The timeout of the attempt. A failure counts as at least this long, so that a server that fails
        /// fast does not look fast.
        timeout: Duration,
        /// The amount of work.
        work: WorkSize,
    },
    /// The server rejected the request because it is saturated.
    Rejected,
    /// Nothing was sent, or the outcome says nothing about the server.
    Inconclusive,
}

impl Observation {
    /// Returns the latency sample in ms per unit of work; `None` if the observation carries no latency.
    ///
    /// A failure counts as `max(elapsed, timeout)`, or not at all if [`Tuning::samples_failures`] is off.
    pub(crate) fn latency_sample(self, phase: Phase, tuning: &Tuning) -> Option<f64> {
        let (elapsed, work) = match self {
            Observation::Success { elapsed, work } => (elapsed, work),
            Observation::Failure { elapsed, timeout, work, .. } if tuning.samples_failures => {
                (elapsed.max(timeout), work)
            }
            Observation::Failure { .. } | Observation::Rejected | Observation::Inconclusive => return None,
        };
        Some(elapsed.as_secs_f64() * 1e3 / work.units(phase, tuning))
    }
}
