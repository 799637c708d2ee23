//! Campaigns of one elector: the receivers of pre-votes, resends, and the end of a campaign.

use crate::harness::{FIRST_BATCH, FIRST_ELECTION, Harness, SEED, address, persists};
use lugwharf_election::{Action, Event, FencingToken, LeaseHolder, Message, MessageBody, Role};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

/// The first token of view 1.
const FIRST_TOKEN: FencingToken = FencingToken((1 << 24) + 1);
/// A pending pre-vote is resent after 1/32 of the lease duration of 1 s, in ms rounded up.
const RESEND_AFTER: u64 = 32;
/// A campaign times out after 1/4 of the lease duration, in ms.
const CAMPAIGN_TIMEOUT: u64 = 250;
/// The maximum time until the next pre-vote after a failed one, in ms: 1/16 of the lease duration twice, and
/// a tick.
const MAX_NEXT_PRE_VOTE_DELAY: u64 = 63 + 63 + 5;

fn start() -> Harness {
    Harness::start(Role::ListWatcher, SEED, &[])
}

fn holder(host: u8) -> Option<LeaseHolder> {
    Some(LeaseHolder { address: address(host), token: FIRST_TOKEN })
}

/// Returns the receivers and request ids of all pre-votes in `actions`.
fn pre_votes(actions: &[Action]) -> Vec<(SocketAddr, u64)> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { to, message: Message { body: MessageBody::PreVote { request_id }, .. } } => {
            Some((*to, *request_id))
        }
        _ => None,
    });
    sent.collect()
}

#[test]
fn pre_vote_is_resent_to_members_that_have_not_granted_it() {
    let mut harness = start();
    let (now, request_id) = harness.wait_for_pre_vote(FIRST_ELECTION);
    harness.receive_denial(now + 1, 1, request_id);
    assert_eq!(pre_votes(&harness.handle(now + RESEND_AFTER - 1, Event::Tick)), []);
    let resent = harness.handle(now + RESEND_AFTER, Event::Tick);
    assert_eq!(pre_votes(&resent), [(address(1), request_id), (address(3), request_id)]);
    assert_eq!(pre_votes(&harness.handle(now + RESEND_AFTER + 1, Event::Tick)), []);
    assert!(
        persists(&harness.receive_pre_vote_grant(now + RESEND_AFTER + 2, 1, request_id)),
        "a grant after a denial counts"
    );
}

/// Responses to a pre-vote that was resent just before the campaign's timeout still count.
#[rstest]
#[case::in_time(CAMPAIGN_TIMEOUT + 20, true)]
#[case::too_late(CAMPAIGN_TIMEOUT + 60, false)]
fn campaign_waits_for_the_responses_to_its_last_pre_vote(#[case] response_delay: u64, #[case] counts: bool) {
    let mut harness = start();
    let (now, request_id) = harness.wait_for_pre_vote(FIRST_ELECTION);
    harness.handle(now + CAMPAIGN_TIMEOUT - 5, Event::Tick);
    assert_eq!(pre_votes(&harness.handle(now + CAMPAIGN_TIMEOUT + 1, Event::Tick)), []);
    assert_eq!(persists(&harness.receive_pre_vote_grant(now + response_delay, 1, request_id)), counts);
}

#[test]
fn pre_vote_is_not_resent_after_voting_for_another_candidate() {
    let mut harness = start();
    let (now, _) = harness.wait_for_pre_vote(FIRST_ELECTION);
    assert!(persists(&harness.receive(
        now + 1,
        1,
        MessageBody::RequestVote { request_id: 9, token: FIRST_TOKEN }
    )));
    assert_eq!(pre_votes(&harness.handle(now + RESEND_AFTER, Event::Tick)), []);
}

#[test]
fn campaign_ends_at_once_when_a_majority_denies_it() {
    let mut harness = start();
    let (now, request_id) = harness.wait_for_pre_vote(FIRST_ELECTION);
    harness.receive_denial(now, 1, request_id);
    harness.receive_denial(now, 3, request_id);
    assert!(!persists(&harness.receive_pre_vote_grant(now, 1, request_id)), "the campaign is over");
    let (next_at, next_id) = harness.wait_for_pre_vote(now);
    assert_ne!(next_id, request_id);
    assert!(next_at <= now + MAX_NEXT_PRE_VOTE_DELAY, "the next pre-vote is sent after {} ms", next_at - now);
}

/// Request ids distinguish campaigns.
#[test]
fn response_to_another_request_is_ignored() {
    let mut harness = start();
    let (now, request_id) = harness.wait_for_pre_vote(FIRST_ELECTION);
    harness.receive_denial(now, 1, request_id + 1);
    harness.receive_denial(now, 3, request_id + 1);
    assert!(!persists(&harness.receive_pre_vote_grant(now, 1, request_id + 1)));
    assert!(persists(&harness.receive_pre_vote_grant(now, 1, request_id)));
}

