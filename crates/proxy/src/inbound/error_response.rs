//! The answers of this program itself: a closed list of kinds, with a table from kind to answer.

use crate::http::{length_field, number};
use std::time::Duration;

#[cfg(test)]
#[path = "error_response_tests.rs"]
mod error_response_tests;

/// Why a request gets an answer that no server gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// It is no request, or its length is not clear.
    Malformed,
    /// Its head is larger than clients may send.
    HeadTooLarge,
    /// Its body is larger than clients may send.
    BodyTooLarge,
    /// It did not come whole in time.
    RequestTimeout,
    /// No route matches.
    NoRoute,
    /// There is no configuration yet.
    NotReady,
    /// No server can take it now; it has not run.
    Unavailable,
    /// The servers are full; it has not run.
    Saturated,
    /// Its time is over and it has not run.
    DeadlineBeforeExecution,
    /// Its time is over; it may have run.
    DeadlineExceeded,
    /// A server failed; it may have run.
    BadGateway,
}

/// One line of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The status.
    pub status: u16,
    /// Its text.
    pub reason: &'static str,
    /// When the client may come again.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed behind the answer, since what follows on it can't be read.
    pub closes: bool,
}

/// When it is worth while to come again after a refusal because nothing is there: a process that has just started, or a
/// service without servers. Tables come within a second or two also after the whole system has restarted, and a client
/// that comes back too soon has one try less.
const AGAIN_WHEN_ABSENT: Duration = Duration::from_millis(1_200);
/// The same where all is full.
const AGAIN_WHEN_FULL: Duration = Duration::from_millis(150);
/// After a time that is over the client has hardly any left.
const AGAIN_AT_ONCE: Duration = Duration::from_millis(50);

impl RequestError {
    /// All kinds, in the order of their numbers.
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

    /// The answer for this kind.
    pub fn line(self) -> ErrorResponse {
        let line = |status, reason| ErrorResponse { status, reason, retry_after: None, closes: false };
        let closing = |status, reason| ErrorResponse { closes: true, ..line(status, reason) };
        let later = |after| ErrorResponse { retry_after: Some(after), ..line(503, "Service Unavailable") };
        match self {
            RequestError::Malformed => closing(400, "Bad Request"),
            RequestError::HeadTooLarge => closing(431, "Request Header Fields Too Large"),
            RequestError::BodyTooLarge => closing(413, "Content Too Large"),
            RequestError::RequestTimeout => closing(408, "Request Timeout"),
            RequestError::NoRoute => line(404, "Not Found"),
            RequestError::NotReady | RequestError::Unavailable => later(AGAIN_WHEN_ABSENT),
            RequestError::Saturated => later(AGAIN_WHEN_FULL),
            RequestError::DeadlineBeforeExecution => later(AGAIN_AT_ONCE),
            RequestError::DeadlineExceeded => line(504, "Gateway Timeout"),
            RequestError::BadGateway => line(502, "Bad Gateway"),
        }
    }

    /// The name in logs.
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

    /// Writes the whole answer. `jitter` from 0 to 1 spreads the returns of those refused together over twice the advice.
    pub fn write(self, out: &mut Vec<u8>, request_id: Option<&[u8]>, close: bool, jitter: f64) {
        let line = self.line();
        out.extend_from_slice(b"HTTP/1.1 ");
        number(out, line.status.into());
        out.extend_from_slice(b" ");
        out.extend_from_slice(line.reason.as_bytes());
        out.extend_from_slice(b"\r\n");
        if let Some(after) = line.retry_after {
            let seconds = after.as_secs_f64() * (0.5 + jitter);
            crate::http::field(out, "Retry-After", format!("{seconds:.3}").as_bytes());
        }
        if let Some(id) = request_id {
            crate::http::field(out, "Request-Id", id);
        }
        length_field(out, 0);
        if close {
            crate::http::field(out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
    }
}
