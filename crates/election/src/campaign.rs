//! A campaign of this process for the role.

use crate::quorum::majority_of;
use crate::token::FencingToken;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The phase of a campaign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The candidate asks the other members whether they would vote for it (pre-vote).
    PreVote,
    /// The candidate's vote for itself under a new token is being persisted. No other process knows the token
    /// yet.
    PersistingOwnVote(FencingToken),
    /// The candidate requests votes under a token that it has persisted.
    RequestingVotes(FencingToken),
}

/// The result of one request to all members, based on the responses received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VoteResult {
    /// A majority has granted the request.
    Won,
    /// So many members have denied the request that no majority can grant it any more.
    Lost,
    /// The request is neither won nor lost yet.
    Pending,
}

/// The current phase of a campaign of this process for the role: one request to all members, and their
/// responses.
#[derive(Clone, Debug)]
pub(crate) struct Campaign {
    pub(crate) phase: Phase,
    pub(crate) request_id: u64,
    /// A time at or before the first sending of the request.
    pub(crate) started_at: Duration,
    /// The time at which the request was last sent.
    pub(crate) last_sent_at: Duration,
    /// The highest token known to this process or reported by a voter.
    pub(crate) highest_token: FencingToken,
    granted_by: BTreeSet<SocketAddr>,
    denied_by: BTreeSet<SocketAddr>,
}

impl Campaign {
    /// Creates a campaign whose request is about to be sent.
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

    /// Records that a member has granted the request. This replaces an earlier denial.
    pub(crate) fn record_grant(&mut self, voter: SocketAddr, highest_token: FencingToken) {
        self.denied_by.remove(&voter);
        self.granted_by.insert(voter);
        self.highest_token = self.highest_token.max(highest_token);
    }

    /// Records that a member has denied the request. A denial that arrives after a grant is ignored, since
    /// the grant overtook it.
    pub(crate) fn record_denial(&mut self, voter: SocketAddr, highest_token: FencingToken) {
        self.highest_token = self.highest_token.max(highest_token);
        if !self.granted_by.contains(&voter) {
            self.denied_by.insert(voter);
        }
    }

    /// Returns whether `member` has granted the request.
    pub(crate) fn is_granted_by(&self, member: &SocketAddr) -> bool {
        self.granted_by.contains(member)
    }

    /// Returns whether the campaign has timed out, i.e. has lasted `timeout`. After its last sending, a
    /// pre-vote waits at least `response_timeout` for responses.
    pub(crate) fn is_expired(&self, now: Duration, timeout: Duration, response_timeout: Duration) -> bool {
        let awaits_responses = self.phase == Phase::PreVote && now < self.last_sent_at + response_timeout;
        now >= self.started_at + timeout && !awaits_responses
    }

    /// Returns whether the request must be resent. Only a pre-vote is ever resent, since it does not bind the
    /// voters.
    pub(crate) fn is_resend_due(&self, now: Duration, interval: Duration) -> bool {
        self.phase == Phase::PreVote && now >= self.last_sent_at + interval
    }

    /// Returns the result among `member_count` members.
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
