//! The elector role: campaigns for the lease, and holds, renews and releases it.

use super::guards::Guard;
use super::message::Message;
use super::node::{ElectorState, LEASE_TICKS, Node, members};
use super::state::{State, Step, Steps};
use super::token::Token;
use super::voter::{VoteRequest, grant_lease};
use super::{ElectionModel, TOKENS_INCREASE};

impl ElectionModel {
    /// Adds the steps of a machine as an elector.
    pub(super) fn elector_steps(&self, machine: usize, steps: &mut Steps<'_>) {
        let elector = steps.from.nodes[machine].elector;
        match elector {
            ElectorState::Follower => self.start_pre_vote(machine, steps),
            ElectorState::PreVote { started_at, highest_token: None } => {
                self.collect_pre_vote(machine, started_at, steps);
            }
            ElectorState::PreVote { highest_token: Some(highest), .. } => {
                self.request_votes(machine, highest, steps);
            }
            ElectorState::Candidate { token, started_at } => {
                self.acquire_lease(machine, token, started_at, steps);
            }
            ElectorState::LeaseHolder { token, expires_at } => {
                self.request_renewal(machine, token, steps);
                self.renew_lease(machine, token, expires_at, steps);
            }
        }
        let may_release =
            matches!(elector, ElectorState::Candidate { .. } | ElectorState::LeaseHolder { .. });
        if may_release && steps.from.remaining_releases > 0 {
            steps.add(Step::ReleaseLease(machine), |state| {
                state.remaining_releases -= 1;
                self.release_lease(state, machine);
            });
        }
    }

    /// A member that would vote for itself starts a pre-vote. Without [`Guard::PreVoteFirst`] the member
    /// requests votes immediately.
    fn start_pre_vote(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        let members = members(state.nodes[machine].view);
        let may_campaign = self.bounds.candidates.contains(&machine) && members.contains(&machine);
        if state.remaining_campaigns == 0 || !may_campaign || !self.would_vote_for(state, machine, machine) {
            return;
        }
        if !self.guards.has(Guard::PreVoteFirst) {
            let highest = members.iter().map(|member| state.nodes[*member].highest_token).max();
            return self.request_votes(machine, highest.unwrap_or_default(), steps);
        }
        steps.add(Step::StartPreVote(machine), |state| {
            state.remaining_campaigns -= 1;
            state.nodes[machine].elector =
                ElectorState::PreVote { started_at: state.now, highest_token: None };
        });
    }

    /// Another member grants the pre-vote of the machine. With its own vote, the machine then has a majority
    /// of three members.
    fn collect_pre_vote(&self, machine: usize, started_at: u8, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        for voter in members(node.view).iter().copied().filter(|voter| *voter != machine) {
            let voter_node = &state.nodes[voter];
            if voter_node.view == node.view && self.would_vote_for(state, voter, machine) {
                let highest_token = Some(node.highest_token.max(voter_node.highest_token));
                steps.add(Step::PreVoteGranted(machine, voter), |state| {
                    state.nodes[machine].elector = ElectorState::PreVote { started_at, highest_token };
                });
            }
        }
    }

    /// The machine requests votes under a new token, and votes for itself if it is allowed to.
    fn request_votes(&self, machine: usize, highest: Token, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        let Node { view, granted_lease, highest_token, .. } = *node;
        let token = if self.guards.has(Guard::TokenIncludesView) {
            highest.next_in(view)
        } else {
            Token(highest.0 + 1)
        };
        let from = machine as u8;
        let may_vote = !node.is_sealed() || !self.guards.has(Guard::SealStopsVotes);
        let has_no_other_lease = granted_lease.is_none_or(|lease| lease.holder == from);
        steps.add(Step::RequestVotes(machine, token), |state| {
            state.remaining_campaigns -= u8::from(!self.guards.has(Guard::PreVoteFirst));
            let sent_at = state.now;
            state.nodes[machine].elector = ElectorState::Candidate { token, started_at: sent_at };
            state.send(Message::RequestVote { view, from, token, sent_at });
            if may_vote && has_no_other_lease && token > highest_token {
                let request = VoteRequest { view, from, token, sent_at, is_renewal: false };
                grant_lease(state, machine, &request, false);
            }
        });
    }

