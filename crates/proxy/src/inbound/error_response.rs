//! Errors of requests, and the responses that the proxy itself gives for them.

use crate::http::{field, length_field, number};
use std::time::Duration;

#[cfg(test)]
#[path = "error_response_tests.rs"]
mod error_response_tests;

/// `Retry-After` where nothing is available: the process has just started, or the service has no servers. The endpoint list and
/// the configuration arrive within a second or two, also after the complete system has restarted; a client that comes back too
/// soon has one retry less.
const RETRY_WHEN_ABSENT: Duration = Duration::from_millis(1_200);
/// `Retry-After` where all servers are saturated.
const RETRY_WHEN_SATURATED: Duration = Duration::from_millis(150);
/// `Retry-After` where the deadline has passed: the client has hardly any time left.
const RETRY_AT_ONCE: Duration = Duration::from_millis(50);

/// Why the proxy answers a request itself.
///
/// The statuses 408 and 503 promise the client that no server has executed the request, so that it may retry any request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The bytes are no request, or the length of its body is ambiguous.
    #[error("malformed request")]
    Malformed,
    /// The head is larger than the configuration allows.
    #[error("request head too large")]
    HeadTooLarge,
    /// The body is larger than the configuration allows.
    #[error("request body too large")]
    BodyTooLarge,
    /// The request was not received completely in time.
    #[error("request was received too slowly")]
    RequestTimeout,
    /// No route matches.
    #[error("no route")]
    NoRoute,
    /// There is no configuration yet.
    #[error("no configuration")]
    NotReady,
    /// No server is available. The request was not executed.
    #[error("no server available")]
    Unavailable,
    /// The servers, this proxy's memory, or the retry budget are exhausted. The request was not executed.
    #[error("saturated")]
    Saturated,
    /// The deadline has passed. The request was not executed.
    #[error("deadline exceeded before execution")]
    DeadlineBeforeExecution,
    /// The deadline has passed. The request may have been executed.
    #[error("deadline exceeded")]
    DeadlineExceeded,
    /// A server failed. The request may have been executed.
    #[error("bad gateway")]
    BadGateway,
}

/// The response to an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The status.
    pub status: u16,
    /// The reason phrase.
    pub reason: &'static str,
    /// When the client may retry.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed behind the response, since what follows on it can't be parsed.
    pub closes_connection: bool,
}

impl ErrorResponse {
    fn new(status: u16, reason: &'static str) -> ErrorResponse {
        ErrorResponse { status, reason, retry_after: None, closes_connection: false }
    }

    fn closing(status: u16, reason: &'static str) -> ErrorResponse {
        ErrorResponse { closes_connection: true, ..ErrorResponse::new(status, reason) }
    }

    fn unavailable(retry_after: Duration) -> ErrorResponse {
        ErrorResponse { retry_after: Some(retry_after), ..ErrorResponse::new(503, "Service Unavailable") }
    }
}

impl RequestError {
    /// All errors, in the order of their discriminants.
    pub const ALL: [RequestError; 11] = [
        RequestError::Malformed,
        RequestError::HeadTooLarge,
        RequestError::BodyTooLarge,
        RequestError::RequestTimeout,
        RequestError::NoRoute,
        RequestError::NotReady,
        RequestError::Unavailable,
        RequestError::Saturated,
        RequestError::DeadlineBeforeExecution,
        RequestError::DeadlineExceeded,
        RequestError::BadGateway,
    ];

    /// The response to this error.
    pub fn response(self) -> ErrorResponse {
        match self {
            RequestError::Malformed => ErrorResponse::closing(400, "Bad Request"),
            RequestError::HeadTooLarge => ErrorResponse::closing(431, "Request Header Fields Too Large"),
            RequestError::BodyTooLarge => ErrorResponse::closing(413, "Content Too Large"),
            RequestError::RequestTimeout => ErrorResponse::closing(408, "Request Timeout"),
            RequestError::NoRoute => ErrorResponse::new(404, "Not Found"),
            RequestError::NotReady | RequestError::Unavailable => {
                ErrorResponse::unavailable(RETRY_WHEN_ABSENT)
            }
            RequestError::Saturated => ErrorResponse::unavailable(RETRY_WHEN_SATURATED),
            RequestError::DeadlineBeforeExecution => ErrorResponse::unavailable(RETRY_AT_ONCE),
            RequestError::DeadlineExceeded => ErrorResponse::new(504, "Gateway Timeout"),
            RequestError::BadGateway => ErrorResponse::new(502, "Bad Gateway"),
        }
    }

    /// The name in metrics and logs. The names are fixed: alarms use them.
    pub fn name(self) -> &'static str {
        match self {
            RequestError::Malformed => "malformed",
            RequestError::HeadTooLarge => "head_too_large",
            RequestError::BodyTooLarge => "body_too_large",
            RequestError::RequestTimeout => "slow",
            RequestError::NoRoute => "no_route",
            RequestError::NotReady => "not_ready",
            RequestError::Unavailable => "unavailable",
            RequestError::Saturated => "full",
            RequestError::DeadlineBeforeExecution => "unserved",
            RequestError::DeadlineExceeded => "deadline",
            RequestError::BadGateway => "broken",
        }
    }

    /// Writes the complete response. `jitter`, from 0 to 1, scales `Retry-After` to 0.5 to 1.5 times its value, lest clients that
    /// were rejected together come back together.
    pub fn write(self, out: &mut Vec<u8>, request_id: Option<&[u8]>, close: bool, jitter: f64) {
        let response = self.response();
        out.extend_from_slice(b"HTTP/1.1 ");
        number(out, response.status.into());
        out.extend_from_slice(b" ");
        out.extend_from_slice(response.reason.as_bytes());
        out.extend_from_slice(b"\r\n");
        if let Some(after) = response.retry_after {
            let seconds = after.as_secs_f64() * (0.5 + jitter);
            field(out, "Retry-After", format!("{seconds:.3}").as_bytes());
        }
        if let Some(id) = request_id {
            field(out, "Request-Id", id);
        }
        length_field(out, 0);
        if close {
            field(out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
    }
}
