//! The elector of one role at one process.

mod exchange;

use crate::campaign::{Campaign, Outcome, Phase};
use crate::claims::Claims;
use crate::message::{Action, Event, Message, MessageBody};
use crate::settings::{ElectorSettings, FencingToken};
use crate::tenure::Tenure;
use crate::voter::{Asked, Request, Voter};
use fastrand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// A campaign ends after this part of a lease: several round trips and syncs, yet short against the lease.
const CAMPAIGN_PART: u32 = 4;
/// A process that sees the role vacant waits for up to this part of a lease before it asks, so that two seldom ask at
/// once; the wait after a campaign in vain is as long, and doubles with each one that took votes.
const SPREAD_PART: u32 = 16;
/// A question that is open is asked again after this part of a lease: half of the longest pause before a question, so
/// that two tries of it take no longer than the other process's first one.
const ASK_AGAIN_PART: u32 = 32;
/// Doublings of the wait between campaigns: it stays within half of a lease.
const MAX_DOUBLINGS: u32 = 3;

/// A role held by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The fencing token.
    pub token: FencingToken,
    /// When it ends unless it is renewed, on this process's steady clock.
    pub expires_at: Duration,
}

#[derive(Clone, Debug)]
struct View {
    number: u64,
    members: Vec<SocketAddr>,
    voter: bool,
}

#[derive(Clone, Debug)]
enum Standing {
    /// Another process has the role, or none has it and this one waits until `ask_at` to stand.
    Follower { ask_at: Option<Duration> },
    /// This process wants the role.
    Candidate(Campaign),
    /// This process has the role.
    Holder(Tenure),
}

/// The elector of one role at one process: it votes, stands when the role is vacant, and renews what it holds.
#[derive(Clone, Debug)]
pub struct Elector {
    settings: ElectorSettings,
    random: Rng,
    /// The number of the last question. The first one is drawn, so that answers to an earlier start seldom fit.
    request_id: u64,
    voter: Voter,
    view: Option<View>,
    standing: Standing,
    claims: Claims,
    /// Campaigns in vain since the role was last known to be held.
    failures: u32,
    /// No campaign before.
    rest_until: Duration,
    resigned: bool,
}

impl Elector {
    /// An elector after a start, with all records of the log, those of others too. It needs an [`Event::ViewInstalled`] before
    /// it does anything.
    pub fn recover(settings: ElectorSettings, records: &[Vec<u8>], now: Duration) -> Self {
        let mut random = Rng::with_seed(settings.seed);
        Self {
            request_id: random.u64(..),
            random,
            voter: Voter::recover(&settings, records, now),
            settings,
            view: None,
            standing: Standing::Follower { ask_at: None },
            claims: Claims::default(),
            failures: 0,
            rest_until: now,
            resigned: false,
        }
    }