/// The candidate requests no votes before its own vote is synced, so an earlier vote must be ignored.
#[test]
fn vote_is_ignored_before_own_vote_is_persisted() {
    let mut harness = start();
    let (now, request_id) = harness.wait_for_pre_vote(FIRST_ELECTION);
    harness.receive_pre_vote_grant(now, 1, request_id);
    for response_id in [request_id, request_id + 1] {
        let early =
            harness.receive(now, 1, MessageBody::VoteGranted { request_id: response_id, token: FIRST_TOKEN });
        assert_eq!(early, []);
    }
    assert_eq!(harness.elector.held_lease(Duration::from_millis(now)), None);
    let requested = harness.handle(now, Event::Persisted { batch: FIRST_BATCH });
    assert_eq!(requested.len(), 2, "one request to each of the other members");
}

/// A process that was only granted votes is not yet a holder, since its campaign may fail.
#[test]
fn known_holder_is_the_process_that_renews_until_it_releases() {
    let mut harness = start();
    harness.receive(FIRST_ELECTION, 1, MessageBody::RequestVote { request_id: 9, token: FIRST_TOKEN });
    harness.handle(FIRST_ELECTION, Event::Persisted { batch: FIRST_BATCH });
    assert_eq!(harness.elector.known_holder(), None);
    harness.receive(
        FIRST_ELECTION + 1,
        1,
        MessageBody::ReleaseLease { token: FIRST_TOKEN, was_holder: false },
    );
    assert_eq!(harness.elector.known_holder(), None);
    harness.receive(FIRST_ELECTION + 2, 3, MessageBody::RenewLease { request_id: 9, token: FIRST_TOKEN });
    assert_eq!(harness.elector.known_holder(), holder(3));
    // A release by a process that is not the holder has no effect.
    harness.receive(
        FIRST_ELECTION + 3,
        1,
        MessageBody::ReleaseLease { token: FIRST_TOKEN, was_holder: true },
    );
    assert_eq!(harness.elector.known_holder(), holder(3));
    harness.receive(
        FIRST_ELECTION + 4,
        3,
        MessageBody::ReleaseLease { token: FIRST_TOKEN, was_holder: true },
    );
    assert_eq!(harness.elector.known_holder(), None);
    harness.receive(FIRST_ELECTION + 5, 3, MessageBody::RenewLease { request_id: 9, token: FIRST_TOKEN });
    assert_eq!(harness.elector.known_holder(), None);
}

/// Voters that voted for another candidate learn about the winner immediately, not after the first renewal
/// interval.
#[test]
fn lease_is_renewed_as_soon_as_it_is_acquired() {
    let mut harness = start();
    let (now, request_id) = harness.wait_for_pre_vote(FIRST_ELECTION);
    harness.receive_pre_vote_grant(now, 1, request_id);
    let requested = harness.handle(now, Event::Persisted { batch: FIRST_BATCH });
    let request = requested.iter().find_map(|action| match action {
        Action::Send {
            message: Message { body: MessageBody::RequestVote { request_id, token }, .. },
            ..
        } => Some((*request_id, *token)),
        _ => None,
    });
    let (request_id, token) = request.expect("no vote request was sent");
    let won = harness.receive(now + 1, 1, MessageBody::VoteGranted { request_id, token });
    let is_renewal = |action: &&Action| {
        matches!(action, Action::Send { message: Message { body: MessageBody::RenewLease { .. }, .. }, .. })
    };
    assert_eq!(won.iter().filter(is_renewal).count(), 2, "{won:?}");
}

/// After a campaign that requested votes the maximum backoff doubles, so that two processes that split the
/// vote do not campaign at the same time again.
#[test]
fn backoff_doubles_after_a_campaign_that_took_votes() {
    let next_pre_vote_delay = |seed| {
        let mut harness = Harness::start(Role::ListWatcher, seed, &[]);
        let (now, request_id) = harness.wait_for_pre_vote(FIRST_ELECTION);
        harness.receive_pre_vote_grant(now, 1, request_id);
        harness.handle(now, Event::Persisted { batch: FIRST_BATCH });
        let ended_at = now + CAMPAIGN_TIMEOUT;
        harness.handle(ended_at, Event::Tick);
        harness.wait_for_pre_vote(ended_at + 1).0 - ended_at
    };
    let longest = (0..100).map(next_pre_vote_delay).max();
    assert!(
        longest.is_some_and(|longest| (130..=63 + MAX_NEXT_PRE_VOTE_DELAY).contains(&longest)),
        "{longest:?}"
    );
}

/// Nothing is sent between two renewals, and no holder is known after the role is lost.
#[test]
fn lease_is_renewed_at_the_interval_and_forgotten_after_a_step_down() {
    let mut harness = start();
    let (now, request_id) = harness.wait_for_pre_vote(FIRST_ELECTION);
    harness.receive_pre_vote_grant(now, 1, request_id);
    harness.handle(now, Event::Persisted { batch: FIRST_BATCH });
    harness.receive(now, 1, MessageBody::VoteGranted { request_id: request_id + 1, token: FIRST_TOKEN });
    assert_eq!(harness.elector.known_holder(), holder(2));
    assert_eq!(harness.handle(now + 249, Event::Tick), []);
    assert_eq!(harness.handle(now + 250, Event::Tick).len(), 2);
    assert_eq!(harness.handle(now + 499, Event::Tick), []);
    assert_eq!(harness.handle(now + 500, Event::Tick).len(), 2);
    harness.handle(now + 501, Event::StepDown { backoff: Duration::from_secs(1) });
    assert_eq!(harness.elector.known_holder(), None);
}
