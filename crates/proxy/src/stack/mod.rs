//! The stack that serves one request, from its route to the end of its response.

pub mod disaggregated;
pub mod execution;
pub mod forward;
pub mod in_flight;
pub mod kv_handle;
pub mod relay;
pub mod response_class;
#[cfg(test)]
mod response_class_tests;
pub mod service;
pub mod sse;
#[cfg(test)]
mod sse_tests;
