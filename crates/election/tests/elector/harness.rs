//! A test harness for a single elector, the second of three members of view 1. Times are in ms since its
//! start.

use lugwharf_election::{
    Action, BatchId, Elector, ElectorSettings, Event, FencingToken, Message, MessageBody, Role,
};
use std::net::SocketAddr;
use std::time::Duration;

/// The view in which every harness starts.
pub const VIEW: u64 = 1;
/// The request id used by scripted peers.
pub const REQUEST_ID: u64 = 9;
/// The time of the earliest election: after a start no process is elected for the lease duration of 1 s plus
/// 2 % clock drift.
pub const FIRST_ELECTION: u64 = 1_020;
/// The batch id of an elector's first write.
pub const FIRST_BATCH: BatchId = BatchId(1);

/// The seed of electors in tests that do not depend on the backoffs.
pub const SEED: u64 = 5;

pub fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_700))
}

pub fn settings(local_address: SocketAddr, role: Role, seed: u64) -> ElectorSettings {
    ElectorSettings {
        local_address,
        role,
        lease_duration: Duration::from_millis(1_000),
        renew_interval: Duration::from_millis(250),
        clock_drift_percent: 2,
        seed,
    }
}

pub struct Harness {
    pub elector: Elector,
    role: Role,
}

impl Harness {
    /// Starts an elector from `records` that is a voter in view 1.
    pub fn start(role: Role, seed: u64, records: &[Vec<u8>]) -> Self {
        let mut harness = Self::start_without_view(role, seed, records);
        harness.install_view(0, VIEW, true);
        harness
    }

    pub fn start_without_view(role: Role, seed: u64, records: &[Vec<u8>]) -> Self {
        let settings = settings(address(2), role, seed);
        Self { elector: Elector::recover(settings, records, Duration::ZERO), role }
    }

    pub fn handle(&mut self, now: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.elector.handle(Duration::from_millis(now), event, &mut actions);
        actions
    }

    /// Installs a view of the same three members.
    pub fn install_view(&mut self, now: u64, number: u64, is_voter: bool) -> Vec<Action> {
        let members = vec![address(1), address(2), address(3)];
        self.handle(now, Event::ViewInstalled { number, members, is_voter })
    }

    /// Receives a message sent in view 1.
    pub fn receive(&mut self, now: u64, from: u8, body: MessageBody) -> Vec<Action> {
        self.receive_in(now, VIEW, from, body)
    }

    pub fn receive_in(&mut self, now: u64, view: u64, from: u8, body: MessageBody) -> Vec<Action> {
        let message = Message { role: self.role, view, body };
        self.handle(now, Event::Message { from: address(from), message })
    }

    /// Receives a denial from a member that knows no token.
    pub fn receive_denial(&mut self, now: u64, from: u8, request_id: u64) -> Vec<Action> {
        self.receive(
            now,
            from,
            MessageBody::VoteDenied { request_id, highest_token: FencingToken::default() },
        )
    }

    /// Receives a granted pre-vote from a member that knows no token.
    pub fn receive_pre_vote_grant(&mut self, now: u64, from: u8, request_id: u64) -> Vec<Action> {
        let highest_token = FencingToken::default();
        self.receive(now, from, MessageBody::PreVoteGranted { request_id, highest_token })
    }

    /// Ticks until the elector sends a pre-vote. Returns the time and the request id.
    pub fn wait_for_pre_vote(&mut self, from: u64) -> (u64, u64) {
        for now in (from..from + 9_000).step_by(5) {
            let actions = self.handle(now, Event::Tick);
            if let Some(MessageBody::PreVote { request_id }) = sent_bodies(&actions).first() {
                return (now, *request_id);
            }
        }
        panic!("no pre-vote was sent within 9 s");
    }

    /// Lets the elector request votes. Returns the time, the request id and the token.
    pub fn wait_for_vote_request(&mut self) -> (u64, u64, FencingToken) {
        let (now, request_id) = self.wait_for_pre_vote(FIRST_ELECTION);
        let own_vote = self.receive_pre_vote_grant(now, 1, request_id);
        assert!(matches!(own_vote.as_slice(), [Action::Persist { batch: FIRST_BATCH, .. }]), "{own_vote:?}");
        let requested = sent_bodies(&self.handle(now, Event::Persisted { batch: FIRST_BATCH }));
        let Some(MessageBody::RequestVote { request_id, token }) = requested.first().copied() else {
            panic!("no vote request was sent: {requested:?}")
        };
        (now, request_id, token)
    }

    /// Lets the elector acquire a lease. Returns the time and the token.
    pub fn acquire_lease(&mut self) -> (u64, FencingToken) {
        let (now, request_id, token) = self.wait_for_vote_request();
        let acquired = self.receive(now, 1, MessageBody::VoteGranted { request_id, token });
        assert!(acquired.contains(&Action::LeaseAcquired { token }), "{acquired:?}");
        assert!(self.is_holder(now));
        (now, token)
    }

    pub fn is_holder(&self, now: u64) -> bool {
        self.elector.held_lease(Duration::from_millis(now)).is_some()
    }

    /// Returns whether the elector persists a vote when process `from` requests one.
    pub fn persists_vote_for(&mut self, now: u64, view: u64, from: u8, token: FencingToken) -> bool {
        let body = MessageBody::RequestVote { request_id: REQUEST_ID, token };
        persists(&self.receive_in(now, view, from, body))
    }
}

/// Returns the bodies of all messages sent by `actions`.
pub fn sent_bodies(actions: &[Action]) -> Vec<MessageBody> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(message.body),
        _ => None,
    });
    sent.collect()
}

pub fn persists(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Persist { .. }))
}

pub fn is_denied(actions: &[Action]) -> bool {
    matches!(sent_bodies(actions).as_slice(), [MessageBody::VoteDenied { .. }])
}
