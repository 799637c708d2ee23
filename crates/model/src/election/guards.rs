//! The rules that keep one lease holder at a time. Each can be left out of a search.

use crate::guards::{GuardRule, GuardSet};

/// A rule of the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// The upper bits of a token are the number of the view.
    TokenIncludesView,
    /// A voter votes only for tokens above the highest that it knows.
    TokensIncrease,
    /// A voter that has granted a lease grants no other process one until it expires.
    OneLeaseAtATime,
    /// A majority of the members makes a holder.
    MajorityElects,
    /// A vote is sent once it is synced.
    VoteAfterSync,
    /// A restarted voter counts its last vote as a lease granted anew.
    RegrantAfterRestart,
    /// A restarted voter without a vote on disk grants nothing for the length of a lease.
    QuarantineWithoutRecord,
    /// A restarted voter votes for no new token for the length of a lease.
    NoVotesAfterRestart,
    /// A voter that has accepted a later view grants nothing in its present one.
    SealStopsVotes,
    /// A voter votes for no new token for the length of a lease after it entered a view.
    NoVotesAfterViewChange,
    /// A process requests votes only after a majority, itself included, granted it a pre-vote.
    PreVoteFirst,
    /// A pre-vote and a candidacy last for a part of a lease only.
    CampaignsTimeOut,
    /// A holder counts its lease from before it sent the request.
    LeaseStartsAtRequest,
    /// A renewal that is received after the release of its token grants nothing.
    ReleasedStaysReleased,
    /// A renewal needs a running lease, or that no later token is known to be held.
    RenewalsCurrent,
}

impl GuardRule for Guard {
    fn index(self) -> u32 {
        self as u32
    }
}

/// The rules that are in force.
pub type Guards = GuardSet<Guard>;
