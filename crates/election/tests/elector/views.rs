//! Tests of one elector across views, with processes that are not members, and with messages of other roles.

use crate::harness::{
    FIRST_BATCH, FIRST_ELECTION, Harness, REQUEST_ID, SEED, address, is_denied, persists, sent_bodies,
};
use lugwharf_election::{Action, BatchId, Event, FencingToken, Message, MessageBody, Role};
use rstest::rstest;

/// A process that is not a member of any view.
const NON_MEMBER: u8 = 9;

fn token(view: u64, number: u64) -> FencingToken {
    FencingToken((view << 24) + number)
}

fn start() -> Harness {
    start_from(&[])
}

/// Starts an elector from the records of an earlier incarnation.
fn start_from(records: &[Vec<u8>]) -> Harness {
    Harness::start(Role::ListWatcher, SEED, records)
}

/// Only a process that held the role and releases it in the new view was the last holder of the previous
/// view.
#[rstest]
#[case::holder_in_the_new_view(2, true, true)]
#[case::failed_candidate(2, false, false)]
#[case::in_the_previous_view(1, true, false)]
fn next_holder_is_elected_after_a_view_change_once_the_last_one_released(
    #[case] view: u64, #[case] held: bool, #[case] granted: bool,
) {
    let mut harness = start();
    harness.install_view(5_000, 2, true);
    harness.receive_in(5_001, view, 1, MessageBody::ReleaseLease { token: token(1, 1), was_holder: held });
    assert_eq!(harness.persists_vote_for(5_002, 2, 3, token(2, 1)), granted);
}

#[test]
fn release_of_a_token_of_a_later_view_allows_no_election() {
    let mut harness = start();
    harness.install_view(5_000, 2, true);
    harness.receive_in(5_001, 2, 1, MessageBody::ReleaseLease { token: token(3, 1), was_holder: true });
    assert!(!harness.persists_vote_for(5_002, 2, 3, token(2, 1)));
}

/// A later view elects under tokens above all tokens of this view, so this view must not use tokens of a
/// later view.
#[rstest]
#[case::of_current_view(1, true)]
#[case::of_next_view(2, false)]
fn token_is_granted_only_in_its_own_view(#[case] view: u64, #[case] granted: bool) {
    assert_eq!(start().persists_vote_for(FIRST_ELECTION, 1, 3, token(view, 1)), granted);
}

#[rstest]
#[case::of_current_view(1, true)]
#[case::of_next_view(2, false)]
fn token_of_a_later_view_is_not_renewed(#[case] view: u64, #[case] granted: bool) {
    let mut harness = start();
    let renew = MessageBody::RenewLease { request_id: REQUEST_ID, token: token(view, 1) };
    let response = harness.receive_in(FIRST_ELECTION, 1, 1, renew);
    assert_eq!(persists(&response), granted);
}

#[test]
fn token_is_granted_once() {
    let mut harness = start();
    assert!(harness.persists_vote_for(FIRST_ELECTION, 1, 1, token(1, 5)));
    harness.handle(FIRST_ELECTION, Event::Persisted { batch: FIRST_BATCH });
    harness.receive_in(
        FIRST_ELECTION,
        1,
        1,
        MessageBody::ReleaseLease { token: token(1, 5), was_holder: true },
    );
    assert!(!harness.persists_vote_for(FIRST_ELECTION, 1, 3, token(1, 5)));
    assert!(!harness.persists_vote_for(FIRST_ELECTION, 1, 3, token(1, 4)));
    assert!(harness.persists_vote_for(FIRST_ELECTION, 1, 3, token(1, 6)));
}

#[test]
fn token_below_the_highest_granted_is_not_renewed() {
    let mut harness = start();
    assert!(harness.persists_vote_for(FIRST_ELECTION, 1, 1, token(1, 5)));
    harness.handle(FIRST_ELECTION, Event::Persisted { batch: FIRST_BATCH });
    let after_expiry = FIRST_ELECTION + 2_000;
    for (at, earlier) in [(FIRST_ELECTION + 1, 4), (FIRST_ELECTION + 1, 5), (after_expiry, 4)] {
        let body = MessageBody::RenewLease { request_id: REQUEST_ID, token: token(1, earlier) };
        let response = sent_bodies(&harness.receive_in(at, 1, 3, body));
        assert!(matches!(response.as_slice(), [MessageBody::VoteDenied { .. }]), "{earlier}: {response:?}");
    }
    // The lease of the first process has expired, and the third process, which renews the same token, has won
    // the election.
    let renew = MessageBody::RenewLease { request_id: REQUEST_ID, token: token(1, 5) };
    let response = harness.receive_in(after_expiry, 1, 3, renew);
    assert!(matches!(response.as_slice(), [Action::Persist { .. }]), "{response:?}");
    harness.handle(after_expiry + 1, Event::Persisted { batch: BatchId(2) });
    // From now on the token belongs to the third process alone. A claim by a second process violates an
    // invariant, so panics are suppressed.
    let _suppression = lugwharf_invariants::suppress_panics();
    let first = sent_bodies(&harness.receive_in(after_expiry + 2, 1, 1, renew));
    assert!(matches!(first.as_slice(), [MessageBody::VoteDenied { .. }]), "{first:?}");
    assert!(!harness.persists_vote_for(after_expiry + 2, 1, 1, token(1, 5)));
}

