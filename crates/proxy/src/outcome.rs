//! How requests and their sends end, by the names that metrics and logs use.

use crate::answer::Refusal;
use crate::upstream::Fault;
use crate::verdict::Verdict;

/// How a request of a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A server's success went on whole.
    Success,
    /// A server's failure went on whole.
    ServerFailure,
    /// An answer had begun and is not whole.
    Cut,
    /// The client left before its answer was whole.
    Left,
    /// This program answered by itself.
    Refused(Refusal),
}

impl RequestOutcome {
    /// How many there are.
    pub const COUNT: usize = 4 + Refusal::ALL.len();

    /// All of them, in the order of [`RequestOutcome::index`].
    pub fn all() -> impl Iterator<Item = RequestOutcome> {
        let answered = [Self::Success, Self::ServerFailure, Self::Cut, Self::Left];
        answered.into_iter().chain(Refusal::ALL.into_iter().map(Self::Refused))
    }

    /// Its place among all.
    pub fn index(self) -> usize {
        match self {
            Self::Success => 0,
            Self::ServerFailure => 1,
            Self::Cut => 2,
            Self::Left => 3,
            Self::Refused(refusal) => 4 + refusal as usize,
        }
    }

    /// The name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Success => "success",
            Self::ServerFailure => "server_failure",
            Self::Cut => "cut",
            Self::Left => "left",
            Self::Refused(refusal) => refusal.name(),
        }
    }
}

/// How one send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The head of an answer came.
    Answered {
        /// Its status.
        status: u16,
        /// What it is worth.
        verdict: Verdict,
    },
    /// None came.
    Failed(Fault),
}

impl SendOutcome {
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

    /// Its place in [`SendOutcome::NAMES`].
    pub fn index(self) -> usize {
        match self {
            Self::Answered { verdict, .. } => match verdict {
                Verdict::Success => 0,
                Verdict::Failure => 1,
                Verdict::Invalid => 2,
                Verdict::Rejected => 3,
                Verdict::Misdirected => 4,
                Verdict::Spoilt => 5,
            },
            Self::Failed(fault) => match fault {
                Fault::Connect => 6,
                Fault::Moot => 7,
                Fault::Late => 8,
                Fault::Broken => 9,
                Fault::Timeout => 10,
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
