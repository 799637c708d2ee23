//! The answers of this program itself: a closed list of kinds, with a table from kind to answer.

use crate::wire::{length_field, number};
use std::time::Duration;

#[cfg(test)]
#[path = "answer_tests.rs"]
mod answer_tests;

/// Why a request gets an answer that no server gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is no request, or its length is not clear.
    Malformed,
    /// Its head is larger than clients may send.
    HeadTooLarge,
    /// Its body is larger than clients may send.
    BodyTooLarge,
    /// It did not come whole in time.
    Slow,
    /// No route matches.
    NoRoute,
    /// There is no configuration yet.
    NotReady,
    /// No server can take it now; it has not run.
    Unavailable,
    /// The servers are full; it has not run.
    Full,
    /// Its time is over and it has not run.
    Unserved,
    /// Its time is over; it may have run.
    Deadline,
    /// A server failed; it may have run.
    Broken,
}

/// One line of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line {
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

impl Refusal {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Refusal; 11] = [
        Refusal::Malformed,
        Refusal::HeadTooLarge,
        Refusal::BodyTooLarge,
        Refusal::Slow,
        Refusal::NoRoute,
        Refusal::NotReady,
        Refusal::Unavailable,
        Refusal::Full,
        Refusal::Unserved,
        Refusal::Deadline,
        Refusal::Broken,
    ];

    /// The answer for this kind.
    pub fn line(self) -> Line {
        let line = |status, reason| Line { status, reason, retry_after: None, closes: false };
        let closing = |status, reason| Line { closes: true, ..line(status, reason) };
        let later = |after| Line { retry_after: Some(after), ..line(503, "Service Unavailable") };
        match self {
            Refusal::Malformed => closing(400, "Bad Request"),
            Refusal::HeadTooLarge => closing(431, "Request Header Fields Too Large"),
            Refusal::BodyTooLarge => closing(413, "Content Too Large"),
            Refusal::Slow => closing(408, "Request Timeout"),
            Refusal::NoRoute => line(404, "Not Found"),
            Refusal::NotReady | Refusal::Unavailable => later(AGAIN_WHEN_ABSENT),
            Refusal::Full => later(AGAIN_WHEN_FULL),
            Refusal::Unserved => later(AGAIN_AT_ONCE),
            Refusal::Deadline => line(504, "Gateway Timeout"),
            Refusal::Broken => line(502, "Bad Gateway"),
        }
    }

    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Malformed => "malformed",
            Refusal::HeadTooLarge => "head_too_large",
            Refusal::BodyTooLarge => "body_too_large",
            Refusal::Slow => "slow",
            Refusal::NoRoute => "no_route",
            Refusal::NotReady => "not_ready",
            Refusal::Unavailable => "unavailable",
            Refusal::Full => "full",
            Refusal::Unserved => "unserved",
            Refusal::Deadline => "deadline",
            Refusal::Broken => "broken",
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
            crate::wire::field(out, "Retry-After", format!("{seconds:.3}").as_bytes());
        }
        if let Some(id) = request_id {
            crate::wire::field(out, "Request-Id", id);
        }
        length_field(out, 0);
        if close {
            crate::wire::field(out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
    }
}