#[test]
fn process_outside_the_view_gets_no_vote_and_its_vote_is_ignored() {
    let mut harness = start();
    assert!(!harness.persists_vote_for(FIRST_ELECTION, 1, NON_MEMBER, token(1, 1)));
    let (now, request_id, token) = harness.wait_for_vote_request();
    harness.receive_in(now, 1, NON_MEMBER, MessageBody::VoteGranted { request_id, token });
    assert!(!harness.is_holder(now));
    harness.receive_in(now, 1, 1, MessageBody::VoteGranted { request_id, token });
    assert!(harness.is_holder(now));
}

#[test]
fn vote_of_another_view_is_ignored() {
    let mut harness = start();
    let (now, request_id, token) = harness.wait_for_vote_request();
    harness.receive_in(now, 0, 1, MessageBody::VoteGranted { request_id, token });
    assert!(!harness.is_holder(now));
}

#[test]
fn message_about_another_role_is_ignored() {
    let mut harness = start();
    let body = MessageBody::RequestVote { request_id: REQUEST_ID, token: token(1, 1) };
    let message = Message { role: Role::StagePlanner, view: 1, body };
    assert_eq!(harness.handle(FIRST_ELECTION, Event::Message { from: address(1), message }), []);
}

#[test]
fn earlier_view_is_not_installed_again() {
    let mut harness = start();
    harness.install_view(FIRST_ELECTION, 2, true);
    harness.install_view(FIRST_ELECTION + 1, 1, true);
    assert!(!harness.persists_vote_for(FIRST_ELECTION + 2_000, 1, 3, token(1, 1)));
    assert!(harness.persists_vote_for(FIRST_ELECTION + 2_000, 2, 3, token(2, 1)));
}

#[rstest]
#[case::as_a_voter(true)]
#[case::without_a_vote(false)]
fn holder_renews_immediately_in_the_next_view_or_releases(#[case] voter: bool) {
    let mut harness = start();
    let (now, token) = harness.acquire_lease();
    let entered = harness.install_view(now + 10, 2, voter);
    assert_eq!(harness.is_holder(now + 10), voter);
    assert_eq!(entered.contains(&Action::LeaseLost), !voter);
    let sent = sent_bodies(&entered);
    let as_expected = sent.iter().filter(|body| match body {
        MessageBody::RenewLease { token: renewed, .. } => voter && *renewed == token,
        MessageBody::ReleaseLease { token: released, was_holder: held } => {
            !voter && *released == token && *held
        }
        _ => false,
    });
    assert_eq!(as_expected.count(), 2, "{sent:?}");
}

#[test]
fn campaign_ends_with_its_view() {
    let mut harness = start();
    let (now, request_id, token) = harness.wait_for_vote_request();
    harness.install_view(now + 10, 2, true);
    harness.receive_in(now + 11, 2, 1, MessageBody::VoteGranted { request_id, token });
    assert!(!harness.is_holder(now + 11));
}

/// A renewal without a majority does not extend the lease. A majority extends it, counted from before the
/// request.
#[test]
fn lease_is_extended_by_a_majority_only() {
    let mut harness = start();
    let (now, token) = harness.acquire_lease();
    let renewed = sent_bodies(&harness.handle(now + 250, Event::Tick));
    let Some(MessageBody::RenewLease { request_id, .. }) = renewed.first().copied() else {
        panic!("no renewal was sent: {renewed:?}")
    };
    assert!(!harness.is_holder(now + 980));
    harness.receive_in(now + 300, 1, 1, MessageBody::VoteGranted { request_id: request_id + 1, token });
    assert!(!harness.is_holder(now + 980));
    harness.receive_in(now + 300, 1, 1, MessageBody::VoteGranted { request_id, token });
    assert!(harness.is_holder(now + 250 + 979));
    assert!(!harness.is_holder(now + 250 + 980));
}

