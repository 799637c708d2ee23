//! The phases of serving a generation.

use lugwharf_protocol::Stage;

/// The part of a request that a server performs in one attempt.
///
/// Prefill and decode have different costs, so latency averages and in-flight counts are kept for each phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Computes the KV cache of the prompt, and generates no tokens.
    Prefill,
    /// Fetches the KV cache from a prefill server and generates the tokens.
    Decode,
    /// The complete request at one server. Requests that are not generations have only this phase.
    Full,
}

impl Phase {
    /// The number of phases.
    pub const COUNT: usize = 3;

    /// Returns the index of the phase in arrays with one element per phase.
    pub(crate) fn index(self) -> usize {
        match self {
            Phase::Prefill => 0,
            Phase::Decode => 1,
            Phase::Full => 2,
        }
    }

    /// Returns whether a server that is listed with `stage` serves this phase. A server without a stage
    /// serves all phases; a decode server can also serve full requests.
    pub fn is_served_by(self, stage: Option<Stage>) -> bool {
        match (self, stage) {
            (_, None) => true,
            (Phase::Prefill, Some(stage)) => stage == Stage::Prefill,
            (Phase::Decode | Phase::Full, Some(stage)) => stage == Stage::Decode,
        }
    }
}
