//! The elector of one role in one process: its state and its time-driven transitions.

mod campaigning;
mod holding;
mod inbound;
mod voting;

use crate::action::Action;
use crate::campaign::Campaign;
use crate::event::Event;
use crate::held_lease::HeldLease;
use crate::known_holder::KnownHolder;
use crate::lease::{Lease, LeaseHolder};
use crate::message::{Message, MessageBody};
use crate::settings::ElectorSettings;
use crate::token::FencingToken;
use crate::voter::Voter;
use fastrand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// A campaign times out after the lease duration divided by this. The result leaves time for several round
/// trips and syncs, yet is short compared to the lease.
const CAMPAIGN_TIMEOUT_DIVISOR: u32 = 4;
/// The maximum backoff before a campaign is the lease duration divided by this. The backoff is randomised, so
/// that two processes rarely campaign at the same time (randomised election timeout, Ongaro's thesis, section
/// 3.4). The maximum backoff after a failed campaign starts at the same value, and doubles with each failed
/// campaign that got past the pre-vote.
const BACKOFF_DIVISOR: u32 = 16;
/// A pending pre-vote is resent after the lease duration divided by this. That is half of the maximum
/// backoff, so that a candidate can send its pre-vote twice within the maximum backoff of another process.
const RESEND_DIVISOR: u32 = 32;
/// The maximum number of doublings of the backoff between campaigns. It keeps the backoff within half of the
/// lease duration.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// The membership view in which this process participates.
#[derive(Clone, Debug)]
struct View {
    number: u64,
    members: Vec<SocketAddr>,
    is_voter: bool,
}

/// The state of this process in the election.
#[derive(Clone, Debug)]
enum ElectorState {
    /// Another process holds the role, or the role is vacant and this process waits until `campaign_at`
    /// before it campaigns.
    Follower { campaign_at: Option<Duration> },
    /// This process is campaigning for the role.
    Candidate(Campaign),
    /// This process holds the role.
    Holder(HeldLease),
}

/// The elector of one role in one process. It votes, campaigns when the role is vacant, and renews the lease
/// that it holds.
///
/// The driver passes every [`Event`] to the elector in the order of occurrence, executes the [`Action`]s in
/// order, and reports the result of each write.
#[derive(Clone, Debug)]
pub struct Elector {
    settings: ElectorSettings,
    random: Rng,
    /// The id of the last request. The initial value is random, so that responses to requests from before a
    /// restart rarely match.
    last_request_id: u64,
    voter: Voter,
    view: Option<View>,
    state: ElectorState,
    known_holder: KnownHolder,
    /// The number of failed campaigns that got past the pre-vote since this process last won an election or
    /// voted for another process.
    failed_campaigns: u32,
    /// No campaign starts before this time.
    backoff_until: Duration,
    has_resigned: bool,
}

impl Elector {
    /// Restores an elector after a process start from all records of the log, which may include records of
    /// other components. The elector is inactive until the first [`Event::ViewInstalled`].
    pub fn recover(settings: ElectorSettings, records: &[Vec<u8>], now: Duration) -> Self {
        let mut random = Rng::with_seed(settings.seed);
        Self {
            last_request_id: random.u64(..),
            random,
            voter: Voter::recover(&settings, records, now),
            settings,
            view: None,
            state: ElectorState::Follower { campaign_at: None },
            known_holder: KnownHolder::default(),
            failed_campaigns: 0,
            backoff_until: now,
            has_resigned: false,
        }
    }

