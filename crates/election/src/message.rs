//! Messages between the electors of one role.

use crate::settings::Role;
use crate::token::FencingToken;
use serde::{Deserialize, Serialize};

/// A message from one elector to another one of the same role.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Message {
    /// The role that is elected.
    pub role: Role,
    /// The number of the sender's membership view.
    pub view: u64,
    /// The request or response.
    pub body: MessageBody,
}

/// A request or a response. `request_id` is drawn by the requester and comes back in the response.
///
/// Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum MessageBody {
    /// Asks whether the receiver would vote for the sender; grants no lease. Pre-vote of Ongaro's thesis, section 9.6. It
    /// carries no token, since the candidate chooses one only after the responses.
    #[serde(rename = "Ask")]
    PreVote {
        /// The requester's number.
        #[serde(rename = "round")]
        request_id: u64,
    },
    /// The receiver of a [`MessageBody::PreVote`] would vote for its sender.
    #[serde(rename = "Willing")]
    PreVoteGranted {
        /// The requester's number.
        #[serde(rename = "round")]
        request_id: u64,
        /// The highest token that the voter knows.
        #[serde(rename = "highest")]
        highest_token: FencingToken,
    },
    /// Asks for a vote, and with it for a lease, under a new token.
    #[serde(rename = "Elect")]
    RequestVote {
        /// The requester's number.
        #[serde(rename = "round")]
        request_id: u64,
        /// The new token.
        token: FencingToken,
    },
    /// Asks the receiver to extend the lease that it granted to the sender.
    #[serde(rename = "Renew")]
    RenewLease {
        /// The requester's number.
        #[serde(rename = "round")]
        request_id: u64,
        /// The holder's token.
        token: FencingToken,
    },
    /// The voter grants what a [`MessageBody::RequestVote`] or [`MessageBody::RenewLease`] asked for: a lease that runs
    /// from when the voter sent this.
    #[serde(rename = "Vote")]
    VoteGranted {
        /// The requester's number.
        #[serde(rename = "round")]
        request_id: u64,
        /// The token granted.
        token: FencingToken,
    },
    /// The voter denies a pre-vote, a vote or a renewal; `request_id` says which. All three need the same content: a
    /// candidate chooses its token above the highest one, also from the denials of its pre-vote.
    #[serde(rename = "Refuse")]
    VoteDenied {
        /// The requester's number.
        #[serde(rename = "round")]
        request_id: u64,
        /// The highest token that the voter knows.
        #[serde(rename = "highest")]
        highest_token: FencingToken,
    },
    /// The sender gives back the leases that were granted to it under this token.
    #[serde(rename = "Release")]
    ReleaseLease {
        /// The token.
        token: FencingToken,
        /// Whether the sender held the role until now; false for a candidate that did not win.
        #[serde(rename = "held")]
        was_holder: bool,
    },
}
