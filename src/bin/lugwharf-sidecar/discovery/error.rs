//! The errors of calls to discovery.

use hyper::StatusCode;
use std::io;

/// Why a call to discovery failed.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    #[error("the call timed out")]
    TimedOut,
    #[error("connecting failed: {0}")]
    Connect(io::Error),
    #[error("HTTP failed: {0}")]
    Http(#[from] hyper::Error),
    #[error("the response body is incomplete or too long: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("the response has status {0}")]
    Status(StatusCode),
    #[error("the response is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("the list has no valid {0}")]
    Missing(&'static str),
    #[error("the list has only changes, but the complete list was requested")]
    Incomplete,
    #[error("building the request failed: {0}")]
    Address(#[from] hyper::http::Error),
}
