//! Messages between the electors of the model.

use super::token::Token;

/// A message in flight, for all members of the view. It may arrive late, again or never.
///
/// `sent_at` tells one request of a machine from another; a vote carries that of its request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Message {
    /// Asks for a vote under a new token.
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
    /// Asks to extend a granted lease.
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
        /// Who votes.
        voter: u8,
        /// For whom.
        to: u8,
        /// Under which token.
        token: Token,
        /// When the request was sent.
        sent_at: u8,
    },
    /// The sender needs the leases that were granted to it no more.
    ReleaseLease {
        /// The sender's view.
        view: u8,
        /// Who releases.
        from: u8,
        /// Under which token.
        token: Token,
        /// Whether it held the lease of a majority; else it was a candidate.
        was_holder: bool,
    },
}
