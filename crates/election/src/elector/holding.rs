//! The holder's side of an elector: renewing and releasing the lease.

use super::{Elector, ElectorState};
use crate::action::Action;
use crate::message::MessageBody;
use crate::token::FencingToken;
use crate::voter::RequestKind;
use std::time::Duration;

impl Elector {
    pub(super) fn renew_lease(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let request_id = self.next_request_id();
        let ElectorState::Holder(held) = &mut self.state else { return };
        held.next_renewal_at = now + self.settings.renew_interval;
        held.start_renewal(request_id, now);
        let token = held.token;
        self.broadcast(MessageBody::RenewLease { request_id, token }, actions);
        self.request_own_vote(now, RequestKind::Renewal, request_id, token, actions);
    }

    /// Ends the lease locally, after it has expired or before it is released.
    pub(super) fn end_lease(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.known_holder.record_loss(self.settings.local_address);
        self.state = ElectorState::Follower { campaign_at: None };
        self.backoff_until = now + self.max_backoff();
        actions.push(Action::LeaseLost);
    }

    /// Releases a lease that has not expired, so that the next election need not wait for its expiry.
    fn release_lease(&mut self, now: Duration, token: FencingToken, actions: &mut Vec<Action>) {
        self.end_lease(now, actions);
        self.voter.release(self.local_holder(token));
        self.broadcast(MessageBody::ReleaseLease { token, was_holder: true }, actions);
    }

    /// Carries the lease over into a new view. A holder that is a voter in the new view renews its lease
    /// immediately; any other holder releases the role.
    pub(super) fn carry_lease_over(&mut self, now: Duration, is_voter: bool, actions: &mut Vec<Action>) {
        let ElectorState::Holder(held) = &mut self.state else { return };
        if is_voter {
            held.cancel_renewals();
            held.next_renewal_at = now;
            return;
        }
        let token = held.token;
        self.release_lease(now, token, actions);
    }

    pub(super) fn step_down(&mut self, now: Duration, backoff: Duration, actions: &mut Vec<Action>) {
        self.become_follower(now, actions);
        self.backoff_until = self.backoff_until.max(now + backoff);
        // A campaign time drawn before the step-down may be too early.
        if let ElectorState::Follower { campaign_at } = &mut self.state {
            *campaign_at = None;
        }
    }

    /// Releases the lease held under `token` after an action under it was refused because of a higher token.
    ///
    /// As long as clocks drift within the bound, no other holder acts while the lease runs. So either a clock
    /// exceeded the bound, or the refusing party is wrong. A new election resolves both cases, since its
    /// token is above all tokens known to a majority.
    pub(super) fn on_token_refused(&mut self, now: Duration, token: FencingToken, actions: &mut Vec<Action>) {
        if matches!(&self.state, ElectorState::Holder(held) if held.token == token) {
            self.release_lease(now, token, actions);
        }
    }

    pub(super) fn resign(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.has_resigned = true;
        self.become_follower(now, actions);
    }

    /// Releases the role, or abandons the campaign for it.
    fn become_follower(&mut self, now: Duration, actions: &mut Vec<Action>) {
        match &self.state {
            ElectorState::Holder(held) => self.release_lease(now, held.token, actions),
            ElectorState::Candidate(_) => self.abandon_campaign(now, actions),
            ElectorState::Follower { .. } => {}
        }
    }
}