    /// Handles an event and appends the resulting actions to `actions`. `now` must not decrease between
    /// calls.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        // Expired leases and campaigns are ended first, so that no message counts towards one that is over.
        // Due work is done last, based on the state after the event.
        self.expire(now, actions);
        match event {
            Event::Tick => {}
            Event::ViewInstalled { number, members, is_voter } => {
                self.on_view_installed(now, number, members, is_voter, actions);
            }
            Event::ViewSealed { number } => self.voter.seal(number),
            Event::Message { from, message } => self.on_message(now, from, message, actions),
            Event::Persisted { batch } => self.on_persisted(now, batch, actions),
            Event::PersistFailed { batch } => self.on_persist_failed(now, batch, actions),
            Event::StepDown { backoff } => self.step_down(now, backoff, actions),
            Event::TokenRefused { token } => self.on_token_refused(now, token, actions),
            Event::Resign => self.resign(now, actions),
        }
        self.advance(now, actions);
    }

    /// Returns the lease of the role if this process holds the role at `now`.
    ///
    /// Callers must check this immediately before each action in the role, with the current time: a process
    /// that was paused then finds that its lease has expired.
    pub fn held_lease(&self, now: Duration) -> Option<Lease> {
        match &self.state {
            ElectorState::Holder(held) if now < held.expires_at => {
                Some(Lease { token: held.token, expires_at: held.expires_at })
            }
            _ => None,
        }
    }

    /// Returns the last process known to act as the holder, which may have lost the role since. A process
    /// that has only requested or received votes does not count as a holder.
    pub fn known_holder(&self) -> Option<LeaseHolder> {
        self.known_holder.current()
    }

    /// Returns the process to which this voter has granted a lease that has not expired at `now`.
    pub fn granted_to(&self, now: Duration) -> Option<LeaseHolder> {
        self.voter.granted_to(now)
    }

    /// Returns the encoded records that a rewritten log must contain for this role.
    pub fn snapshot_records(&self) -> Vec<Vec<u8>> {
        self.voter.last_record().iter().map(|record| record.encode()).collect()
    }

    /// Ends the lease or the campaign if it has expired, before any other decision is made.
    fn expire(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let timeout = self.settings.lease_duration / CAMPAIGN_TIMEOUT_DIVISOR;
        let response_timeout = self.settings.lease_duration / RESEND_DIVISOR;
        match &self.state {
            ElectorState::Holder(held) if now >= held.expires_at => self.end_lease(now, actions),
            ElectorState::Candidate(campaign) if campaign.is_expired(now, timeout, response_timeout) => {
                self.abandon_campaign(now, actions);
            }
            _ => {}
        }
    }

    /// Starts the renewal, campaign or resend that is due.
    fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let resend_interval = self.settings.lease_duration / RESEND_DIVISOR;
        match &self.state {
            ElectorState::Holder(held) if now >= held.next_renewal_at => self.renew_lease(now, actions),
            ElectorState::Follower { campaign_at } => self.maybe_start_campaign(now, *campaign_at, actions),
            ElectorState::Candidate(campaign) if campaign.is_resend_due(now, resend_interval) => {
                self.resend_pre_vote(now, actions);
            }
            _ => {}
        }
    }

    fn on_view_installed(
        &mut self, now: Duration, number: u64, mut members: Vec<SocketAddr>, is_voter: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.view.as_ref().is_some_and(|view| number <= view.number) {
            return;
        }
        if let ElectorState::Candidate(_) = self.state {
            self.abandon_campaign(now, actions);
        }
        members.sort_unstable();
        members.dedup();
        self.voter.seal(number.saturating_sub(1));
        self.voter.enter_view(now);
        let is_voter = is_voter && members.contains(&self.settings.local_address);
        self.view = Some(View { number, members, is_voter });
        self.carry_lease_over(now, is_voter, actions);
    }

    /// Records that a process acts as the holder under its token.
    fn record_holder(&mut self, holder: LeaseHolder) {
        self.voter.record_held(holder.token);
        let is_latest = self.voter.is_latest(holder);
        self.known_holder.record(holder, is_latest);
    }

    /// Returns this process as the holder of `token`.
    fn local_holder(&self, token: FencingToken) -> LeaseHolder {
        LeaseHolder { address: self.settings.local_address, token }
    }

    /// Returns an id that no earlier request of this process has used since its start.
    fn next_request_id(&mut self) -> u64 {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        self.last_request_id
    }

    /// Returns the maximum backoff before a campaign if no campaign has failed.
    fn max_backoff(&self) -> Duration {
        self.settings.lease_duration / BACKOFF_DIVISOR
    }

    /// Draws a random backoff of at most `max`. Consumes exactly one value of the generator.
    fn draw_backoff(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.random.f64())
    }

    fn member_count(&self) -> usize {
        self.view.as_ref().map_or(0, |view| view.members.len())
    }

    /// Sends a message to all other members of the current view.
    fn broadcast(&self, body: MessageBody, actions: &mut Vec<Action>) {
        let Some(view) = &self.view else { return };
        let others = view.members.iter().filter(|member| **member != self.settings.local_address);
        for to in others {
            self.send(*to, body, actions);
        }
    }

    fn send(&self, to: SocketAddr, body: MessageBody, actions: &mut Vec<Action>) {
        let Some(view) = &self.view else { return };
        let message = Message { role: self.settings.role, view: view.number, body };
        actions.push(Action::Send { to, message });
    }
}
