//! The state of one machine, as a voter and as an elector.

use super::token::Token;

/// The number of machines: the members of the first view, and one machine that joins in the second.
pub const MACHINE_COUNT: usize = 4;
/// The members of the first view.
pub const FIRST_VIEW_MEMBERS: [usize; 3] = [0, 1, 2];
/// The members of the second view: machine 3 replaces machine 0.
pub const SECOND_VIEW_MEMBERS: [usize; 3] = [1, 2, 3];
/// The duration of a lease, for the voter and for the holder, in ticks. All clocks of the model run at the
/// same rate; the margin for clock drift in `lugwharf-election` only shortens the lease of the holder.
pub const LEASE_TICKS: u8 = 2;
/// The timeout of a pre-vote, and of the candidacy after it, in ticks. It is a quarter of the lease duration
/// in `lugwharf-election`.
pub const CAMPAIGN_TICKS: u8 = 1;

/// The members of a view.
pub fn members(view: u8) -> &'static [usize] {
    match view {
        1 => &FIRST_VIEW_MEMBERS,
        2 => &SECOND_VIEW_MEMBERS,
        _ => &[],
    }
}

/// A lease that a voter has granted.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct GrantedLease {
    /// The machine that the lease was granted to.
    pub holder: u8,
    /// The token of the grant.
    pub token: Token,
    /// When the lease ends for the voter.
    pub expires_at: u8,
}

/// The state of a machine as an elector.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub enum ElectorState {
    /// The machine neither campaigns nor holds the lease.
    #[default]
    Follower,
    /// The machine asks whether a majority would vote for it (pre-vote: Ongaro's thesis, section 9.6).
    PreVote {
        /// When the pre-vote started.
        started_at: u8,
        /// The highest token known to the majority that granted the pre-vote; `None` until a majority has.
        highest_token: Option<Token>,
    },
    /// The machine has requested votes.
    Candidate {
        /// The token of the candidacy.
        token: Token,
        /// When the votes were requested.
        started_at: u8,
    },
    /// The machine holds the lease.
    LeaseHolder {
        /// The token of the lease.
        token: Token,
        /// When the lease ends for the holder.
        expires_at: u8,
    },
}

impl ElectorState {
    /// Whether the machine holds the lease, as far as it knows.
    pub fn is_lease_holder(&self) -> bool {
        matches!(self, ElectorState::LeaseHolder { .. })
    }
}

/// The last vote that a voter has synced.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct SyncedVote {
    /// The token of the vote.
    pub token: Token,
    /// The machine that the vote is for.
    pub holder: u8,
}

/// The state of one machine.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Node {
    /// The newest view that the machine knows.
    pub view: u8,
    /// The newest view that the machine has sealed by accepting the view after it; 0 for none. The machine no
    /// longer votes in a sealed view.
    pub sealed: u8,
    /// The last vote on disk.
    pub synced_vote: Option<SyncedVote>,
    /// The highest token that the machine knows.
    pub highest_token: Token,
    /// The highest token that each machine has released.
    pub released_tokens: [Token; MACHINE_COUNT],
    /// The highest token under which the lease was held, as far as the machine knows.
    pub highest_held_token: Token,
    /// The lease that the machine has granted and that may be unexpired.
    pub granted_lease: Option<GrantedLease>,
    /// Until this time the machine grants nothing, not even renewals.
    pub quarantined_until: u8,
    /// Until this time the machine votes for no new token.
    pub votes_from: u8,
    /// The state of the machine as an elector.
    pub elector: ElectorState,
}

impl Node {
    /// Whether `machine` has released this token.
    pub fn has_released(&self, token: Token, machine: u8) -> bool {
        self.released_tokens.get(usize::from(machine)).is_some_and(|released| *released >= token)
    }

    /// Records that `machine` has released this token.
    pub fn record_release(&mut self, token: Token, machine: u8) {
        if let Some(released) = self.released_tokens.get_mut(usize::from(machine)) {
            *released = (*released).max(token);
        }
    }

    /// Whether the machine has accepted the view after its current one and so no longer votes.
    pub fn is_sealed(&self) -> bool {
        self.view <= self.sealed
    }
}
