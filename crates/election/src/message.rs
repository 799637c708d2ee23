//! Messages exchanged between the electors of one role.

use crate::settings::Role;
use crate::token::FencingToken;
use serde::{Deserialize, Serialize};

/// A message from one elector to another elector of the same role.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Message {
    /// The role that the election is about.
    pub role: Role,
    /// The number of the sender's membership view.
    pub view: u64,
    /// The request or response.
    pub body: MessageBody,
}

/// A request or a response. The requester chooses `request_id`, and the response repeats it.
///
/// The encoded names must not change; see docs/GLOSSARY.md.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum MessageBody {
    /// Asks whether the receiver would vote for the sender, without granting a lease (pre-vote, Ongaro's
    /// thesis, section 9.6). The message carries no token, since the candidate chooses one only after the
    /// responses.
    #[serde(rename = "Ask")]
    PreVote {
        /// The id of the request.
        #[serde(rename = "round")]
        request_id: u64,
    },
    /// The voter would vote for the sender of the [`MessageBody::PreVote`].
    #[serde(rename = "Willing")]
    PreVoteGranted {
        /// The id of the request.
        #[serde(rename = "round")]
        request_id: u64,
        /// The highest token known to the voter.
        #[serde(rename = "highest")]
        highest_token: FencingToken,
    },
    /// Requests a vote, and with it a lease, under a new token.
    #[serde(rename = "Elect")]
    RequestVote {
        /// The id of the request.
        #[serde(rename = "round")]
        request_id: u64,
        /// The new token.
        token: FencingToken,
    },
    /// Requests an extension of the lease that the receiver granted to the sender.
    #[serde(rename = "Renew")]
    RenewLease {
        /// The id of the request.
        #[serde(rename = "round")]
        request_id: u64,
        /// The holder's token.
        token: FencingToken,
    },
    /// The voter grants the lease requested by a [`MessageBody::RequestVote`] or [`MessageBody::RenewLease`].
    /// At the voter, the lease starts when it sends this message.
    #[serde(rename = "Vote")]
    VoteGranted {
        /// The id of the request.
        #[serde(rename = "round")]
        request_id: u64,
        /// The granted token.
        token: FencingToken,
    },
    /// The voter denies a pre-vote, a vote or a renewal; `request_id` identifies the request. All three need
    /// the same content, since a candidate chooses its token above the highest known token, including those
    /// reported in denials of its pre-vote.
    #[serde(rename = "Refuse")]
    VoteDenied {
        /// The id of the request.
        #[serde(rename = "round")]
        request_id: u64,
        /// The highest token known to the voter.
        #[serde(rename = "highest")]
        highest_token: FencingToken,
    },
    /// The sender releases the leases that were granted to it under this token.
    #[serde(rename = "Release")]
    ReleaseLease {
        /// The token of the released leases.
        token: FencingToken,
        /// Whether the sender held the role until now; false for a candidate that was not elected.
        #[serde(rename = "held")]
        was_holder: bool,
    },
}
