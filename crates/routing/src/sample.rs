//! What a round-trip time means: the one place where measurements become samples of a server's average.
//!
//! | part | time from sending to | unit |
//! | --- | --- | --- |
//! | [`Part::Prefill`] | the handle | ms, or ms for each unit of work ([`Normalisation::ByTokens`]) |
//! | [`Part::Decode`] | the first event | ms |
//! | [`Part::Whole`] | the end of the answer, or the first event of a stream | ms |

use crate::tuning::{Normalisation, Tuning};
use lugwharf_protocol::Stage;
use std::time::Duration;

/// What a server does for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Part {
    /// Reads the prompt.
    Prefill,
    /// Makes the tokens.
    Decode,
    /// All of it.
    Whole,
}

impl Part {
    /// How many parts there are.
    pub const COUNT: usize = 3;

    pub(crate) fn index(self) -> usize {
        match self {
            Part::Prefill => 0,
            Part::Decode => 1,
            Part::Whole => 2,
        }
    }

    /// Whether a server listed with `stage` does this part.
    pub fn fits(self, stage: Option<Stage>) -> bool {
        match (self, stage) {
            (_, None) => true,
            (Part::Prefill, Some(stage)) => stage == Stage::Prefill,
            (Part::Decode | Part::Whole, Some(stage)) => stage == Stage::Decode,
        }
    }
}

/// The size of a piece of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Tokens that have to be read.
    pub tokens: f64,
}

impl Work {
    /// Units of work: 1 for the fixed part, and 1 for each [`Tuning::base_tokens`].
    pub fn units(self, part: Part, tuning: &Tuning) -> f64 {
        match (part, tuning.normalisation) {
            (Part::Prefill, Normalisation::ByTokens) => 1.0 + self.tokens / tuning.base_tokens.max(1.0),
            _ => 1.0,
        }
    }
}

/// Why a send failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came up.
    Connect,
    /// The connection broke, or what came was no answer to the request.
    Broken,
    /// The time was over.
    Timeout,
    /// The server gave a failure of its own.
    Status,
}

/// What a send showed of its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// It did its part.
    Answered {
        /// The time that counts for the part.
        took: Duration,
        /// The size.
        work: Work,
    },
    /// It failed.
    Failed {
        /// How.
        failure: Failure,
        /// The time until then.
        took: Duration,
        /// What the send's time was bounded by; prices the failure.
        timeout: Duration,
        /// The size.
        work: Work,
    },
    /// It turned the request away because it is full.
    Rejected,
    /// Nothing was sent, or what came tells nothing of the server.
    Void,
}

/// The time that enters the average, in ms for each unit: a failure enters as `max(measured, timeout)`. A refusal enters
/// no time.
pub(crate) fn value(sample: Sample, part: Part, tuning: &Tuning) -> Option<f64> {
    let (took, work) = match sample {
        Sample::Answered { took, work } => (took, work),
        Sample::Failed { took, timeout, work, .. } if tuning.samples_failures => (took.max(timeout), work),
        Sample::Failed { .. } => return None,
        Sample::Rejected | Sample::Void => return None,
    };
    Some(took.as_secs_f64() * 1e3 / work.units(part, tuning))
}
