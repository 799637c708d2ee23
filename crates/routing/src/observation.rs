//! What a round-trip time means: the one place where measurements become samples of a server's average.
//!
//! | part | time from sending to | unit |
//! | --- | --- | --- |
//! | [`Phase::Prefill`] | the handle | ms, or ms for each unit of work ([`Normalisation::ByTokens`]) |
//! | [`Phase::Decode`] | the first event | ms |
//! | [`Phase::Full`] | the end of the answer, or the first event of a stream | ms |

use crate::tuning::{Normalisation, Tuning};
use lugwharf_protocol::Stage;
use std::time::Duration;

/// What a server does for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Reads the prompt.
    Prefill,
    /// Makes the tokens.
    Decode,
    /// All of it.
    Full,
}

impl Phase {
    /// How many parts there are.
    pub const COUNT: usize = 3;

    pub(crate) fn index(self) -> usize {
        match self {
            Phase::Prefill => 0,
            Phase::Decode => 1,
            Phase::Full => 2,
        }
    }

    /// Whether a server listed with `stage` does this part.
    pub fn fits(self, stage: Option<Stage>) -> bool {
        match (self, stage) {
            (_, None) => true,
            (Phase::Prefill, Some(stage)) => stage == Stage::Prefill,
            (Phase::Decode | Phase::Full, Some(stage)) => stage == Stage::Decode,
        }
    }
}

/// The size of a piece of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkSize {
    /// Tokens that have to be read.
    pub tokens: f64,
}

impl WorkSize {
    /// Units of work: 1 for the fixed part, and 1 for each [`Tuning::base_tokens`].
    pub fn units(self, phase: Phase, tuning: &Tuning) -> f64 {
        match (phase, tuning.normalisation) {
            (Phase::Prefill, Normalisation::ByTokens) => {
                1.0 + self.tokens / tuning.prefill_base_tokens.max(1.0)
            }
            _ => 1.0,
        }
    }
}

/// Why a send failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection came up.
    Connect,
    /// The connection broke, or what came was no answer to the request.
    ConnectionBroken,
    /// The time was over.
    Timeout,
    /// The server gave a failure of its own.
    ServerError,
}

/// What a send showed of its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// It did its part.
    Success {
        /// The time that counts for the part.
        elapsed: Duration,
        /// The size.
        work: WorkSize,
    },
    /// It failed.
    Failure {
        /// How.
        kind: FailureKind,
        /// The time until then.
        elapsed: Duration,
        /// What the send's time was bounded by; prices the failure.
        timeout: Duration,
        /// The size.
        work: WorkSize,
    },
    /// It turned the request away because it is full.
    Rejected,
    /// Nothing was sent, or what came tells nothing of the server.
    Inconclusive,
}

/// The time that enters the average, in ms for each unit: a failure enters as `max(measured, timeout)`. A refusal enters
/// no time.
pub(crate) fn value(sample: Observation, phase: Phase, tuning: &Tuning) -> Option<f64> {
    let (elapsed, work) = match sample {
        Observation::Success { elapsed, work } => (elapsed, work),
        Observation::Failure { elapsed, timeout, work, .. } if tuning.samples_failures => {
            (elapsed.max(timeout), work)
        }
        Observation::Failure { .. } => return None,
        Observation::Rejected | Observation::Inconclusive => return None,
    };
    Some(elapsed.as_secs_f64() * 1e3 / work.units(phase, tuning))
}
