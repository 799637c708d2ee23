//! Tests of one elector as a voter: the guarantees and duration of a granted lease, and the time at which a
//! vote is sent.

use crate::harness::{
    FIRST_BATCH, FIRST_ELECTION, Harness, REQUEST_ID, SEED, VIEW, address, is_denied, sent_bodies,
};
use lugwharf_election::{Action, Event, FencingToken, LeaseHolder, MessageBody, Role};
use rstest::rstest;
use std::time::Duration;

/// The first token of view 1.
const FIRST_TOKEN: FencingToken = FencingToken((1 << 24) + 1);
/// The second token of view 1.
const SECOND_TOKEN: FencingToken = FencingToken((1 << 24) + 2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start(records: &[Vec<u8>]) -> Harness {
    Harness::start(Role::StagePlanner, SEED, records)
}

/// Grants the first process a lease under `FIRST_TOKEN`. Returns the persisted records.
fn grant_to_first(harness: &mut Harness, now: u64) -> Vec<Vec<u8>> {
    let actions =
        harness.receive(now, 1, MessageBody::RequestVote { request_id: REQUEST_ID, token: FIRST_TOKEN });
    let [Action::Persist { batch: FIRST_BATCH, records }] = actions.as_slice() else {
        panic!("expected one Persist action: {actions:?}")
    };
    let records = records.clone();
    let voted = harness.handle(now, Event::Persisted { batch: FIRST_BATCH });
    assert_eq!(
        sent_bodies(&voted),
        [MessageBody::VoteGranted { request_id: REQUEST_ID, token: FIRST_TOKEN }]
    );
    records
}

/// Returns whether the elector persists a vote for the third process under `SECOND_TOKEN`.
fn votes_for_third(harness: &mut Harness, now: u64) -> bool {
    harness.persists_vote_for(now, VIEW, 3, SECOND_TOKEN)
}

#[rstest]
#[case::before_expiry(3_019, false)]
#[case::after_expiry_on_every_clock(3_020, true)]
fn granted_lease_lasts_its_duration_and_the_drift(#[case] now: u64, #[case] granted: bool) {
    let mut harness = start(&[]);
    grant_to_first(&mut harness, 2_000);
    assert_eq!(votes_for_third(&mut harness, now), granted);
}

#[test]
fn vote_is_sent_only_after_the_grant_is_synced() {
    let mut harness = start(&[]);
    let actions =
        harness.receive(2_000, 1, MessageBody::RequestVote { request_id: REQUEST_ID, token: FIRST_TOKEN });
    assert_eq!(sent_bodies(&actions), []);
    assert!(is_denied(&harness.receive(
        2_001,
        3,
        MessageBody::RequestVote { request_id: REQUEST_ID, token: SECOND_TOKEN }
    )));
    assert!(is_denied(&harness.handle(2_002, Event::PersistFailed { batch: FIRST_BATCH })));
    assert_eq!(harness.handle(2_003, Event::Persisted { batch: FIRST_BATCH }), []);
    assert!(is_denied(&harness.receive(
        2_004,
        3,
        MessageBody::RequestVote { request_id: REQUEST_ID, token: FIRST_TOKEN }
    )));
}

#[rstest]
#[case::within(1_019, false)]
#[case::after(1_020, true)]
fn nobody_is_elected_for_a_lease_after_a_start(#[case] now: u64, #[case] granted: bool) {
    let mut harness = start(&[]);
    assert_eq!(votes_for_third(&mut harness, now), granted);
}

#[test]
fn last_granted_lease_restarts_after_a_restart_of_the_voter() {
    let records = grant_to_first(&mut start(&[]), 2_000);
    let mut harness = start(&records);
    assert_eq!(harness.elector.snapshot_records(), records);
    let renewed =
        harness.receive(10, 1, MessageBody::RenewLease { request_id: REQUEST_ID, token: FIRST_TOKEN });
    assert_eq!(
        sent_bodies(&renewed),
        [MessageBody::VoteGranted { request_id: REQUEST_ID, token: FIRST_TOKEN }]
    );
    assert!(!votes_for_third(&mut harness, 1_029));
    assert!(votes_for_third(&mut harness, 1_030));
}

#[test]
fn nobody_is_renewed_for_a_lease_after_a_start_without_records() {
    let mut harness = start(&[]);
    assert!(is_denied(&harness.receive(
        1_019,
        1,
        MessageBody::RenewLease { request_id: REQUEST_ID, token: FIRST_TOKEN }
    )));
    let actions =
        harness.receive(1_020, 1, MessageBody::RenewLease { request_id: REQUEST_ID, token: FIRST_TOKEN });
    assert!(matches!(actions.as_slice(), [Action::Persist { .. }]));
}

#[rstest]
#[case::by_its_acceptor(true)]
#[case::by_a_message_of_a_later_view(false)]
fn nothing_is_granted_in_a_sealed_view(#[case] by_event: bool) {
    let mut harness = start(&[]);
    grant_to_first(&mut harness, 2_000);
    if by_event {
        harness.handle(2_100, Event::ViewSealed { number: VIEW });
    } else {
        harness.receive_in(2_100, VIEW + 1, 3, MessageBody::PreVote { request_id: REQUEST_ID });
    }
    assert!(is_denied(&harness.receive(
        2_200,
        1,
        MessageBody::RenewLease { request_id: REQUEST_ID, token: FIRST_TOKEN }
    )));
    assert!(!votes_for_third(&mut harness, 9_000));
}

#[test]
fn vote_persisted_after_the_seal_is_not_sent() {
    let mut harness = start(&[]);
    harness.receive(2_000, 1, MessageBody::RequestVote { request_id: REQUEST_ID, token: FIRST_TOKEN });
    harness.handle(2_001, Event::ViewSealed { number: VIEW });
    assert_eq!(sent_bodies(&harness.handle(2_002, Event::Persisted { batch: FIRST_BATCH })), []);
}

#[test]
fn holder_is_renewed_but_nobody_elected_for_a_lease_after_a_view_change() {
    let mut harness = start(&[]);
    harness.install_view(5_000, VIEW + 1, true);
    let third = FencingToken((2 << 24) + 1);
    let elect = MessageBody::RequestVote { request_id: REQUEST_ID, token: third };
    assert!(is_denied(&harness.receive_in(5_500, VIEW + 1, 3, elect)));
    let renew = MessageBody::RenewLease { request_id: REQUEST_ID, token: FIRST_TOKEN };
    assert!(matches!(harness.receive_in(5_600, VIEW + 1, 1, renew).as_slice(), [Action::Persist { .. }]));
    harness.handle(5_610, Event::Persisted { batch: FIRST_BATCH });
    assert!(is_denied(&harness.receive_in(6_100, VIEW + 1, 3, elect)));
    assert!(matches!(harness.receive_in(6_631, VIEW + 1, 3, elect).as_slice(), [Action::Persist { .. }]));
}

#[test]
fn process_with_a_lost_disk_does_not_vote() {
    let mut harness = Harness::start_without_view(Role::StagePlanner, SEED, &[]);
    harness.install_view(0, VIEW, false);
    assert_eq!(
        harness.receive(5_000, 1, MessageBody::RequestVote { request_id: REQUEST_ID, token: FIRST_TOKEN }),
        []
    );
    assert_eq!(harness.handle(9_000, Event::Tick), []);
}

#[test]
fn released_lease_is_not_renewed() {
    let mut harness = start(&[]);
    grant_to_first(&mut harness, 2_000);
    harness.receive(2_100, 1, MessageBody::ReleaseLease { token: FIRST_TOKEN, was_holder: true });
    assert!(is_denied(&harness.receive(
        2_101,
        1,
        MessageBody::RenewLease { request_id: REQUEST_ID, token: FIRST_TOKEN }
    )));
    assert!(votes_for_third(&mut harness, 2_102));
}

/// The lease starts before the request is sent, and is shortened by the clock drift.
#[test]
fn lease_counts_from_before_the_votes_were_requested() {
    let mut harness = start(&[]);
    let (now, request_id) = harness.wait_for_pre_vote(FIRST_ELECTION);
    let requested_at = now + 20;
    let own_vote = harness.receive(
        requested_at,
        1,
        MessageBody::PreVoteGranted { request_id, highest_token: FIRST_TOKEN },
    );
    assert!(matches!(own_vote.as_slice(), [Action::Persist { batch: FIRST_BATCH, .. }]), "{own_vote:?}");
    let requested = harness.handle(requested_at + 8, Event::Persisted { batch: FIRST_BATCH });
    let Some(MessageBody::RequestVote { request_id, token }) = sent_bodies(&requested).first().copied()
    else {
        panic!("no vote request was sent: {requested:?}")
    };
    assert_eq!(token, SECOND_TOKEN);
    assert_eq!(harness.elector.held_lease(ms(requested_at + 8)), None);
    let acquired = harness.receive(requested_at + 90, 1, MessageBody::VoteGranted { request_id, token });
    assert!(acquired.contains(&Action::LeaseAcquired { token }));
    let until = requested_at + 980;
    assert_eq!(harness.elector.held_lease(ms(until - 1)).map(|lease| lease.expires_at), Some(ms(until)));
    // The process was paused in the meantime. It checks its clock before any other action.
    assert_eq!(harness.elector.held_lease(ms(until)), None);
    assert!(
        harness
            .receive(until, 1, MessageBody::VoteGranted { request_id, token })
            .contains(&Action::LeaseLost)
    );
}

#[rstest]
#[case::short(&[1, 2, 3])]
#[case::empty(&[])]
#[case::other_cbor_type(b"\x63abc")]
fn records_of_other_components_are_skipped(#[case] record: &[u8]) {
    let mut records = grant_to_first(&mut start(&[]), 2_000);
    records.push(record.to_vec());
    let harness = start(&records);
    assert_eq!(harness.elector.snapshot_records(), records[..1]);
}

#[test]
fn holder_that_steps_down_releases_its_lease_and_votes_for_another() {
    let mut harness = start(&[]);
    let (now, token) = harness.acquire_lease();
    let stepped_down = harness.handle(now + 100, Event::StepDown { backoff: ms(2_000) });
    assert!(stepped_down.contains(&Action::LeaseLost), "{stepped_down:?}");
    let released = sent_bodies(&stepped_down);
    assert_eq!(released, [MessageBody::ReleaseLease { token, was_holder: true }; 2]);
    assert_eq!(harness.elector.held_lease(ms(now + 100)), None);
    let granted = harness.receive(now + 101, 3, MessageBody::PreVote { request_id: REQUEST_ID });
    assert_eq!(
        sent_bodies(&granted),
        [MessageBody::PreVoteGranted { request_id: REQUEST_ID, highest_token: token }]
    );
}

/// Returns whether the process sends a pre-vote at any time in `from..to`.
fn campaigns_within(harness: &mut Harness, from: u64, to: u64) -> bool {
    let mut times = (from..to).step_by(5);
    times.any(|now| {
        let actions = harness.handle(now, Event::Tick);
        sent_bodies(&actions).iter().any(|body| matches!(body, MessageBody::PreVote { .. }))
    })
}

#[test]
fn process_that_stepped_down_campaigns_again_after_its_backoff() {
    let mut harness = start(&[]);
    let (now, _) = harness.acquire_lease();
    harness.handle(now + 100, Event::StepDown { backoff: ms(2_000) });
    assert!(!campaigns_within(&mut harness, now + 105, now + 2_100));
    assert!(campaigns_within(&mut harness, now + 2_100, now + 2_200));
}

#[test]
fn waiting_campaign_is_postponed_by_a_step_down() {
    let mut harness = start(&[]);
    harness.handle(1_020, Event::Tick);
    harness.handle(1_021, Event::StepDown { backoff: ms(2_000) });
    assert!(!campaigns_within(&mut harness, 1_025, 3_021));
    assert!(campaigns_within(&mut harness, 3_021, 3_200));
}

#[test]
fn shorter_backoff_does_not_end_a_longer_one() {
    let mut harness = start(&[]);
    harness.handle(1_020, Event::StepDown { backoff: ms(2_000) });
    harness.handle(1_100, Event::StepDown { backoff: ms(10) });
    assert!(!campaigns_within(&mut harness, 1_105, 3_020));
}

/// Two concurrent candidates use the same token, since both know the same highest token.
#[test]
fn losing_candidate_votes_for_the_winner_of_its_token() {
    let mut harness = start(&[]);
    let (now, request_id) = harness.wait_for_pre_vote(FIRST_ELECTION);
    harness.receive(
        now,
        1,
        MessageBody::PreVoteGranted { request_id, highest_token: FencingToken::default() },
    );
    let requested = harness.handle(now, Event::Persisted { batch: FIRST_BATCH });
    let Some(MessageBody::RequestVote { request_id, token }) = sent_bodies(&requested).first().copied()
    else {
        panic!("no vote request was sent: {requested:?}")
    };
    // The third process has won the election under this token with the vote of the first process.
    for from in [1, 3] {
        harness.receive(now + 1, from, MessageBody::VoteDenied { request_id, highest_token: token });
    }
    let actions = harness.receive(now + 250, 3, MessageBody::RenewLease { request_id: REQUEST_ID, token });
    let [Action::Persist { batch, .. }] = actions.as_slice() else {
        panic!("no vote for the holder: {actions:?}")
    };
    let voted = harness.handle(now + 251, Event::Persisted { batch: *batch });
    assert_eq!(sent_bodies(&voted), [MessageBody::VoteGranted { request_id: REQUEST_ID, token }]);
    assert_eq!(harness.elector.known_holder(), Some(LeaseHolder { address: address(3), token }));
}

#[test]
fn voter_of_a_losing_candidate_votes_for_the_winner_of_the_same_token() {
    let mut harness = start(&[]);
    grant_to_first(&mut harness, 2_000);
    // As long as its vote may still count for the first process, the voter votes for no other process.
    let renew = MessageBody::RenewLease { request_id: REQUEST_ID, token: FIRST_TOKEN };
    assert!(is_denied(&harness.receive(2_050, 3, renew)));
    harness.receive(2_100, 1, MessageBody::ReleaseLease { token: FIRST_TOKEN, was_holder: false });
    let actions = harness.receive(2_101, 3, renew);
    let [Action::Persist { batch, .. }] = actions.as_slice() else {
        panic!("no vote for the holder: {actions:?}")
    };
    let voted = harness.handle(2_102, Event::Persisted { batch: *batch });
    assert_eq!(
        sent_bodies(&voted),
        [MessageBody::VoteGranted { request_id: REQUEST_ID, token: FIRST_TOKEN }]
    );
    // The process that released the token cannot reclaim it. Two processes claiming the same token violate an
    // invariant, so panics are suppressed.
    let _suppression = lugwharf_invariants::suppress_panics();
    assert!(is_denied(&harness.receive(2_103, 1, renew)));
}
