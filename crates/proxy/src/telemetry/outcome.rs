//! How requests and their sends end, by the names that metrics and logs use.

use crate::inbound::error_response::RequestError;
use crate::outbound::ExchangeError;
use crate::stack::response_class::ResponseClass;

/// How a request of a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A server's success went on whole.
    Success,
    /// A server's failure went on whole.
    ServerFailure,
    /// An answer had begun and is not whole.
    Interrupted,
    /// The client left before its answer was whole.
    ClientDisconnected,
    /// This program answered by itself.
    Rejected(RequestError),
}

impl RequestOutcome {
    /// How many there are.
    pub const COUNT: usize = 4 + RequestError::ALL.len();

    /// All of them, in the order of [`RequestOutcome::index`].
    pub fn all() -> impl Iterator<Item = RequestOutcome> {
        let answered = [Self::Success, Self::ServerFailure, Self::Interrupted, Self::ClientDisconnected];
        answered.into_iter().chain(RequestError::ALL.into_iter().map(Self::Rejected))
    }

    /// Its place among all.
    pub fn index(self) -> usize {
        match self {
            Self::Success => 0,
            Self::ServerFailure => 1,
            Self::Interrupted => 2,
            Self::ClientDisconnected => 3,
            Self::Rejected(refusal) => 4 + refusal as usize,
        }
    }

    /// The name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Success => "success",
            Self::ServerFailure => "server_failure",
            Self::Interrupted => "cut",
            Self::ClientDisconnected => "left",
            Self::Rejected(refusal) => refusal.name(),
        }
    }
}

/// How one send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptLabel {
    /// The head of an answer came.
    Response {
        /// Its status.
        status: u16,
        /// What it is worth.
        class: ResponseClass,
    },
    /// None came.
    Failed(ExchangeError),
}

impl AttemptLabel {
    /// The names of all.
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

    /// Its place in [`AttemptLabel::NAMES`].
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
            Self::Failed(fault) => match fault {
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

/// What became of the body of an answer whose head came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyOutcome {
    /// The server broke it off.
    Broken,
    /// It was not whole in time.
    Timeout,
    /// The client did not take it.
    Unread,
    /// It was not what may go on.
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
