//! The handling of messages from other electors.

use super::Elector;
use crate::action::Action;
use crate::lease::LeaseHolder;
use crate::message::{Message, MessageBody};
use crate::voter::{RequestKind, VoteRequest};
use std::net::SocketAddr;
use std::time::Duration;

impl Elector {
    pub(super) fn on_message(
        &mut self, now: Duration, from: SocketAddr, message: Message, actions: &mut Vec<Action>,
    ) {
        let Some(view) = &self.view else { return };
        if message.role != self.settings.role {
            return;
        }
        if message.view > view.number {
            // The sender knows a later view, so the current one has ended. No underflow: `message.view` is
            // greater than another view number.
            self.voter.seal(message.view - 1);
            return;
        }
        let is_in_current_view = message.view == view.number;
        let is_from_current_member = is_in_current_view && view.members.contains(&from);
        match message.body {
            // A holder that is not a member of the new view also releases its lease there, so membership is
            // not checked.
            MessageBody::ReleaseLease { token, was_holder }
                if is_in_current_view && token.view() <= view.number =>
            {
                self.on_release(now, LeaseHolder { address: from, token }, was_holder);
            }
            MessageBody::PreVoteGranted { .. }
            | MessageBody::VoteGranted { .. }
            | MessageBody::VoteDenied { .. }
                if is_from_current_member =>
            {
                self.on_response(now, from, message.body, actions);
            }
            MessageBody::PreVote { .. }
            | MessageBody::RequestVote { .. }
            | MessageBody::RenewLease { .. }
                if view.is_voter =>
            {
                self.on_request(now, from, message.body, is_from_current_member, actions);
            }
            _ => {}
        }
    }

    /// Handles a response from a member of the current view.
    fn on_response(&mut self, now: Duration, from: SocketAddr, body: MessageBody, actions: &mut Vec<Action>) {
        match body {
            MessageBody::PreVoteGranted { request_id, highest_token } => {
                self.on_pre_vote_granted(now, from, request_id, highest_token, actions);
            }
            MessageBody::VoteGranted { request_id, token } => {
                self.on_vote_granted(now, from, request_id, token, actions);
            }
            MessageBody::VoteDenied { request_id, highest_token } => {
                self.on_vote_denied(now, from, request_id, highest_token, actions);
            }
            _ => {}
        }
    }

    /// Handles a request as a voter. `is_from_current_member` states whether the request was sent in the
    /// current view by a member of that view. Any other request is denied.
    fn on_request(
        &mut self, now: Duration, from: SocketAddr, body: MessageBody, is_from_current_member: bool,
        actions: &mut Vec<Action>,
    ) {
        let (kind, request_id, token) = match body {
            MessageBody::PreVote { request_id } => {
                self.on_pre_vote(now, from, request_id, is_from_current_member, actions);
                return;
            }
            MessageBody::RequestVote { request_id, token } => (RequestKind::Election, request_id, token),
            MessageBody::RenewLease { request_id, token } => (RequestKind::Renewal, request_id, token),
            _ => return,
        };
        let Some(view) = self.view.as_ref().map(|view| view.number) else { return };
        let request = VoteRequest { kind, requester: from, view, request_id, token };
        if !is_from_current_member {
            // The denial carries the current view number, so a requester in an earlier view learns that its
            // view has ended.
            self.deny_vote(now, request, actions);
            return;
        }
        if kind == RequestKind::Renewal {
            self.record_holder(LeaseHolder { address: from, token });
        }
        self.decide_vote(now, request, actions);
    }

    fn on_release(&mut self, now: Duration, holder: LeaseHolder, was_holder: bool) {
        self.voter.release(holder);
        if was_holder {
            self.voter.record_held(holder.token);
            self.voter.allow_elections(now);
            self.known_holder.record_release(holder);
        }
    }
}
