//! The outcomes of requests and attempts, and where they are recorded: the metrics, and a trace of each
//! request.

pub mod metrics;
pub mod metrics_endpoint;
#[cfg(test)]
mod metrics_tests;
pub mod outcome;
pub mod request_trace;
#[cfg(test)]
mod request_trace_tests;
