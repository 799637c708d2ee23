//! Attempts and probes to upstreams, and the interpretation of their answers.

mod attempt;
mod exchange;
mod probe;

pub use attempt::{AttemptDeadlines, ForwardedRequest, ServedBody, attempt};
pub use exchange::MAX_BODY_BYTES;
pub use probe::probe;

#[cfg(test)]
mod broken_answer_tests;
#[cfg(test)]
mod upstream_tests;