#[test]
fn sealed_view_gets_no_pre_vote_and_no_campaign() {
    let mut harness = start();
    harness.handle(FIRST_ELECTION, Event::ViewSealed { number: 1 });
    let response = harness.receive_in(FIRST_ELECTION, 1, 1, MessageBody::PreVote { request_id: REQUEST_ID });
    assert!(is_denied(&response), "{response:?}");
    for now in (FIRST_ELECTION..FIRST_ELECTION + 1_000).step_by(5) {
        assert_eq!(harness.handle(now, Event::Tick), []);
    }
}

/// A request that is repeated while its vote is being persisted is answered once, with the latest request id.
/// A request for another token, or of another process for the same token, is denied.
#[rstest]
#[case::same_request(1, 1, true)]
#[case::another_token_of_the_same_process(1, 2, false)]
#[case::the_same_token_of_another_process(3, 1, false)]
fn repeated_request_waits_only_for_the_write_of_its_own_grant(
    #[case] from: u8, #[case] number: u64, #[case] waits: bool,
) {
    let mut harness = start();
    assert!(harness.persists_vote_for(FIRST_ELECTION, 1, 1, token(1, 1)));
    let repeated = MessageBody::RequestVote { request_id: REQUEST_ID + 1, token: token(1, number) };
    assert_eq!(harness.receive_in(FIRST_ELECTION + 1, 1, from, repeated).is_empty(), waits);
    let request_id = if waits { REQUEST_ID + 1 } else { REQUEST_ID };
    let voted = sent_bodies(&harness.handle(FIRST_ELECTION + 2, Event::Persisted { batch: FIRST_BATCH }));
    assert_eq!(voted, [MessageBody::VoteGranted { request_id, token: token(1, 1) }]);
}

/// A lease that is released while its record is being written does not start, and the role stays available to
/// other processes.
#[rstest]
#[case::by_its_requester(1, 1, false)]
#[case::another_token(1, 2, true)]
#[case::another_process(3, 1, true)]
fn release_that_overtakes_the_write_ends_the_lease(
    #[case] from: u8, #[case] number: u64, #[case] voted: bool,
) {
    let mut harness = start();
    assert!(harness.persists_vote_for(FIRST_ELECTION, 1, 1, token(1, 1)));
    harness.receive_in(
        FIRST_ELECTION + 1,
        1,
        from,
        MessageBody::ReleaseLease { token: token(1, number), was_holder: false },
    );
    let response = sent_bodies(&harness.handle(FIRST_ELECTION + 2, Event::Persisted { batch: FIRST_BATCH }));
    assert_eq!(!response.is_empty(), voted);
    assert_eq!(harness.persists_vote_for(FIRST_ELECTION + 3, 1, 3, token(1, 9)), !voted);
}

/// After another candidate's campaign under a higher token has failed, the holder's lease remains valid until
/// it expires, under its token and for the holder only. An expired lease can be renewed, since the candidate
/// did not hold the role.
#[rstest]
#[case::the_holder(1, 1, 1_019, true)]
#[case::after_the_lease(1, 1, 1_020, true)]
#[case::another_process(3, 1, 500, false)]
#[case::another_token(1, 3, 500, false)]
fn failed_campaign_ends_no_granted_lease(
    #[case] from: u8, #[case] number: u64, #[case] later: u64, #[case] voted: bool,
) {
    let mut harness = start();
    assert!(harness.persists_vote_for(FIRST_ELECTION, 1, 1, token(1, 1)));
    harness.handle(FIRST_ELECTION, Event::Persisted { batch: FIRST_BATCH });
    harness.receive_in(
        FIRST_ELECTION + 1,
        1,
        3,
        MessageBody::ReleaseLease { token: token(1, 2), was_holder: false },
    );
    let renew = MessageBody::RenewLease { request_id: REQUEST_ID, token: token(1, number) };
    let response = sent_bodies(&harness.receive_in(FIRST_ELECTION + later, 1, from, renew));
    let is_vote = matches!(response.as_slice(), [MessageBody::VoteGranted { .. }]);
    assert_eq!(is_vote, voted, "{response:?}");
}

