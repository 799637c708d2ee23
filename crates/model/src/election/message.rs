//! Messages between the electors of the model.

use super::token::Token;

/// A message in flight, readable by all members of the view. It may be delayed, duplicated or lost.
///
/// `sent_at` distinguishes the requests of a machine; a vote carries the `sent_at` of its request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Message {
    /// Requests a vote under a new token.
    RequestVote {
        /// The sender's view.
        view: u8,
        /// The candidate.
        from: u8,
        /// The new token.
        token: Token,
        /// When it was sent.
        sent_at: u8,
    },
    /// Requests the extension of a granted lease.
    RenewLease {
        /// The sender's view.
        view: u8,
        /// The lease holder.
        from: u8,
        /// The holder's token.
        token: Token,
        /// When it was sent.
        sent_at: u8,
    },
    /// Grants or extends a lease.
    VoteGranted {
        /// The voter's view.
        view: u8,
        /// The voter.
        voter: u8,
        /// The machine that requested the vote.
        to: u8,
        /// The token of the request.
        token: Token,
        /// When the request was sent.
        sent_at: u8,
    },
    /// Releases the leases that were granted to the sender.
    ReleaseLease {
        /// The sender's view.
        view: u8,
        /// The sender.
        from: u8,
        /// The released token.
        token: Token,
        /// Whether the sender held the lease; otherwise it was a candidate.
        was_holder: bool,
    },
}
