//! The events that the caller reports to the balancer.

use super::id::{RequestId, ServerId, TimerId};
use super::server_list::ServerListEvent;
use std::time::Duration;

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered successfully.
    Ok,
    /// The server answered with an error. The attempt may have been executed.
    Error,
    /// The server rejected the attempt without reading it, because its queue is full or it is draining. The
    /// attempt was not executed.
    Rejected,
    /// The attempt timed out. It may have been executed, or may still be executing.
    Timeout,
    /// No connection was established. The attempt was not executed.
    ConnectFailed,
    /// The connection was lost. The attempt may have been executed.
    Reset,
    /// The attempt was cancelled by [`Action::Cancel`](super::Action::Cancel). It may have been executed.
    Cancelled,
    /// The attempt was not sent, and thus not executed.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that no server has executed the attempt.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// Whether a request is the client's first one or a retry by the client. A retry does not count as new
/// demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The client has not marked the request as a retry.
    Fresh,
    /// The client has marked the request as a retry of its own.
    ClientRetry,
}

/// The arrival of a client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The id of the request.
    pub id: RequestId,
    /// Index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// The expected execution time of the request, if known.
    pub cost: Option<Duration>,
    /// How long the client waits from now on. Zero means that the client has already disconnected.
    pub client_timeout: Duration,
    /// Whether the request is a retry by the client.
    pub origin: Origin,
}

/// Whether the client of a request still waits for the final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// The client still waits for the final answer.
    AwaitingAnswer,
    /// The client has received its final answer, or has disconnected.
    Finished,
}

/// An input of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client's request arrived.
    Request(Arrival),
    /// A client disconnected before its final answer.
    ClientDisconnected(RequestId),
    /// An attempt ended. The caller reports exactly one for each [`Action::Send`](super::Action::Send).
    Outcome {
        /// The request.
        id: RequestId,
        /// The attempt, counted from 0 in the order of the request's [`Action::Send`](super::Action::Send)
        /// actions.
        attempt: usize,
        /// How the attempt ended.
        outcome: Outcome,
        /// The time since the attempt was sent.
        elapsed: Duration,
        /// Whether the request is finished after this outcome, or was finished before it.
        request_status: RequestStatus,
    },
    /// A probe ended.
    ProbeCompleted {
        /// The server.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// The number of requests that the server has in flight or queued, if it reports them.
        reported_load: Option<f64>,
    },
    /// The answer of an attempt has started to stream to the client. The request ends when this attempt ends.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt whose answer is streamed.
        attempt: usize,
        /// The time since the attempt was sent.
        elapsed: Duration,
    },
    /// A timer expired.
    Timer(TimerId),
    /// The server list changed, or could not be read.
    ServerList(ServerListEvent),
}
