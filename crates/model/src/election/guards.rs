//! The rules that ensure at most one lease holder at a time. A search can disable each of them.

use crate::guards::{GuardRule, GuardSet};

/// A rule of the election protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// The upper bits of a token contain the view number.
    TokenIncludesView,
    /// A voter votes only for tokens above the highest token that it knows.
    TokensIncrease,
    /// A voter that has granted a lease grants no lease to another process until the first one expires.
    OneLeaseAtATime,
    /// A process becomes the holder only with the votes of a majority of the members.
    MajorityElects,
    /// A vote is sent only once it is synced.
    VoteAfterSync,
    /// A restarted voter restarts the lease of its last synced vote.
    RegrantAfterRestart,
    /// A restarted voter without a vote on disk grants nothing for one lease duration.
    QuarantineWithoutRecord,
    /// A restarted voter votes for no new token for one lease duration.
    NoVotesAfterRestart,
    /// A voter that has accepted a later view grants nothing in its current one.
    SealStopsVotes,
    /// A voter votes for no new token for one lease duration after it entered a view.
    NoVotesAfterViewChange,
    /// A process requests votes only after a majority, including itself, has granted it a pre-vote.
    PreVoteFirst,
    /// A pre-vote and a candidacy time out after a fraction of the lease duration.
    CampaignsTimeOut,
    /// The lease of a holder starts when it sent the request, not when it received the votes.
    LeaseStartsAtRequest,
    /// A renewal that is received after its token was released is denied.
    ReleasedTokensNotRenewed,
    /// A renewal without an unexpired lease is denied if a later token is known to have been held.
    OutdatedRenewalsDenied,
}

impl GuardRule for Guard {
    fn index(self) -> u32 {
        self as u32
    }
}

/// The set of enabled rules.
pub type Guards = GuardSet<Guard>;
