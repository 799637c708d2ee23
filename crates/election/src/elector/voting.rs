//! The voter's side of an elector: responses to pre-votes, and decisions on votes and renewals.
//!
//! Requests from other processes are answered with a message. A request of this process for its own vote
//! passes through the same voter, but the result is passed to the local candidate or holder by a direct call.

use super::{Elector, ElectorState};
use crate::action::{Action, BatchId};
use crate::message::MessageBody;
use crate::voter::{VoteDecision, VoteRequest};
use std::net::SocketAddr;
use std::time::Duration;

impl Elector {
    /// Answers whether this process would vote for `candidate`.
    ///
    /// Neither response binds the voter: no vote is recorded and no lease is granted. A grant does reschedule
    /// this process's own campaign, which draws from the generator, so that the candidate can finish its
    /// campaign undisturbed.
    ///
    /// See [`Elector::on_request`] for `is_from_current_member`.
    pub(super) fn on_pre_vote(
        &mut self, now: Duration, candidate: SocketAddr, request_id: u64, is_from_current_member: bool,
        actions: &mut Vec<Action>,
    ) {
        let view = self.view.as_ref().map_or(0, |view| view.number);
        let highest_token = self.voter.highest_token();
        let is_granted = is_from_current_member
            && self.voter.would_vote_for(now, view, candidate)
            && self.yields_to(candidate);
        if is_granted {
            self.reschedule_campaign(now);
        }
        let body = if is_granted {
            MessageBody::PreVoteGranted { request_id, highest_token }
        } else {
            MessageBody::VoteDenied { request_id, highest_token }
        };
        self.send(candidate, body, actions);
    }

    /// Reschedules this process's next campaign to between one and two times the maximum backoff from now, so
    /// that a candidate whose pre-vote it grants can finish its campaign first.
    ///
    /// This replaces any earlier schedule: it schedules a campaign if there was none, and may bring forward
    /// one that a longer backoff after failed campaigns had delayed. Exactly one value is drawn from the
    /// generator in every state, even if nothing is scheduled.
    fn reschedule_campaign(&mut self, now: Duration) {
        let max_backoff = self.max_backoff();
        let rescheduled_to = now + max_backoff + self.draw_backoff(max_backoff);
        if let ElectorState::Follower { campaign_at } = &mut self.state {
            *campaign_at = Some(rescheduled_to);
        }
    }

    /// Returns whether `candidate` takes precedence over this process. Of two concurrent candidates the one
    /// with the lower address does, so that they do not split the vote. Neither abandons its own campaign,
    /// since the other one may be unable to finish.
    fn yields_to(&self, candidate: SocketAddr) -> bool {
        match self.state {
            ElectorState::Follower { .. } => true,
            ElectorState::Candidate(_) => candidate < self.settings.local_address,
            ElectorState::Holder(_) => false,
        }
    }

    /// Lets the voter decide on a request, and executes the decision.
    pub(super) fn decide_vote(&mut self, now: Duration, request: VoteRequest, actions: &mut Vec<Action>) {
        match self.voter.decide(now, request) {
            VoteDecision::Grant => self.grant_vote(now, request, actions),
            VoteDecision::GrantOncePersisted { batch, record } => {
                actions.push(Action::Persist { batch, records: vec![record.encode()] });
            }
            VoteDecision::AlreadyPending => {}
            VoteDecision::Deny => self.deny_vote(now, request, actions),
        }
    }

    pub(super) fn on_persisted(&mut self, now: Duration, batch: BatchId, actions: &mut Vec<Action>) {
        let granted = self.voter.record_persisted(now, batch);
        if let Some(request) = granted.filter(|request| self.is_in_current_view(request)) {
            self.grant_vote(now, request, actions);
        }
    }

    pub(super) fn on_persist_failed(&mut self, now: Duration, batch: BatchId, actions: &mut Vec<Action>) {
        let failed = self.voter.record_persist_failed(batch);
        if let Some(request) = failed.filter(|request| self.is_in_current_view(request)) {
            self.deny_vote(now, request, actions);
        }
    }

    fn is_in_current_view(&self, request: &VoteRequest) -> bool {
        self.view.as_ref().is_some_and(|view| view.number == request.view)
    }

    fn grant_vote(&mut self, now: Duration, request: VoteRequest, actions: &mut Vec<Action>) {
        let VoteRequest { requester, request_id, token, .. } = request;
        if requester == self.settings.local_address {
            self.on_vote_granted(now, requester, request_id, token, actions);
            return;
        }
        self.failed_campaigns = 0;
        self.send(requester, MessageBody::VoteGranted { request_id, token }, actions);
    }

    /// Denies a request of any kind.
    pub(super) fn deny_vote(&mut self, now: Duration, request: VoteRequest, actions: &mut Vec<Action>) {
        let VoteRequest { requester, request_id, .. } = request;
        let highest_token = self.voter.highest_token();
        if requester == self.settings.local_address {
            self.on_vote_denied(now, requester, request_id, highest_token, actions);
            return;
        }
        self.send(requester, MessageBody::VoteDenied { request_id, highest_token }, actions);
    }
}
