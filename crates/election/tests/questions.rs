//! Questions of a single elector against scripted peers: whom it asks, when again, and when it gives up.

use lugwharf_election::{
    Action, BatchId, Elector, ElectorSettings, Event, FencingToken, LeaseHolder, Message, MessageBody, Role,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const VIEW: u64 = 1;
const FIRST: FencingToken = FencingToken((1 << 24) + 1);
/// From a start on nobody is elected for a lease and the drift.
const SETTLED: u64 = 1_020;
/// After this an open question is asked again: a lease / 32.
const AGAIN: u64 = 32;
/// After this a question is given up: a lease / 4.
const CAMPAIGN: u64 = 250;
/// Rest and pause after a question in vain: a lease / 16 each, and a tick.
const NEXT_QUESTION: u64 = 63 + 63 + 5;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_700))
}

fn holder(host: u8) -> Option<LeaseHolder> {
    Some(LeaseHolder { address: address(host), token: FIRST })
}

struct Bed {
    elector: Elector,
}

impl Bed {
    /// The second of three processes, started at 0 without records.
    fn new() -> Self {
        Self::with_seed(5)
    }

    fn with_seed(seed: u64) -> Self {
        let settings = ElectorSettings {
            local_address: address(2),
            role: Role::ListWatcher,
            lease_duration: Duration::from_millis(1_000),
            renew_interval: Duration::from_millis(250),
            clock_drift_percent: 2,
            seed,
        };
        let mut bed = Self { elector: Elector::recover(settings, &[], Duration::ZERO) };
        let members = vec![address(1), address(2), address(3)];
        bed.at(0, Event::ViewInstalled { number: VIEW, members, is_voter: true });
        bed
    }

    fn at(&mut self, now: u64, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.elector.handle(Duration::from_millis(now), event, &mut out);
        out
    }

    fn hear(&mut self, now: u64, from: u8, body: MessageBody) -> Vec<Action> {
        let message = Message { role: Role::ListWatcher, view: VIEW, body };
        self.at(now, Event::Message { from: address(from), message })
    }

    fn refuse(&mut self, now: u64, from: u8, request_id: u64) -> Vec<Action> {
        self.hear(now, from, MessageBody::VoteDenied { request_id, highest_token: FencingToken::default() })
    }

    fn willing(&mut self, now: u64, from: u8, request_id: u64) -> Vec<Action> {
        self.hear(
            now,
            from,
            MessageBody::PreVoteGranted { request_id, highest_token: FencingToken::default() },
        )
    }

    /// Ticks until it asks; returns the time and the request id.
    fn asked(&mut self, from: u64) -> (u64, u64) {
        for now in (from..from + 9_000).step_by(5) {
            let actions = self.at(now, Event::Tick);
            if let Some((_, request_id)) = asks(&actions).first() {
                return (now, *request_id);
            }
        }
        panic!("it never asks");
    }
}

/// Whom it asks, under which request id.
fn asks(actions: &[Action]) -> Vec<(SocketAddr, u64)> {
    let asked = actions.iter().filter_map(|action| match action {
        Action::Send { to, message: Message { body: MessageBody::PreVote { request_id }, .. } } => {
            Some((*to, *request_id))
        }
        _ => None,
    });
    asked.collect()
}

fn stands(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Persist { .. }))
}

#[test]
fn asks_again_those_who_have_not_said_yes() {
    let mut bed = Bed::new();
    let (now, request_id) = bed.asked(SETTLED);
    bed.refuse(now + 1, 1, request_id);
    assert_eq!(asks(&bed.at(now + AGAIN - 1, Event::Tick)), []);
    let again = bed.at(now + AGAIN, Event::Tick);
    assert_eq!(asks(&again), [(address(1), request_id), (address(3), request_id)]);
    assert_eq!(asks(&bed.at(now + AGAIN + 1, Event::Tick)), []);
    assert!(stands(&bed.willing(now + AGAIN + 2, 1, request_id)), "a yes after a no counts");
}

/// The answers to what was asked just before the end of the question still count.
#[rstest]
#[case::in_time(CAMPAIGN + 20, true)]
#[case::too_late(CAMPAIGN + 60, false)]
fn waits_for_the_answers_to_its_last_question(#[case] answered: u64, #[case] counts: bool) {
    let mut bed = Bed::new();
    let (now, request_id) = bed.asked(SETTLED);
    bed.at(now + CAMPAIGN - 5, Event::Tick);
    assert_eq!(asks(&bed.at(now + CAMPAIGN + 1, Event::Tick)), []);
    assert_eq!(stands(&bed.willing(now + answered, 1, request_id)), counts);
}

#[test]
fn does_not_ask_again_once_it_has_voted_for_another() {
    let mut bed = Bed::new();
    let (now, _) = bed.asked(SETTLED);
    assert!(stands(&bed.hear(now + 1, 1, MessageBody::RequestVote { request_id: 9, token: FIRST })));
    assert_eq!(asks(&bed.at(now + AGAIN, Event::Tick)), []);
}

#[test]
fn gives_up_at_once_where_a_majority_refuses() {
    let mut bed = Bed::new();
    let (now, request_id) = bed.asked(SETTLED);
    bed.refuse(now, 1, request_id);
    bed.refuse(now, 3, request_id);
    assert!(!stands(&bed.willing(now, 1, request_id)), "the question is over");
    let (again, next) = bed.asked(now);
    assert_ne!(next, request_id);
    assert!(again <= now + NEXT_QUESTION, "asks again after {} ms", again - now);
}

