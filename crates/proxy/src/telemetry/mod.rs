//! How requests end, and what tells of it: metrics and the trace of each request.

pub mod metrics;
#[cfg(test)]
mod metrics_tests;
pub mod outcome;
pub mod request_trace;
#[cfg(test)]
mod request_trace_tests;