/// A later token that was held supersedes an earlier one once the earlier lease has expired. A token of a
/// failed campaign does not.
#[rstest]
#[case::released_by_its_holder(MessageBody::ReleaseLease { token: token(1, 2), was_holder: true }, false)]
#[case::renewed_by_its_holder(MessageBody::RenewLease { request_id: REQUEST_ID, token: token(1, 2) }, false)]
#[case::of_a_failed_campaign(MessageBody::ReleaseLease { token: token(1, 2), was_holder: false }, true)]
fn token_that_was_held_supersedes_earlier_ones(#[case] later: MessageBody, #[case] voted: bool) {
    let mut harness = start();
    assert!(harness.persists_vote_for(FIRST_ELECTION, 1, 1, token(1, 1)));
    harness.handle(FIRST_ELECTION, Event::Persisted { batch: FIRST_BATCH });
    harness.receive_in(FIRST_ELECTION + 1, 1, 3, later);
    let renew = MessageBody::RenewLease { request_id: REQUEST_ID, token: token(1, 1) };
    let response = sent_bodies(&harness.receive_in(FIRST_ELECTION + 2_000, 1, 1, renew));
    assert_eq!(matches!(response.as_slice(), [MessageBody::VoteGranted { .. }]), voted, "{response:?}");
}

/// A lease granted without a record, under a token below the highest one, also excludes other processes after
/// a restart.
#[test]
fn lease_below_the_highest_token_survives_a_restart() {
    let mut harness = start();
    // The persisted record is that of the higher token.
    assert!(harness.persists_vote_for(FIRST_ELECTION, 1, 3, token(1, 2)));
    let records = harness.elector.snapshot_records();
    harness.handle(FIRST_ELECTION, Event::Persisted { batch: FIRST_BATCH });
    harness.receive_in(
        FIRST_ELECTION + 1,
        1,
        3,
        MessageBody::ReleaseLease { token: token(1, 2), was_holder: false },
    );
    let renew = MessageBody::RenewLease { request_id: REQUEST_ID, token: token(1, 1) };
    let response = sent_bodies(&harness.receive_in(FIRST_ELECTION + 2, 1, 1, renew));
    assert_eq!(response, [MessageBody::VoteGranted { request_id: REQUEST_ID, token: token(1, 1) }]);
    assert!(!harness.persists_vote_for(FIRST_ELECTION + 3, 1, 3, token(1, 3)));
    // The voter restarts immediately, with the record of the higher token.
    let mut harness = start_from(&records);
    assert!(!harness.persists_vote_for(1_019, 1, 3, token(1, 3)));
    assert!(harness.persists_vote_for(1_021, 1, 3, token(1, 3)));
}

/// The holder's renewals were lost for longer than the lease, and no other process campaigned. The persisted
/// record is sufficient to renew the lease.
#[test]
fn last_holder_is_renewed_after_its_lease_expired() {
    let mut harness = start();
    assert!(harness.persists_vote_for(FIRST_ELECTION, 1, 1, token(1, 1)));
    harness.handle(FIRST_ELECTION, Event::Persisted { batch: FIRST_BATCH });
    let renew = MessageBody::RenewLease { request_id: REQUEST_ID, token: token(1, 1) };
    let response = sent_bodies(&harness.receive_in(FIRST_ELECTION + 2_000, 1, 1, renew));
    assert_eq!(response, [MessageBody::VoteGranted { request_id: REQUEST_ID, token: token(1, 1) }]);
    // The lease is valid again.
    assert!(!harness.persists_vote_for(FIRST_ELECTION + 3_019, 1, 3, token(1, 2)));
    assert!(harness.persists_vote_for(FIRST_ELECTION + 3_020, 1, 3, token(1, 2)));
}

/// The result of one write must not be mistaken for that of another.
#[test]
fn no_two_writes_share_a_batch_id() {
    let mut harness = start();
    assert!(harness.persists_vote_for(FIRST_ELECTION, 1, 1, token(1, 1)));
    harness.handle(FIRST_ELECTION, Event::PersistFailed { batch: FIRST_BATCH });
    assert!(harness.persists_vote_for(FIRST_ELECTION + 1, 1, 3, token(1, 2)));
    assert_eq!(harness.handle(FIRST_ELECTION + 2, Event::Persisted { batch: FIRST_BATCH }), []);
    let voted = sent_bodies(&harness.handle(FIRST_ELECTION + 3, Event::Persisted { batch: BatchId(2) }));
    assert_eq!(voted, [MessageBody::VoteGranted { request_id: REQUEST_ID, token: token(1, 2) }]);
}

/// The process lost its disk, and with it the record of its grants.
#[rstest]
#[case::pre_vote(MessageBody::PreVote { request_id: REQUEST_ID })]
#[case::election(MessageBody::RequestVote { request_id: REQUEST_ID, token: token(2, 1) })]
#[case::renewal(MessageBody::RenewLease { request_id: REQUEST_ID, token: token(1, 1) })]
fn process_without_a_vote_answers_no_request(#[case] body: MessageBody) {
    let mut harness = start();
    harness.install_view(0, 2, false);
    assert_eq!(harness.receive_in(FIRST_ELECTION + 2_000, 2, 1, body), []);
}
