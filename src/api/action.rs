//! The actions that the balancer returns to its caller.

use super::id::{RequestId, ServerId, TimerId};
use std::fmt;
use std::time::Duration;

/// An output of the balancer. The caller executes actions in the order in which it receives them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to this server.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// How long to wait for the answer.
        timeout: Duration,
        /// The time within which the whole request must be written, at most `timeout`. The caller must not
        /// start or continue to write it later: when a repeat exceeds this time, the deduplication window has
        /// closed, and the servers no longer recognise the repeat.
        write_within: Duration,
    },
    /// Answer the client with a rejection. No attempt has been executed, or the client may safely retry.
    Reject {
        /// The request.
        id: RequestId,
        /// The time after which the client should retry, if it is advised.
        retry_after: Option<Duration>,
    },
    /// Answer the client with a failure. An attempt may have been executed.
    Fail(RequestId),
    /// Cancel an attempt. The caller must still report its [`Event::Outcome`](super::Event::Outcome).
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
        /// The delay from now.
        after: Duration,
    },
    /// Probe a server for its load, and report [`Event::ProbeCompleted`](super::Event::ProbeCompleted).
    Probe(ServerId),
    /// Subscribe to the server list.
    Subscribe,
    /// Write a log line.
    Log(LogEvent),
}

/// A log line. Its text is part of the simulator's wire format and must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A server had too many consecutive failures. It is sent only single trial requests.
    Ejected(ServerId),
    /// A trial request succeeded. The server is in use again.
    Readmitted(ServerId),
    /// Requests are rejected because the concurrency limits are reached.
    Shedding,
    /// The server list has no server that accepts requests.
    NoServers,
    /// The server list could not be read from discovery.
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
