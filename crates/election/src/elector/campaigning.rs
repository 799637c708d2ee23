//! The candidate's side of an elector: a campaign for a vacant role consists of the pre-vote, the candidate's
//! own vote and the votes of the other members.

use super::{Elector, ElectorState, MAX_BACKOFF_DOUBLINGS};
use crate::action::Action;
use crate::campaign::{Campaign, Phase, VoteResult};
use crate::held_lease::HeldLease;
use crate::message::MessageBody;
use crate::token::FencingToken;
use crate::voter::{RequestKind, VoteRequest};
use std::net::SocketAddr;
use std::time::Duration;

impl Elector {
    /// Schedules a campaign if the role is vacant, and starts it once its backoff is over.
    pub(super) fn maybe_start_campaign(
        &mut self, now: Duration, campaign_at: Option<Duration>, actions: &mut Vec<Action>,
    ) {
        let candidate = self.settings.local_address;
        let view = self.view.as_ref().filter(|view| view.is_voter);
        let is_vacant = view.is_some_and(|view| self.voter.would_vote_for(now, view.number, candidate));
        if !is_vacant || self.has_resigned {
            self.state = ElectorState::Follower { campaign_at: None };
            return;
        }
        let campaign_at = campaign_at
            .unwrap_or_else(|| now.max(self.backoff_until) + self.draw_backoff(self.max_backoff()));
        self.state = ElectorState::Follower { campaign_at: Some(campaign_at) };
        if now >= campaign_at {
            self.start_pre_vote(now, actions);
        }
    }

    fn start_pre_vote(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let request_id = self.next_request_id();
        let highest_token = self.voter.highest_token();
        let mut campaign = Campaign::new(Phase::PreVote, request_id, now, highest_token);
        campaign.record_grant(self.settings.local_address, highest_token);
        self.state = ElectorState::Candidate(campaign);
        self.broadcast(MessageBody::PreVote { request_id }, actions);
        self.continue_campaign(now, actions);
    }

    /// Resends the pre-vote to the members that have not granted it.
    ///
    /// A voter denies the pre-vote while a lease that it granted to another process still runs. If another
    /// member is down, the pre-vote then stays undecided. Without a resend this process would wait for the
    /// failed member, and would deny the voter's own pre-vote in the meantime.
    pub(super) fn resend_pre_vote(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let candidate = self.settings.local_address;
        let Some(view) = &self.view else { return };
        if !self.voter.would_vote_for(now, view.number, candidate) {
            self.abandon_campaign(now, actions);
            return;
        }
        let ElectorState::Candidate(campaign) = &mut self.state else { return };
        campaign.last_sent_at = now;
        let request_id = campaign.request_id;
        let undecided = view.members.iter().filter(|member| !campaign.is_granted_by(member));
        for to in undecided.copied().collect::<Vec<_>>() {
            self.send(to, MessageBody::PreVote { request_id }, actions);
        }
    }

    /// Advances the campaign according to the responses received so far.
    fn continue_campaign(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let member_count = self.member_count();
        let ElectorState::Candidate(campaign) = &self.state else { return };
        let started_at = campaign.started_at;
        match (campaign.result(member_count), campaign.phase) {
            (VoteResult::Pending, _) | (VoteResult::Won, Phase::PersistingOwnVote(_)) => {}
            (VoteResult::Lost, _) => self.abandon_campaign(now, actions),
            (VoteResult::Won, Phase::PreVote) => self.vote_for_itself(now, campaign.highest_token, actions),
            (VoteResult::Won, Phase::RequestingVotes(token)) => {
                self.acquire_lease(now, token, started_at, actions);
            }
        }
    }

    fn vote_for_itself(&mut self, now: Duration, highest_token: FencingToken, actions: &mut Vec<Action>) {
        let token = self.view.as_ref().and_then(|view| highest_token.next_in(view.number));
        let Some(token) = token else {
            self.abandon_campaign(now, actions);
            return;
        };
        let request_id = self.next_request_id();
        let campaign = Campaign::new(Phase::PersistingOwnVote(token), request_id, now, token);
        self.state = ElectorState::Candidate(campaign);
        self.request_own_vote(now, RequestKind::Election, request_id, token, actions);
    }

    /// Requests this process's own vote.
    pub(super) fn request_own_vote(
        &mut self, now: Duration, kind: RequestKind, request_id: u64, token: FencingToken,
        actions: &mut Vec<Action>,
    ) {
        let Some(view) = self.view.as_ref().map(|view| view.number) else { return };
        let requester = self.settings.local_address;
        self.decide_vote(now, VoteRequest { kind, requester, view, request_id, token }, actions);
    }

