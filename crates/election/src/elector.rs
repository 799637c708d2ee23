//! The elector of one role at one process: its state, and what happens as time passes.

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

/// A campaign ends after a lease divided by this: several round trips and syncs, yet short against the lease.
const CAMPAIGN_TIMEOUT_DIVISOR: u32 = 4;
/// The longest backoff before a campaign is a lease divided by this. It is drawn at random, so that two processes seldom
/// campaign at once (the randomised election timeout of Ongaro's thesis, section 3.4). The backoff after a campaign that
/// failed is as long, and doubles with each one that took votes.
const BACKOFF_DIVISOR: u32 = 16;
/// A pre-vote that is open is sent again after a lease divided by this: half of the longest backoff, so that two attempts
/// take no longer than the first one of another process.
const RESEND_DIVISOR: u32 = 32;
/// The most doublings of the backoff between campaigns: it stays within half of a lease.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// The membership view in which this process takes part.
#[derive(Clone, Debug)]
struct View {
    number: u64,
    members: Vec<SocketAddr>,
    is_voter: bool,
}

/// What this process is in the election.
#[derive(Clone, Debug)]
enum ElectorState {
    /// Another process holds the role, or none does and this one waits until `campaign_at` to be a candidate.
    Follower { campaign_at: Option<Duration> },
    /// This process campaigns for the role.
    Candidate(Campaign),
    /// This process holds the role.
    Holder(HeldLease),
}

/// The elector of one role at one process: it votes, campaigns when the role is vacant, and renews the lease it holds.
///
/// The driver sends it every [`Event`] in the order in which things happened, carries out the [`Action`]s in their order,
/// and reports the result of each write.
#[derive(Clone, Debug)]
pub struct Elector {
    settings: ElectorSettings,
    random: Rng,
    /// The number of the last request. The first one is drawn, so that answers to an earlier start seldom match.
    last_request_id: u64,
    voter: Voter,
    view: Option<View>,
    state: ElectorState,
    known_holder: KnownHolder,
    /// Campaigns that took votes and failed, since this process last won or voted for another one.
    failed_campaigns: u32,
    /// No campaign starts before.
    backoff_until: Duration,
    has_resigned: bool,
}

impl Elector {
    /// An elector after a start, with all records of the log, those of others too. It does nothing before an
    /// [`Event::ViewInstalled`].
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

    /// Handles an event and appends what is to be done to `actions`. `now` never goes back from call to call.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        // First what has expired, so that no message is counted for a lease or a campaign that is over; last what is due, so
        // that it is decided on the state after the event.
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

    /// The lease of the role, if this process holds it at `now`.
    ///
    /// Ask right before each act in the role, with a time read at that moment: a process that was paused finds its lease
    /// expired.
    pub fn held_lease(&self, now: Duration) -> Option<Lease> {
        match &self.state {
            ElectorState::Holder(held) if now < held.expires_at => {
                Some(Lease { token: held.token, expires_at: held.expires_at })
            }
            _ => None,
        }
    }

    /// The last process known to act as the holder; it may have lost the role since. A process that only requested votes,
    /// or was granted them, is not a holder yet.
    pub fn known_holder(&self) -> Option<LeaseHolder> {
        self.known_holder.current()
    }

    /// The process whose lease, granted by this voter, still runs at `now`.
    pub fn granted_to(&self, now: Duration) -> Option<LeaseHolder> {
        self.voter.granted_to(now)
    }

    /// The encoded records that a rewritten log must hold for this role.
    pub fn snapshot_records(&self) -> Vec<Vec<u8>> {
        self.voter.last_record().iter().map(|record| record.encode()).collect()
    }

    /// Ends what has expired by now, before anything else is decided.
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

    /// Does what is due by now.
    fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let resend_interval = self.settings.lease_duration / RESEND_DIVISOR;
        match &self.state {
            ElectorState::Holder(held) if now >= held.next_renewal_at => self.renew_lease(now, actions),
            ElectorState::Follower { campaign_at } => self.consider_campaign(now, *campaign_at, actions),
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

    /// Records that a process acts as the holder of a token.
    fn record_holder(&mut self, holder: LeaseHolder) {
        self.voter.record_held(holder.token);
        let is_latest = self.voter.is_latest(holder);
        self.known_holder.record(holder, is_latest);
    }

    /// This process and a token.
    fn local_holder(&self, token: FencingToken) -> LeaseHolder {
        LeaseHolder { address: self.settings.local_address, token }
    }

    /// A number that no earlier request of this process has had since its start.
    fn next_request_id(&mut self) -> u64 {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        self.last_request_id
    }

    /// The longest backoff before a campaign, if none has failed.
    fn max_backoff(&self) -> Duration {
        self.settings.lease_duration / BACKOFF_DIVISOR
    }

    /// Draws a backoff; one draw from the generator.
    fn draw_backoff(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.random.f64())
    }

    fn member_count(&self) -> usize {
        self.view.as_ref().map_or(0, |view| view.members.len())
    }

    /// Sends a message to all other members of the view.
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
