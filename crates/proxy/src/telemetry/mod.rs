//! How requests and attempts end, and what records it: metrics, and the trace of each request.

pub mod metrics;
pub mod metrics_endpoint;
#[cfg(test)]
mod metrics_tests;
pub mod outcome;
pub mod request_trace;
#[cfg(test)]
mod request_trace_tests;