/// Rounds tell questions apart: an answer to another one is none.
#[test]
fn takes_no_answer_to_another_question() {
    let mut bed = Bed::new();
    let (now, request_id) = bed.asked(SETTLED);
    bed.refuse(now, 1, request_id + 1);
    bed.refuse(now, 3, request_id + 1);
    assert!(!stands(&bed.willing(now, 1, request_id + 1)));
    assert!(stands(&bed.willing(now, 1, request_id)));
}

/// Before its own grant is synced a vote is none: nobody was asked for it.
#[test]
fn takes_no_vote_of_others_before_its_own() {
    let mut bed = Bed::new();
    let (now, request_id) = bed.asked(SETTLED);
    bed.willing(now, 1, request_id);
    for vote in [request_id, request_id + 1] {
        let early = bed.hear(now, 1, MessageBody::VoteGranted { request_id: vote, token: FIRST });
        assert_eq!(early, []);
    }
    assert_eq!(bed.elector.held_lease(Duration::from_millis(now)), None);
    let stood = bed.at(now, Event::Persisted { batch: BatchId(1) });
    assert_eq!(stood.len(), 2, "one request for each of the others");
}

/// A process that was only granted the role is no holder yet: it may give up.
#[test]
fn names_who_acts_as_the_holder_until_that_gives_up() {
    let mut bed = Bed::new();
    bed.hear(SETTLED, 1, MessageBody::RequestVote { request_id: 9, token: FIRST });
    bed.at(SETTLED, Event::Persisted { batch: BatchId(1) });
    assert_eq!(bed.elector.known_holder(), None);
    bed.hear(SETTLED + 1, 1, MessageBody::ReleaseLease { token: FIRST, was_holder: false });
    assert_eq!(bed.elector.known_holder(), None);
    bed.hear(SETTLED + 2, 3, MessageBody::RenewLease { request_id: 9, token: FIRST });
    assert_eq!(bed.elector.known_holder(), holder(3));
    // A late renewal of one that has given up, and the release of one that is not the holder, change nothing.
    bed.hear(SETTLED + 3, 1, MessageBody::ReleaseLease { token: FIRST, was_holder: true });
    assert_eq!(bed.elector.known_holder(), holder(3));
    bed.hear(SETTLED + 4, 3, MessageBody::ReleaseLease { token: FIRST, was_holder: true });
    assert_eq!(bed.elector.known_holder(), None);
    bed.hear(SETTLED + 5, 3, MessageBody::RenewLease { request_id: 9, token: FIRST });
    assert_eq!(bed.elector.known_holder(), None);
}

/// Voters that voted for another hear of the winner at once, not with the first renewal of its rhythm.
#[test]
fn renews_as_soon_as_it_has_won() {
    let mut bed = Bed::new();
    let (now, request_id) = bed.asked(SETTLED);
    bed.willing(now, 1, request_id);
    let stood = bed.at(now, Event::Persisted { batch: BatchId(1) });
    let elect = stood.iter().find_map(|action| match action {
        Action::Send {
            message: Message { body: MessageBody::RequestVote { request_id, token }, .. },
            ..
        } => Some((*request_id, *token)),
        _ => None,
    });
    let (request_id, token) = elect.expect("a request");
    let won = bed.hear(now + 1, 1, MessageBody::VoteGranted { request_id, token });
    let is_renewal = |action: &&Action| {
        matches!(action, Action::Send { message: Message { body: MessageBody::RenewLease { .. }, .. }, .. })
    };
    assert_eq!(won.iter().filter(is_renewal).count(), 2, "{won:?}");
}

/// The wait after a campaign that took votes is drawn from twice the time, so that two that take each other's votes part.
#[test]
fn rests_longer_after_a_campaign_that_took_votes() {
    let next = |seed| {
        let mut bed = Bed::with_seed(seed);
        let (now, request_id) = bed.asked(SETTLED);
        bed.willing(now, 1, request_id);
        bed.at(now, Event::Persisted { batch: BatchId(1) });
        let over = now + CAMPAIGN;
        bed.at(over, Event::Tick);
        bed.asked(over + 1).0 - over
    };
    let longest = (0..100).map(next).max();
    assert!(longest.is_some_and(|longest| (130..=63 + NEXT_QUESTION).contains(&longest)), "{longest:?}");
}

/// Between two renewals it sends nothing, and once it has lost the role it names nobody.
#[test]
fn renews_in_its_rhythm_and_forgets_itself_as_holder() {
    let mut bed = Bed::new();
    let (now, request_id) = bed.asked(SETTLED);
    bed.willing(now, 1, request_id);
    bed.at(now, Event::Persisted { batch: BatchId(1) });
    bed.hear(now, 1, MessageBody::VoteGranted { request_id: request_id + 1, token: FIRST });
    assert_eq!(bed.elector.known_holder(), holder(2));
    assert_eq!(bed.at(now + 249, Event::Tick), []);
    assert_eq!(bed.at(now + 250, Event::Tick).len(), 2);
    assert_eq!(bed.at(now + 499, Event::Tick), []);
    assert_eq!(bed.at(now + 500, Event::Tick).len(), 2);
    bed.at(now + 501, Event::StepDown { backoff: Duration::from_secs(1) });
    assert_eq!(bed.elector.known_holder(), None);
}
