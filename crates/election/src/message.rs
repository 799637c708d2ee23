//! What goes into an elector and what comes out of it.

use crate::settings::{FencingToken, Role};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies one write of an elector to the log, so that its result can be reported.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u64);

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
    /// Asks whether the receiver would vote for the sender; binds neither of them. Pre-vote of Ongaro's thesis,
    /// section 9.6.
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
    /// The voter denies a pre-vote, a vote or a renewal.
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

/// What happens to an elector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed. Send it every 20 to 50 ms.
    Tick,
    /// A membership view was agreed on. Send it also after a start, as soon as the view is known again.
    ViewInstalled {
        /// The number of the view; numbers only grow.
        number: u64,
        /// The members of the view, who vote.
        members: Vec<SocketAddr>,
        /// Whether this process is a member and its disk holds all that it has synced as one. A process whose disk was
        /// lost is no voter until a later view admits it.
        is_voter: bool,
    },
    /// This process has accepted a proposal for the view after `number`: from now on it grants nothing in `number`.
    ///
    /// Send it once the acceptance is synced and before the proposer is answered, and again after a restart. Without
    /// it a majority of a view that does not know yet that it was replaced could renew a holder beside the one that
    /// the next view elects.
    ViewSealed {
        /// The number of the view that ends.
        number: u64,
    },
    /// A message has arrived.
    Message {
        /// The sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The write of an [`Action::Persist`] is synced.
    Persisted {
        /// The write.
        batch: BatchId,
    },
    /// The write of an [`Action::Persist`] failed; its records may still be on the disk.
    PersistFailed {
        /// The write.
        batch: BatchId,
    },
    /// This process can't do the work of the role now: it releases the role and is no candidate for a while, so that
    /// another process gets it. It still votes. If no other process has taken the role by then, it is a candidate again.
    StepDown {
        /// How long it is no candidate; several election rounds. The role stays vacant for so long if no other process
        /// can be elected.
        backoff: Duration,
    },
    /// This process is about to stop: it releases the role and is never a candidate again. It still votes.
    Resign,
}

/// What the driver of an elector has to do, in the order of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Append records to the log, sync it, and report the result by [`Event::Persisted`] or [`Event::PersistFailed`].
    Persist {
        /// Identifies the write.
        batch: BatchId,
        /// The encoded records.
        records: Vec<Vec<u8>>,
    },
    /// This process holds the role from now on, for as long as [`crate::Elector::held_lease`] says so.
    LeaseAcquired {
        /// The fencing token of the lease.
        token: FencingToken,
    },
    /// This process no longer holds the role.
    LeaseLost,
}
