//! The outcomes of requests and attempts, with the names that metrics and logs use for them.
//!
//! The names must not change, since operators' alarms depend on them. Some of them differ from the variants:
//! `cut` ([`RequestOutcome::Interrupted`]), `left` ([`RequestOutcome::ClientDisconnected`]), `spoilt`
//! ([`ResponseClass::Unusable`]), `moot` ([`ExchangeError::Aborted`]) and `late`
//! ([`ExchangeError::TooLate`]).

use crate::inbound::error_response::RequestError;
use crate::outbound::ExchangeError;
use crate::stack::response_class::ResponseClass;

/// The outcome of a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A successful response of a server was forwarded completely.
    Success,
    /// An error response of a server was forwarded completely.
    ServerFailure,
    /// A response was started but not completed.
    Interrupted,
    /// The client disconnected before its response was complete.
    ClientDisconnected,
    /// The proxy itself sent the response for this error, either without any attempt, or after the attempts
    /// had failed or the deadline had passed.
    Rejected(RequestError),
}

impl RequestOutcome {
    /// The number of outcomes.
    pub const COUNT: usize = 4 + RequestError::ALL.len();

    /// Returns all outcomes, in the order of [`RequestOutcome::index`].
    pub fn all() -> impl Iterator<Item = RequestOutcome> {
        let others = [Self::Success, Self::ServerFailure, Self::Interrupted, Self::ClientDisconnected];
        others.into_iter().chain(RequestError::ALL.into_iter().map(Self::Rejected))
    }

    /// Returns the index of the outcome among all outcomes.
    pub fn index(self) -> usize {
        match self {
            Self::Success => 0,
            Self::ServerFailure => 1,
            Self::Interrupted => 2,
            Self::ClientDisconnected => 3,
            Self::Rejected(error) => 4 + error as usize,
        }
    }

    /// Returns the name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Success => "success",
            Self::ServerFailure => "server_failure",
            Self::Interrupted => "cut",
            Self::ClientDisconnected => "left",
            Self::Rejected(error) => error.name(),
        }
    }
}

/// The outcome of an attempt as metrics and logs report it.
/// [`AttemptOutcome`](crate::stack::attempt::AttemptOutcome) is the outcome that decides what the stack does
/// next.
///
/// A response is counted once its head has been received, so the body of a success may still fail. The log
/// reports that as the attempt's [`BodyFailure`], and it also determines the [`RequestOutcome`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptLabel {
    /// The head of a response was received.
    Response {
        /// The status code.
        status: u16,
        /// The class of the response.
        class: ResponseClass,
    },
    /// No response was received.
    Failed(ExchangeError),
}

impl AttemptLabel {
    /// The names of all labels, by [`AttemptLabel::index`]. A test checks that names and indexes correspond.
    pub const NAMES: [&'static str; 11] = [
        "success",
        "failure",
        "invalid",
        "rejected",
        "misdirected",
        "spoilt",
        "connect",
        "moot",
        "late",
        "broken",
        "timeout",
    ];

    /// Returns the index in [`AttemptLabel::NAMES`].
    pub fn index(self) -> usize {
        match self {
            Self::Response { class, .. } => match class {
                ResponseClass::Success => 0,
                ResponseClass::Failure => 1,
                ResponseClass::InvalidRequest => 2,
                ResponseClass::Rejected => 3,
                ResponseClass::Misdirected => 4,
                ResponseClass::Unusable => 5,
            },
            Self::Failed(error) => match error {
                ExchangeError::Connect => 6,
                ExchangeError::Aborted => 7,
                ExchangeError::TooLate => 8,
                ExchangeError::ConnectionBroken => 9,
                ExchangeError::Timeout => 10,
            },
        }
    }

    /// Returns the name in metrics and logs.
    pub fn name(self) -> &'static str {
        Self::NAMES[self.index()]
    }
}

/// How the body of a response failed after its head had been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFailure {
    /// The server closed or reset the connection, or violated the framing, before the body was complete.
    Broken,
    /// The body was not complete at the deadline.
    Timeout,
    /// The client stopped reading.
    Unread,
    /// The server sent events that must not be forwarded.
    Invalid,
}

impl BodyFailure {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Broken => "body_broken",
            Self::Timeout => "body_timeout",
            Self::Unread => "body_unread",
            Self::Invalid => "body_invalid",
        }
    }
}
