//! The voter role: grants, extends and ends leases.

use super::ElectionModel;
use super::guards::Guard;
use super::message::Message;
use super::node::{GrantedLease, LEASE_TICKS, Node, SyncedVote, members};
use super::state::{State, Step, Steps};
use super::token::Token;

/// A request for a vote, or for the renewal of a lease, that a voter has received.
pub(super) struct VoteRequest {
    pub(super) view: u8,
    pub(super) from: u8,
    pub(super) token: Token,
    pub(super) sent_at: u8,
    pub(super) is_renewal: bool,
}

impl ElectionModel {
    /// Adds the steps of a machine as a voter.
    pub(super) fn voter_steps(&self, machine: usize, steps: &mut Steps<'_>) {
        for message in &steps.from.in_flight {
            let request = match *message {
                Message::RequestVote { view, from, token, sent_at } => {
                    VoteRequest { view, from, token, sent_at, is_renewal: false }
                }
                Message::RenewLease { view, from, token, sent_at } => {
                    VoteRequest { view, from, token, sent_at, is_renewal: true }
                }
                Message::ReleaseLease { .. } => {
                    self.handle_release(machine, message, steps);
                    continue;
                }
                Message::VoteGranted { .. } => continue,
            };
            self.handle_vote_request(machine, &request, message, steps);
        }
    }

    fn handle_vote_request(
        &self, machine: usize, request: &VoteRequest, message: &Message, steps: &mut Steps<'_>,
    ) {
        // A candidate already votes for itself when it requests votes.
        if !request.is_renewal && usize::from(request.from) == machine {
            return;
        }
        let state = steps.from;
        let node = &state.nodes[machine];
        let members = members(node.view);
        let is_current = request.view == node.view
            && members.contains(&machine)
            && members.contains(&usize::from(request.from));
        let is_sealed = node.is_sealed() && self.guards.has(Guard::SealStopsVotes);
        if !is_current || is_sealed || state.now < node.quarantined_until {
            return;
        }
        let unexpired = node.granted_lease.filter(|lease| lease.expires_at > state.now);
        let is_extension =
            unexpired.is_some_and(|lease| lease.holder == request.from && lease.token == request.token);
        if !is_extension && !self.may_grant(state, node, request) {
            return;
        }
        steps.add(Step::Receive(machine, *message), |state| {
            grant_lease(state, machine, request, is_extension)
        });
    }

    /// The response of a voter to a pre-vote: whether it would vote for `candidate`, which may be the voter
    /// itself.
    pub(super) fn would_vote_for(&self, state: &State, voter: usize, candidate: usize) -> bool {
        let node = &state.nodes[voter];
        let has_no_other_lease =
            node.granted_lease.is_none_or(|lease| usize::from(lease.holder) == candidate);
        let is_sealed = node.is_sealed() && self.guards.has(Guard::SealStopsVotes);
        let must_wait = node.quarantined_until.max(node.votes_from) > state.now;
        has_no_other_lease && !is_sealed && !must_wait && !node.elector.is_lease_holder()
    }

    fn may_grant(&self, state: &State, node: &Node, request: &VoteRequest) -> bool {
        let has_no_other_lease = node
            .granted_lease
            .is_none_or(|lease| lease.expires_at <= state.now || lease.holder == request.from);
        let has_no_conflict = has_no_other_lease || !self.guards.has(Guard::OneLeaseAtATime);
        let is_allowed = if request.is_renewal {
            self.is_current_renewal(node, request)
        } else {
            let is_higher = request.token > node.highest_token || !self.guards.has(Guard::TokensIncrease);
            let is_token_of_view =
                request.token.view() == request.view || !self.guards.has(Guard::TokenIncludesView);
            state.now >= node.votes_from && is_higher && is_token_of_view
        };
        has_no_conflict && is_allowed
    }

    fn is_current_renewal(&self, node: &Node, request: &VoteRequest) -> bool {
        if !self.guards.has(Guard::OutdatedRenewalsDenied) {
            return true;
        }
        let is_released = node.has_released(request.token, request.from)
            && self.guards.has(Guard::ReleasedTokensNotRenewed);
        let is_token_of_view =
            request.token.view() <= request.view || !self.guards.has(Guard::TokenIncludesView);
        request.token >= node.highest_held_token && !is_released && is_token_of_view
    }

    fn handle_release(&self, machine: usize, message: &Message, steps: &mut Steps<'_>) {
        let Message::ReleaseLease { view, from, token, was_holder } = *message else { return };
        let node = &steps.from.nodes[machine];
        if node.view != view || token.view() > view || (node.has_released(token, from) && !was_holder) {
            return;
        }
        steps.add(Step::Receive(machine, *message), |state| {
            let now = state.now;
            let node = &mut state.nodes[machine];
            node.highest_token = node.highest_token.max(token);
            node.record_release(token, from);
            node.granted_lease.take_if(|lease| lease.holder == from && lease.token == token);
            if was_holder {
                node.highest_held_token = node.highest_held_token.max(token);
                // The lease that may have prevented a vote for a new token has ended.
                if node.votes_from > now {
                    node.votes_from = 0;
                }
            }
        });
    }
}

/// Grants a lease, or extends an unexpired one (`is_extension`). The vote is synced in the same step.
pub(super) fn grant_lease(state: &mut State, machine: usize, request: &VoteRequest, is_extension: bool) {
    let VoteRequest { view, from, token, sent_at, is_renewal } = *request;
    let expires_at = state.now + LEASE_TICKS;
    let node = &mut state.nodes[machine];
    node.granted_lease = Some(GrantedLease { holder: from, token, expires_at });
    if is_renewal {
        node.highest_held_token = node.highest_held_token.max(token);
    }
    // The synced vote is always that of the highest token.
    if !is_extension && token >= node.highest_token {
        node.synced_vote = Some(SyncedVote { token, holder: from });
        node.highest_token = token;
    }
    state.send(Message::VoteGranted { view, voter: machine as u8, to: from, token, sent_at });
}
