//! What the caller reports to the balancer.

use super::id::{RequestId, ServerId, TimerId};
use super::server_list::ServerListEvent;
use std::time::Duration;

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error. It may have run.
    Error,
    /// The server rejected it unread: its queue is full, or it is draining. It never ran.
    Rejected,
    /// No answer in time. It may have run, and may still be running.
    Timeout,
    /// No connection came up. It never ran.
    ConnectFailed,
    /// The connection broke. It may have run.
    Reset,
    /// Cancelled by [`Action::Cancel`](super::Action::Cancel). It may have run.
    Cancelled,
    /// Never sent. It never ran.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// Whether a request is new demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The client's first attempt, as far as is known.
    Fresh,
    /// Marked by the client as a retry of its own.
    ClientRetry,
}

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// The work it is expected to be, if known.
    pub cost: Option<Duration>,
    /// How long the client will wait from now on. Zero means that it has left already.
    pub client_timeout: Duration,
    /// Whether it is new demand.
    pub origin: Origin,
}

/// Whether a client still waits for a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// The client still waits.
    AwaitingAnswer,
    /// The client has its answer, or has left.
    Finished,
}

/// An input of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client's request arrived.
    Request(Arrival),
    /// A client left before its answer.
    ClientDisconnected(RequestId),
    /// An attempt ended. Exactly one is due for each [`Action::Send`](super::Action::Send).
    Outcome {
        /// The request.
        id: RequestId,
        /// Its attempt, counted from 0 in the order of [`Action::Send`](super::Action::Send).
        attempt: usize,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Duration,
        /// Whether the request is finished with it, or was before.
        request_status: RequestStatus,
    },
    /// A probe ended.
    ProbeCompleted {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Requests that the server has in flight or queued, if it reports them.
        reported_load: Option<f64>,
    },
    /// The answer of an attempt began to stream to the client. From now on its end is the end of the request.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt that answers.
        attempt: usize,
        /// The time since it was sent.
        elapsed: Duration,
    },
    /// A timer fell due.
    Timer(TimerId),
    /// The server list changed, or could not be read.
    ServerList(ServerListEvent),
}
