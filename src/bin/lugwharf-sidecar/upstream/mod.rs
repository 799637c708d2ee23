//! The upstreams' side: attempts and probes, and what their answers mean.

mod attempt;
mod exchange;
mod probe;

pub use attempt::{AttemptDeadlines, ForwardedRequest, ServedBody, attempt};
pub use exchange::MAX_BODY;
pub use probe::probe;

#[cfg(test)]
mod upstream_tests;