    /// Takes an event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.expire(now, out);
        match event {
            Event::Tick => {}
            Event::ViewInstalled { number, members, is_voter } => {
                self.enter_view(now, number, members, is_voter, out)
            }
            Event::ViewSealed { number } => self.voter.seal(number),
            Event::Message { from, message } => self.on_message(now, from, message, out),
            Event::Persisted { batch } => self.on_stored(now, batch, out),
            Event::PersistFailed { batch } => self.on_store_failed(now, batch, out),
            Event::StepDown { backoff } => self.step_down(now, backoff, out),
            Event::Resign => self.resign(now, out),
        }
        self.advance(now, out);
    }

    /// The role, if this process holds it now. Ask right before each act in the role, with a time read at that moment:
    /// a process that stood still finds its lease over.
    pub fn held_lease(&self, now: Duration) -> Option<Lease> {
        match &self.standing {
            Standing::Holder(tenure) if now < tenure.until => {
                Some(Lease { token: tenure.token, expires_at: tenure.until })
            }
            _ => None,
        }
    }

    /// The last process heard of that acts as the holder, by its token; it may have lost the role since. A process that only
    /// stands for the role, or was granted it, is none yet.
    pub fn known_holder(&self) -> Option<(SocketAddr, FencingToken)> {
        self.claims.known()
    }

    /// To whom this process has granted the role until some time after `now`.
    pub fn granted_to(&self, now: Duration) -> Option<(SocketAddr, FencingToken)> {
        self.voter.granted_to(now)
    }

    /// The records that a rewritten log must hold for this role.
    pub fn snapshot_records(&self) -> Vec<Vec<u8>> {
        self.voter.record().iter().map(|record| record.encode()).collect()
    }

    /// Drops what has run out by now, before anything else is decided.
    fn expire(&mut self, now: Duration, out: &mut Vec<Action>) {
        let longest = self.settings.lease_duration / CAMPAIGN_PART;
        let answer_within = self.settings.lease_duration / ASK_AGAIN_PART;
        match &self.standing {
            Standing::Holder(tenure) if now >= tenure.until => self.lose(now, out),
            Standing::Candidate(campaign) if campaign.is_over(now, longest, answer_within) => {
                self.give_up(now, out)
            }
            _ => {}
        }
    }

    /// Does what is due by now.
    fn advance(&mut self, now: Duration, out: &mut Vec<Action>) {
        let again_after = self.settings.lease_duration / ASK_AGAIN_PART;
        match &self.standing {
            Standing::Holder(tenure) if now >= tenure.next_renewal => self.renew(now, out),
            Standing::Follower { ask_at } => self.follow(now, *ask_at, out),
            Standing::Candidate(campaign) if campaign.is_due_again(now, again_after) => {
                self.ask_again(now, out);
            }
            _ => {}
        }
    }

    fn follow(&mut self, now: Duration, ask_at: Option<Duration>, out: &mut Vec<Action>) {
        let me = self.settings.local_address;
        let view = self.view.as_ref().filter(|view| view.voter);
        let vacant = view.is_some_and(|view| self.voter.would_elect(now, view.number, me));
        if !vacant || self.resigned {
            self.standing = Standing::Follower { ask_at: None };
            return;
        }
        let ask_at = ask_at.unwrap_or_else(|| {
            now.max(self.rest_until) + self.pause(self.settings.lease_duration / SPREAD_PART)
        });
        self.standing = Standing::Follower { ask_at: Some(ask_at) };
        if now >= ask_at {
            self.ask(now, out);
        }
    }

    fn ask(&mut self, now: Duration, out: &mut Vec<Action>) {
        let request_id = self.next_request_id();
        let highest_token = self.voter.highest_token();
        let mut campaign = Campaign::new(Phase::Asking, request_id, now, highest_token);
        campaign.accept(self.settings.local_address, highest_token);
        self.standing = Standing::Candidate(campaign);
        self.broadcast(MessageBody::PreVote { request_id }, out);
        self.count(now, out);
    }

    /// Asks those again who have not said yes. A voter whose grant has not ended says no, and where another member is
    /// dead this leaves the question open: without asking again this process would wait for the dead one, and refuse the
    /// voter meanwhile.
    fn ask_again(&mut self, now: Duration, out: &mut Vec<Action>) {
        let me = self.settings.local_address;
        let Some(view) = &self.view else { return };
        if !self.voter.would_elect(now, view.number, me) {
            self.give_up(now, out);
            return;
        }
        let Standing::Candidate(campaign) = &mut self.standing else { return };
        campaign.asked = now;
        let request_id = campaign.request_id;
        let unsure = view.members.iter().filter(|member| !campaign.has_yes_of(member));
        for to in unsure.copied().collect::<Vec<_>>() {
            self.send(to, MessageBody::PreVote { request_id }, out);
        }
    }

    fn stand(&mut self, now: Duration, highest_token: FencingToken, out: &mut Vec<Action>) {
        let token = self.view.as_ref().and_then(|view| highest_token.next_in(view.number));
        let Some(token) = token else {
            self.give_up(now, out);
            return;
        };
        let request_id = self.next_request_id();
        self.standing = Standing::Candidate(Campaign::new(Phase::Preparing(token), request_id, now, token));
        self.request_own_vote(now, Request::Elect, request_id, token, out);
    }

    /// Asks the others for their votes, once the disk of this process holds the token: whatever happens to the process,
    /// it never stands under this token again, and a late message about it is not taken for one about a later campaign.
    fn canvass(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Standing::Candidate(campaign) = &mut self.standing else { return };
        let Phase::Preparing(token) = campaign.phase else { return };
        campaign.phase = Phase::Standing(token);
        campaign.accept(self.settings.local_address, token);
        let request_id = campaign.request_id;
        self.broadcast(MessageBody::RequestVote { request_id, token }, out);
        self.count(now, out);
    }

    fn renew(&mut self, now: Duration, out: &mut Vec<Action>) {
        let request_id = self.next_request_id();
        let Standing::Holder(tenure) = &mut self.standing else { return };
        tenure.next_renewal = now + self.settings.renew_interval;
        tenure.begin_renewal(request_id, now);
        let token = tenure.token;
        self.broadcast(MessageBody::RenewLease { request_id, token }, out);
        self.request_own_vote(now, Request::Renew, request_id, token, out);
    }

    fn request_own_vote(
        &mut self, now: Duration, request: Request, request_id: u64, token: FencingToken,
        out: &mut Vec<Action>,
    ) {
        let Some(view) = self.view.as_ref().map(|view| view.number) else { return };
        let asked = Asked { from: self.settings.local_address, view, request_id, token };
        self.on_request(now, request, asked, out);
    }

    /// Ends a campaign in vain and gives its votes back. Only votes that were wasted make the next wait longer: a
    /// question that comes before the last grant has ended is soon worth asking again.
    fn give_up(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Standing::Candidate(Campaign { phase, .. }) = self.standing else { return };
        if let Phase::Preparing(token) | Phase::Standing(token) = phase {
            self.voter.release(self.settings.local_address, token);
            self.failures = self.failures.saturating_add(1).min(MAX_DOUBLINGS);
        }
        if let Phase::Standing(token) = phase {
            self.broadcast(MessageBody::ReleaseLease { token, was_holder: false }, out);
        }
        self.rest_until = now + self.pause(self.settings.lease_duration / SPREAD_PART * (1 << self.failures));
        self.standing = Standing::Follower { ask_at: None };
    }

    /// The role is over at this process.
    fn lose(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.claims.lost(self.settings.local_address);
        self.standing = Standing::Follower { ask_at: None };
        self.rest_until = now + self.settings.lease_duration / SPREAD_PART;
        out.push(Action::LeaseLost);
    }

    /// Gives the role up while it is held, so that the next election need not wait for the grants to end.
    fn hand_back(&mut self, now: Duration, token: FencingToken, out: &mut Vec<Action>) {
        self.lose(now, out);
        self.voter.release(self.settings.local_address, token);
        self.broadcast(MessageBody::ReleaseLease { token, was_holder: true }, out);
    }

    fn step_down(&mut self, now: Duration, backoff: Duration, out: &mut Vec<Action>) {
        self.step_back(now, out);
        self.rest_until = self.rest_until.max(now + backoff);
        // Whatever time was drawn before is too early.
        if let Standing::Follower { ask_at } = &mut self.standing {
            *ask_at = None;
        }
    }

    fn resign(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.resigned = true;
        self.step_back(now, out);
    }

    /// Gives up the role or the campaign for it.
    fn step_back(&mut self, now: Duration, out: &mut Vec<Action>) {
        match &self.standing {
            Standing::Holder(tenure) => self.hand_back(now, tenure.token, out),
            Standing::Candidate(_) => self.give_up(now, out),
            Standing::Follower { .. } => {}
        }
    }

    fn enter_view(
        &mut self, now: Duration, number: u64, mut members: Vec<SocketAddr>, voter: bool,
        out: &mut Vec<Action>,
    ) {
        if self.view.as_ref().is_some_and(|view| number <= view.number) {
            return;
        }
        if let Standing::Candidate(_) = self.standing {
            self.give_up(now, out);
        }
        members.sort_unstable();
        members.dedup();
        self.voter.seal(number.saturating_sub(1));
        self.voter.enter_view(now);
        let voter = voter && members.contains(&self.settings.local_address);
        self.view = Some(View { number, members, voter });
        self.carry_over(now, voter, out);
    }

    /// A holder that is a member of the new view renews there at once; another one gives the role up.
    fn carry_over(&mut self, now: Duration, voter: bool, out: &mut Vec<Action>) {
        let Standing::Holder(tenure) = &mut self.standing else { return };
        if voter {
            tenure.drop_renewals();
            tenure.next_renewal = now;
            return;
        }
        let token = tenure.token;
        self.hand_back(now, token, out);
    }

    /// Goes on as the answers to the campaign stand.
    fn count(&mut self, now: Duration, out: &mut Vec<Action>) {
        let members = self.view.as_ref().map_or(0, |view| view.members.len());
        let Standing::Candidate(campaign) = &self.standing else { return };
        let (phase, started, highest_token) = (campaign.phase, campaign.started, campaign.highest_token);
        match (campaign.outcome(members), phase) {
            (Outcome::Open, _) => {}
            (Outcome::Lost, _) => self.give_up(now, out),
            (Outcome::Won, Phase::Asking) => self.stand(now, highest_token, out),
            (Outcome::Won, Phase::Preparing(_)) => {}
            (Outcome::Won, Phase::Standing(token)) => self.win(now, token, started, out),
        }
    }

    fn win(&mut self, now: Duration, token: FencingToken, started: Duration, out: &mut Vec<Action>) {
        let until = started + self.settings.holder_lease();
        if now >= until {
            self.give_up(now, out);
            return;
        }
        // The first renewal goes out at once: it tells the voters that did not vote, or voted for another, who has won.
        self.standing = Standing::Holder(Tenure::new(token, until, now));
        self.failures = 0;
        self.note_claim(self.settings.local_address, token);
        out.push(Action::LeaseAcquired { token });
    }

    /// A process acts as the holder of a token.
    fn note_claim(&mut self, holder: SocketAddr, token: FencingToken) {
        self.voter.note_held(token);
        let is_latest = self.voter.is_latest(holder, token);
        self.claims.note(holder, token, is_latest);
    }

    /// A number that no earlier question of this process bears since its start.
    fn next_request_id(&mut self) -> u64 {
        self.request_id = self.request_id.wrapping_add(1);
        self.request_id
    }

    fn pause(&mut self, longest: Duration) -> Duration {
        longest.mul_f64(self.random.f64())
    }

    fn broadcast(&self, body: MessageBody, out: &mut Vec<Action>) {
        let Some(view) = &self.view else { return };
        let others = view.members.iter().filter(|member| **member != self.settings.local_address);
        for to in others {
            self.send(*to, body, out);
        }
    }

    fn send(&self, to: SocketAddr, body: MessageBody, out: &mut Vec<Action>) {
        let Some(view) = &self.view else { return };
        let message = Message { role: self.settings.role, view: view.number, body };
        out.push(Action::Send { to, message });
    }
}
