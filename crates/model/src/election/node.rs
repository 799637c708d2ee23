//! The state of one machine, as a voter and as an elector.

use super::token::Token;

/// The machines: the members of the first view, and a newcomer.
pub const MACHINE_COUNT: usize = 4;
/// The members of the first view.
pub const FIRST_VIEW: [usize; 3] = [0, 1, 2];
/// The members of the second view: machine 0 is replaced by the newcomer.
pub const SECOND_VIEW: [usize; 3] = [1, 2, 3];
/// How long a lease lasts, for the voter and for the holder, in ticks. Clocks run at one rate here; the margin for drift
/// only makes the holder's part shorter.
pub const LEASE_TICKS: u8 = 2;
/// How long a pre-vote, and then a candidacy, lasts at most, in ticks; a quarter of the lease in `lugwharf-election`.
pub const CAMPAIGN_TICKS: u8 = 1;

/// The members of a view.
pub fn members(view: u8) -> &'static [usize] {
    match view {
        1 => &FIRST_VIEW,
        2 => &SECOND_VIEW,
        _ => &[],
    }
}

/// A lease that a voter has granted.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct GrantedLease {
    /// To whom.
    pub holder: u8,
    /// Under which token.
    pub token: Token,
    /// When it ends for the voter.
    pub expires_at: u8,
}

/// What a machine does to hold the lease.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub enum ElectorState {
    /// Nothing.
    #[default]
    Follower,
    /// It asks whether a majority would vote for it (pre-vote: Ongaro's thesis, section 9.6).
    PreVote {
        /// Before it asked.
        started_at: u8,
        /// The highest token known to a majority that grants the pre-vote, once there is one.
        highest_token: Option<Token>,
    },
    /// It has requested votes.
    Candidate {
        /// Its token.
        token: Token,
        /// Before it requested them.
        started_at: u8,
    },
    /// It holds the lease.
    LeaseHolder {
        /// Its token.
        token: Token,
        /// When the lease ends for the holder.
        expires_at: u8,
    },
}

impl ElectorState {
    /// Whether it holds the lease, as far as it knows.
    pub fn is_lease_holder(&self) -> bool {
        matches!(self, ElectorState::LeaseHolder { .. })
    }
}

/// The last vote that a voter has synced.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct SyncedVote {
    /// Under which token.
    pub token: Token,
    /// For whom.
    pub holder: u8,
}

/// One machine.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Node {
    /// The newest view that it knows.
    pub view: u8,
    /// The newest view that is sealed here: it has accepted the one after it and votes in this one no more. 0 for none.
    pub sealed: u8,
    /// The last vote on disk.
    pub synced_vote: Option<SyncedVote>,
    /// The highest token that it knows.
    pub highest_token: Token,
    /// The highest token that each machine has released.
    pub released_tokens: [Token; MACHINE_COUNT],
    /// The highest token under which a lease was held, as far as it knows.
    pub highest_held_token: Token,
    /// The lease that it has granted and that may run yet.
    pub granted_lease: Option<GrantedLease>,
    /// Before this it grants nothing, renewals included.
    pub quarantined_until: u8,
    /// Before this it votes for no new token.
    pub votes_from: u8,
    /// Its own part as an elector.
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

    /// Whether it has accepted the view after its own and so votes no more.
    pub fn is_sealed(&self) -> bool {
        self.view <= self.sealed
    }
}
