//! The errors for which the proxy itself responds to a request, and their responses.

use crate::http::{append_content_length, append_field, append_number};
use std::time::Duration;

#[cfg(test)]
#[path = "error_response_tests.rs"]
mod error_response_tests;

/// `Retry-After` if there is no configuration or no available server, as just after the start of the process.
/// The endpoint list and the configuration arrive within one or two seconds, even after a restart of the
/// whole system. A client that retries earlier wastes one of its retries.
const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_millis(1_200);
/// `Retry-After` if all servers are saturated.
const RETRY_AFTER_SATURATED: Duration = Duration::from_millis(150);
/// `Retry-After` if this process shuts down: another one can serve the request.
const RETRY_AFTER_SHUTDOWN: Duration = Duration::from_millis(150);
/// `Retry-After` if the deadline has passed: the client has hardly any time left.
const RETRY_AFTER_DEADLINE: Duration = Duration::from_millis(50);

/// Why the proxy itself responds to a request.
///
/// The status codes 408 and 503 guarantee to the client that no server has executed the request, so that it
/// may retry any request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The received bytes are not a valid request, or its framing is ambiguous.
    #[error("the request is malformed or its framing is ambiguous")]
    Malformed,
    /// The head is larger than the configuration allows.
    #[error("the request head is too large")]
    HeadTooLarge,
    /// The body is larger than the configuration allows.
    #[error("the request body is too large")]
    BodyTooLarge,
    /// The client took too long to send the complete request.
    #[error("the request was received too slowly")]
    RequestTimeout,
    /// No route matches the request.
    #[error("no route matches the request")]
    NoRoute,
    /// No configuration has been received yet.
    #[error("no configuration has been received")]
    NotReady,
    /// No server is available. The request was not executed.
    #[error("no server is available")]
    Unavailable,
    /// The servers, this proxy's memory for bodies, or the retry budget are exhausted. The request was not
    /// executed.
    #[error("the servers, the memory for request bodies or the retry budget are exhausted")]
    Saturated,
    /// The deadline has passed. The request was not executed.
    #[error("the deadline passed before the request was executed")]
    DeadlineBeforeExecution,
    /// The deadline has passed. The request may have been executed.
    #[error("the deadline passed, and the request may have been executed")]
    DeadlineExceeded,
    /// A server failed. The request may have been executed.
    #[error("a server failed, and the request may have been executed")]
    BadGateway,
    /// The process shuts down and might end before the request does. The request was not executed.
    #[error("the process shuts down")]
    ShuttingDown,
}

/// The response for an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: &'static str,
    /// The delay after which the client may retry, sent as `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed after the response, since the bytes that follow on it can't be
    /// parsed.
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
    pub const ALL: [RequestError; 12] = [
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
        RequestError::ShuttingDown,
    ];

    /// Returns the response for this error.
    pub fn response(self) -> ErrorResponse {
        match self {
            RequestError::Malformed => ErrorResponse::closing(400, "Bad Request"),
            RequestError::HeadTooLarge => ErrorResponse::closing(431, "Request Header Fields Too Large"),
            RequestError::BodyTooLarge => ErrorResponse::closing(413, "Content Too Large"),
            RequestError::RequestTimeout => ErrorResponse::closing(408, "Request Timeout"),
            RequestError::NoRoute => ErrorResponse::new(404, "Not Found"),
            RequestError::NotReady | RequestError::Unavailable => {
                ErrorResponse::unavailable(RETRY_AFTER_UNAVAILABLE)
            }
            RequestError::Saturated => ErrorResponse::unavailable(RETRY_AFTER_SATURATED),
            RequestError::DeadlineBeforeExecution => ErrorResponse::unavailable(RETRY_AFTER_DEADLINE),
            RequestError::DeadlineExceeded => ErrorResponse::new(504, "Gateway Timeout"),
            RequestError::BadGateway => ErrorResponse::new(502, "Bad Gateway"),
            RequestError::ShuttingDown => ErrorResponse::unavailable(RETRY_AFTER_SHUTDOWN),
        }
    }

    /// Returns the name in metrics and logs. The names must not change, since operators' alarms depend on
    /// them.
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
            RequestError::ShuttingDown => "shutting_down",
        }
    }

    /// Appends the complete response to `out`. `jitter`, from 0 to 1, scales `Retry-After` to 0.5 to 1.5
    /// times its value, so that clients that were rejected at the same time do not all retry at the same
    /// time.
    pub fn write(self, out: &mut Vec<u8>, request_id: Option<&[u8]>, close: bool, jitter: f64) {
        let response = self.response();
        out.extend_from_slice(b"HTTP/1.1 ");
        append_number(out, response.status.into());
        out.extend_from_slice(b" ");
        out.extend_from_slice(response.reason.as_bytes());
        out.extend_from_slice(b"\r\n");
        if let Some(after) = response.retry_after {
            let seconds = after.as_secs_f64() * (0.5 + jitter);
            append_field(out, "Retry-After", format!("{seconds:.3}").as_bytes());
        }
        if let Some(id) = request_id {
            append_field(out, "Request-Id", id);
        }
        append_content_length(out, 0);
        if close {
            append_field(out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
    }
}