    /// Requests the votes of the other members once the token is persisted at this process. The process
    /// therefore never campaigns under this token again, even after a restart, so a delayed message about the
    /// token cannot be mistaken for one about a later campaign.
    fn request_votes(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let ElectorState::Candidate(campaign) = &mut self.state else { return };
        let Phase::PersistingOwnVote(token) = campaign.phase else { return };
        campaign.phase = Phase::RequestingVotes(token);
        campaign.record_grant(self.settings.local_address, token);
        let request_id = campaign.request_id;
        self.broadcast(MessageBody::RequestVote { request_id, token }, actions);
        self.continue_campaign(now, actions);
    }

    /// Ends a failed campaign and releases its votes.
    ///
    /// Only a campaign that got past the pre-vote increases the backoff. A pre-vote sent just before the last
    /// lease expired is worth retrying soon.
    pub(super) fn abandon_campaign(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let ElectorState::Candidate(Campaign { phase, .. }) = self.state else { return };
        if let Phase::PersistingOwnVote(token) | Phase::RequestingVotes(token) = phase {
            self.voter.release(self.local_holder(token));
            self.failed_campaigns = self.failed_campaigns.saturating_add(1).min(MAX_BACKOFF_DOUBLINGS);
        }
        if let Phase::RequestingVotes(token) = phase {
            self.broadcast(MessageBody::ReleaseLease { token, was_holder: false }, actions);
        }
        self.backoff_until = now + self.draw_backoff(self.max_backoff() * (1 << self.failed_campaigns));
        self.state = ElectorState::Follower { campaign_at: None };
    }

    /// Takes the role. The lease starts at `requested_at`, before the votes were requested.
    fn acquire_lease(
        &mut self, now: Duration, token: FencingToken, requested_at: Duration, actions: &mut Vec<Action>,
    ) {
        let expires_at = requested_at + self.settings.holder_lease_duration();
        if now >= expires_at {
            self.abandon_campaign(now, actions);
            return;
        }
        // The first renewal is sent immediately, to inform voters that did not vote or voted for another
        // candidate who has won.
        self.state = ElectorState::Holder(HeldLease::new(token, expires_at, now));
        self.failed_campaigns = 0;
        self.record_holder(self.local_holder(token));
        actions.push(Action::LeaseAcquired { token });
    }

    pub(super) fn on_pre_vote_granted(
        &mut self, now: Duration, voter: SocketAddr, request_id: u64, highest_token: FencingToken,
        actions: &mut Vec<Action>,
    ) {
        let ElectorState::Candidate(campaign) = &mut self.state else { return };
        if campaign.request_id == request_id && campaign.phase == Phase::PreVote {
            campaign.record_grant(voter, highest_token);
            self.continue_campaign(now, actions);
        }
    }

    pub(super) fn on_vote_granted(
        &mut self, now: Duration, voter: SocketAddr, request_id: u64, token: FencingToken,
        actions: &mut Vec<Action>,
    ) {
        let member_count = self.member_count();
        match &mut self.state {
            ElectorState::Holder(held) if held.token == token => {
                let lease_duration = self.settings.holder_lease_duration();
                held.record_vote(voter, request_id, member_count, lease_duration);
            }
            ElectorState::Candidate(campaign)
                if voter == self.settings.local_address
                    && campaign.request_id == request_id
                    && campaign.phase == Phase::PersistingOwnVote(token) =>
            {
                self.request_votes(now, actions);
            }
            ElectorState::Candidate(campaign)
                if campaign.request_id == request_id && campaign.phase == Phase::RequestingVotes(token) =>
            {
                campaign.record_grant(voter, token);
                self.continue_campaign(now, actions);
            }
            _ => {}
        }
    }

    pub(super) fn on_vote_denied(
        &mut self, now: Duration, voter: SocketAddr, request_id: u64, highest_token: FencingToken,
        actions: &mut Vec<Action>,
    ) {
        let ElectorState::Candidate(campaign) = &mut self.state else { return };
        if campaign.request_id != request_id {
            return;
        }
        if let Phase::PersistingOwnVote(_) = campaign.phase {
            // Only this process was asked for its vote so far.
            self.abandon_campaign(now, actions);
            return;
        }
        campaign.record_denial(voter, highest_token);
        self.continue_campaign(now, actions);
    }
}
