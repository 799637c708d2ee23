//! One campaign of this process for the role.

use crate::quorum::majority_of;
use crate::token::FencingToken;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// How far a campaign has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It asks the other members whether they would vote for it (pre-vote).
    PreVote,
    /// Its vote for itself under a new token is being persisted. No other process knows of the token yet.
    PersistingOwnVote(FencingToken),
    /// It asks for votes under a token that its own disk holds.
    RequestingVotes(FencingToken),
}

/// The result of one request to all members, as far as they have answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VoteResult {
    /// A majority granted the request.
    Won,
    /// So many members denied it that no majority can grant it.
    Lost,
    /// Neither yet.
    Pending,
}

/// One campaign of this process for the role: one request to all members, and their answers.
#[derive(Clone, Debug)]
pub(crate) struct Campaign {
    pub(crate) phase: Phase,
    pub(crate) request_id: u64,
    /// A time before the request was first sent.
    pub(crate) started_at: Duration,
    /// When the request was last sent.
    pub(crate) last_sent_at: Duration,
    /// The highest token that this process or a voter knows.
    pub(crate) highest_token: FencingToken,
    granted_by: BTreeSet<SocketAddr>,
    denied_by: BTreeSet<SocketAddr>,
}

impl Campaign {
    /// A campaign whose request is about to be sent.
    pub(crate) fn new(
        phase: Phase, request_id: u64, started_at: Duration, highest_token: FencingToken,
    ) -> Self {
        Self {
            phase,
            request_id,
            started_at,
            last_sent_at: started_at,
            highest_token,
            granted_by: BTreeSet::new(),
            denied_by: BTreeSet::new(),
        }
    }

    /// Records that a member grants the request. It may have denied it before.
    pub(crate) fn record_grant(&mut self, voter: SocketAddr, highest_token: FencingToken) {
        self.denied_by.remove(&voter);
        self.granted_by.insert(voter);
        self.highest_token = self.highest_token.max(highest_token);
    }

    /// Records that a member denies the request. A denial after a grant was overtaken by it and does not count.
    pub(crate) fn record_denial(&mut self, voter: SocketAddr, highest_token: FencingToken) {
        self.highest_token = self.highest_token.max(highest_token);
        if !self.granted_by.contains(&voter) {
            self.denied_by.insert(voter);
        }
    }

    /// Whether a member has granted the request.
    pub(crate) fn is_granted_by(&self, member: &SocketAddr) -> bool {
        self.granted_by.contains(member)
    }

    /// Whether the campaign has lasted `timeout`. A pre-vote that was sent again just before gets another
    /// `response_timeout` for its answers.
    pub(crate) fn is_expired(&self, now: Duration, timeout: Duration, response_timeout: Duration) -> bool {
        let awaits_responses = self.phase == Phase::PreVote && now < self.last_sent_at + response_timeout;
        now >= self.started_at + timeout && !awaits_responses
    }

    /// Whether the request is to be sent again; a pre-vote alone is, as it binds no voter.
    pub(crate) fn is_resend_due(&self, now: Duration, interval: Duration) -> bool {
        self.phase == Phase::PreVote && now >= self.last_sent_at + interval
    }

    /// The result among so many members.
    pub(crate) fn result(&self, member_count: usize) -> VoteResult {
        let majority = majority_of(member_count);
        if self.granted_by.len() >= majority {
            VoteResult::Won
        } else if member_count.saturating_sub(self.denied_by.len()) < majority {
            VoteResult::Lost
        } else {
            VoteResult::Pending
        }
    }
}
