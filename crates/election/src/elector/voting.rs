//! The voter's side of an elector: answers to pre-votes, and decisions on votes and renewals.
//!
//! Requests of other processes are answered by a message. A request of this process for its own vote takes the same way
//! through the voter, but its answer is handed to this process's candidate or holder by a direct call.

use super::{Elector, ElectorState};
use crate::action::{Action, BatchId};
use crate::message::MessageBody;
use crate::voter::{VoteDecision, VoteRequest};
use std::net::SocketAddr;
use std::time::Duration;

impl Elector {
    /// Answers whether this process would vote for another one.
    ///
    /// Neither answer binds the voter: no vote is recorded and no lease is granted. A grant does reschedule a campaign of
    /// this process, and draws from the generator, so that the other one can finish its campaign undisturbed.
    ///
    /// `is_from_current_member` as in [`Elector::on_request`].
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

    /// Sets this process's next campaign to between one and two of the longest backoffs from now, so that another one,
    /// whose pre-vote it grants, can finish its campaign first.
    ///
    /// This replaces whatever was scheduled: it sets a campaign if there was none, and brings one forward that a longer
    /// backoff after failed campaigns had put off. There is one draw from the generator in every state, also where nothing
    /// is scheduled.
    fn reschedule_campaign(&mut self, now: Duration) {
        let max_backoff = self.max_backoff();
        let rescheduled_to = now + max_backoff + self.draw_backoff(max_backoff);
        if let ElectorState::Follower { campaign_at } = &mut self.state {
            *campaign_at = Some(rescheduled_to);
        }
    }

    /// Whether another candidate goes first. Of two that campaign at once the one with the lower address does, so that
    /// they do not split the votes. Neither ends its own campaign, as the other one may be unable to finish.
    fn yields_to(&self, candidate: SocketAddr) -> bool {
        match self.state {
            ElectorState::Follower { .. } => true,
            ElectorState::Candidate(_) => candidate < self.settings.local_address,
            ElectorState::Holder(_) => false,
        }
    }

    /// Has the voter decide on a request and carries its decision out.
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
        if let Some(request) = granted.filter(|request| self.is_of_current_view(request)) {
            self.grant_vote(now, request, actions);
        }
    }

    pub(super) fn on_persist_failed(&mut self, now: Duration, batch: BatchId, actions: &mut Vec<Action>) {
        let failed = self.voter.record_persist_failed(batch);
        if let Some(request) = failed.filter(|request| self.is_of_current_view(request)) {
            self.deny_vote(now, request, actions);
        }
    }

    fn is_of_current_view(&self, request: &VoteRequest) -> bool {
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

    /// Denies a request, whatever its kind.
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
