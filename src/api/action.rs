//! What the balancer asks its caller to do.

use super::id::{RequestId, ServerId, TimerId};
use std::fmt;
use std::time::Duration;

/// An output of the balancer. Actions are carried out in the order in which they come.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to this server.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// Stop waiting for the answer after this time.
        timeout: Duration,
        /// Don't send it, or don't send the rest of it, once this time is over: the idempotency window closes, and its
        /// servers would no longer recognise it as a repeat.
        write_within: Duration,
    },
    /// Final answer: rejected. Nothing ran, or a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client should try again.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed. It may have run.
    Fail(RequestId),
    /// Stop waiting for an attempt. Its [`Event::Outcome`](super::Event::Outcome) is still due.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// Report [`Event::Timer`](super::Event::Timer) after this time. Timers are never cancelled.
    SetTimer {
        /// The timer.
        timer: TimerId,
        /// The time from now on.
        after: Duration,
    },
    /// Ask a server for its load; [`Event::ProbeCompleted`](super::Event::ProbeCompleted) is due.
    Probe(ServerId),
    /// Subscribe to the server list.
    Subscribe,
    /// Write a log line.
    Log(LogEvent),
}

/// A log line. The simulator's wire carries its text, so the text is fixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A server failed too often in a row. It gets nothing but single trials.
    Ejected(ServerId),
    /// A trial succeeded. The server is back in use.
    Readmitted(ServerId),
    /// Requests are being rejected because servers are at their limits.
    Shedding,
    /// The list names no server that takes requests.
    NoServers,
    /// Discovery did not answer.
    ListFailed,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::Ejected(ServerId(id)) => write!(f, "ejected server {id:012x}"),
            LogEvent::Readmitted(ServerId(id)) => write!(f, "readmitted server {id:012x}"),
            LogEvent::Shedding => f.write_str("shedding load"),
            LogEvent::NoServers => f.write_str("no ready server on the list"),
            LogEvent::ListFailed => f.write_str("server list unavailable, asking again"),
        }
    }
}