    /// Whether a majority of the members of the machine's view has granted the request that the machine sent
    /// at `requested_at` under the token `requested`.
    fn has_majority(&self, state: &State, machine: usize, requested: Token, requested_at: u8) -> bool {
        let current_view = state.nodes[machine].view;
        let votes = state.in_flight.iter().filter(|message| match **message {
            Message::VoteGranted { view, voter, to, token, sent_at } => {
                let answers_request =
                    usize::from(to) == machine && token == requested && sent_at == requested_at;
                answers_request && view == current_view && members(current_view).contains(&usize::from(voter))
            }
            _ => false,
        });
        let majority =
            if self.guards.has(Guard::MajorityElects) { members(current_view).len() / 2 + 1 } else { 1 };
        votes.count() >= majority
    }

    /// When a lease ends for its holder, which requested the lease at `requested_at`.
    fn lease_end(&self, state: &State, requested_at: u8) -> u8 {
        let starts_at = if self.guards.has(Guard::LeaseStartsAtRequest) { requested_at } else { state.now };
        starts_at + LEASE_TICKS
    }

    fn acquire_lease(&self, machine: usize, token: Token, started_at: u8, steps: &mut Steps<'_>) {
        let expires_at = self.lease_end(steps.from, started_at);
        if steps.from.now >= expires_at || !self.has_majority(steps.from, machine, token, started_at) {
            return;
        }
        steps.add(Step::AcquireLease(machine, token), |state| {
            state.nodes[machine].elector = ElectorState::LeaseHolder { token, expires_at };
            if token <= state.highest_held_token {
                state.violated_property.get_or_insert(TOKENS_INCREASE);
            }
            state.highest_held_token = token;
        });
    }

    fn request_renewal(&self, machine: usize, token: Token, steps: &mut Steps<'_>) {
        let state = steps.from;
        let view = state.nodes[machine].view;
        if state.remaining_renewals == 0 {
            return;
        }
        steps.add(Step::RequestRenewal(machine), |state| {
            state.remaining_renewals -= 1;
            let sent_at = state.now;
            state.send(Message::RenewLease { view, from: machine as u8, token, sent_at });
        });
    }

    fn renew_lease(&self, machine: usize, token: Token, expires_at: u8, steps: &mut Steps<'_>) {
        let state = steps.from;
        let current_view = state.nodes[machine].view;
        for message in &state.in_flight {
            let Message::RenewLease { view, from, token: renewed, sent_at } = *message else { continue };
            let is_own = usize::from(from) == machine && renewed == token && view == current_view;
            let renewed_until = self.lease_end(state, sent_at);
            let is_later = renewed_until > expires_at;
            if is_own && is_later && self.has_majority(state, machine, token, sent_at) {
                steps.add(Step::RenewLease(machine, renewed_until), |state| {
                    state.nodes[machine].elector =
                        ElectorState::LeaseHolder { token, expires_at: renewed_until };
                });
            }
        }
    }

    /// Ends a campaign or a lease: immediately on the machine itself, and on the others when they receive the
    /// message.
    pub(super) fn release_lease(&self, state: &mut State, machine: usize) {
        let node = &mut state.nodes[machine];
        let (token, was_holder) = match node.elector {
            ElectorState::Follower => return,
            ElectorState::PreVote { .. } => {
                node.elector = ElectorState::Follower;
                return;
            }
            ElectorState::Candidate { token, .. } => (token, false),
            ElectorState::LeaseHolder { token, .. } => (token, true),
        };
        node.elector = ElectorState::Follower;
        node.highest_token = node.highest_token.max(token);
        node.record_release(token, machine as u8);
        node.granted_lease.take_if(|lease| usize::from(lease.holder) == machine && lease.token == token);
        let view = node.view;
        state.send(Message::ReleaseLease { view, from: machine as u8, token, was_holder });
    }
}
