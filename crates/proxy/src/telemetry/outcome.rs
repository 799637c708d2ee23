//! How requests and attempts end, by the names that metrics and logs use.
//!
//! The names are the operators' and fixed, since alarms use them. Some are older than the terms of the code, and differ from
//! the variants: `cut` ([`RequestOutcome::Interrupted`]), `left` ([`RequestOutcome::ClientDisconnected`]), `spoilt`
//! ([`ResponseClass::Unusable`]), `moot` ([`ExchangeError::Aborted`]) and `late` ([`ExchangeError::TooLate`]).

use crate::inbound::error_response::RequestError;
use crate::outbound::ExchangeError;
use crate::stack::response_class::ResponseClass;

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A server's success was forwarded completely.
    Success,
    /// A server's failure was forwarded completely.
    ServerFailure,
    /// The response was started and not completed.
    Interrupted,
    /// The client disconnected before its response was complete.
    ClientDisconnected,
    /// The proxy answered itself, with the response to this error. Not only before any attempt: also after the attempts
    /// failed or the deadline passed.
    Rejected(RequestError),
}

impl RequestOutcome {
    /// The number of outcomes.
    pub const COUNT: usize = 4 + RequestError::ALL.len();

    /// All outcomes, in the order of [`RequestOutcome::index`].
    pub fn all() -> impl Iterator<Item = RequestOutcome> {
        let others = [Self::Success, Self::ServerFailure, Self::Interrupted, Self::ClientDisconnected];
        others.into_iter().chain(RequestError::ALL.into_iter().map(Self::Rejected))
    }

    /// The index among all outcomes.
    pub fn index(self) -> usize {
        match self {
            Self::Success => 0,
            Self::ServerFailure => 1,
            Self::Interrupted => 2,
            Self::ClientDisconnected => 3,
            Self::Rejected(error) => 4 + error as usize,
        }
    }

    /// The name in metrics and logs.
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

/// How an attempt ended, as metrics and logs tell attempts apart. What the stack does next is
/// [`AttemptOutcome`](crate::stack::attempt::AttemptOutcome).
///
/// A response counts when its head has been received, so a success may still fail in its body. That shows in the attempt's
/// [`BodyOutcome`] in the log, and in the [`RequestOutcome`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptLabel {
    /// The head of a response was received.
    Response {
        /// Its status.
        status: u16,
        /// Its class.
        class: ResponseClass,
    },
    /// No response was received.
    Failed(ExchangeError),
}

impl AttemptLabel {
    /// The names of all labels, by [`AttemptLabel::index`]. A test holds the two together.
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

    /// The index in [`AttemptLabel::NAMES`].
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

    /// The name in metrics and logs.
    pub fn name(self) -> &'static str {
        Self::NAMES[self.index()]
    }
}

/// How the body of a response failed whose head was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyOutcome {
    /// The server broke it off.
    Broken,
    /// It was not complete at the deadline.
    Timeout,
    /// The client stopped reading it.
    Unread,
    /// It must not be forwarded.
    Invalid,
}

impl BodyOutcome {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Broken => "body_broken",
            Self::Timeout => "body_timeout",
            Self::Unread => "body_unread",
            Self::Invalid => "body_invalid",
        }
    }
}
