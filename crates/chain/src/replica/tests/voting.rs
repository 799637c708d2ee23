//! Tests of the decision on the next view: who proposes, who votes, and what must be synced before it is
//! sent.

use super::driver::TICK;
use super::*;

fn recover_replica(records: &[Record]) -> Replica {
    let settings = ReplicaSettings::new(member(1).address, vec![member(2).address], false, 1, 7);
    let records: Vec<Vec<u8>> = records.iter().map(Record::encode).collect();
    Replica::recover(settings, &records, Duration::ZERO, &mut Vec::new())
        .expect("cannot recover the replica from its records")
}

#[test]
fn status_reports_an_accepted_next_view_after_restart_until_it_is_decided() {
    let identity = Record::Identity { disk: 1, bootstrap_seeds: None };
    let proposal = ProposalNumber { round: 1, proposer: member(2) };
    let mut records = vec![identity, Record::Decided { view: view(1, 3) }];
    assert!(!recover_replica(&records).status().has_accepted_next_view);
    records.push(Record::Promise { instance: 2, proposal });
    assert!(!recover_replica(&records).status().has_accepted_next_view, "a promise chooses no view");
    records.push(Record::Accept { proposal, view: view(2, 3) });
    assert!(recover_replica(&records).status().has_accepted_next_view);
    records.push(Record::Decided { view: view(2, 3) });
    assert!(!recover_replica(&records).status().has_accepted_next_view);
}

fn proposal_numbers(driver: &Driver) -> Vec<ProposalNumber> {
    let proposal = |message: &Message| match message {
        Message::Prepare { proposal, .. } => Some(*proposal),
        _ => None,
    };
    driver.sent.iter().filter_map(|(_, message)| proposal(message)).collect()
}

#[rstest]
#[case::three(3)]
#[case::five(5)]
fn prepare_is_sent_after_own_promise_is_synced(#[case] members: u8) {
    let mut driver = Driver::start(1, disk_of(1, members), members);
    driver.run_until_proposal(2);
    assert_eq!(proposal_numbers(&driver), Vec::new(), "sent before its own promise was synced");
    driver.sync();
    assert_eq!(
        proposal_numbers(&driver).len(),
        usize::from(members) - 1,
        "one request for each other member"
    );
}

#[rstest]
#[case::three(3)]
#[case::five(5)]
fn restarted_proposer_uses_higher_proposal_numbers(#[case] members: u8) {
    let mut first = Driver::start(1, disk_of(1, members), members);
    first.run_until_proposal(2);
    first.sync();
    let before = proposal_numbers(&first);
    let mut second = Driver::start(1, first.synced, members);
    second.run_until_proposal(2);
    second.sync();
    let after = proposal_numbers(&second);
    assert!(!before.is_empty() && !after.is_empty());
    assert!(after.iter().all(|proposal| before.iter().all(|used| proposal > used)), "{before:?} {after:?}");
}

#[test]
fn acceptor_distinguishes_two_views_under_one_proposal_number() {
    let proposal = ProposalNumber { round: 3, proposer: member(1) };
    let acceptor = Acceptor {
        promised: Some(proposal),
        accepted: Some(Box::new(AcceptedProposal { number: proposal, view: view(2, 3) })),
    };
    let other = View { chain: vec![member(1), member(2)], ..view(2, 3) };
    let higher = ProposalNumber { round: 4, proposer: member(1) };
    assert_eq!(acceptor.compare_accepted(proposal, &view(2, 3)), AcceptedComparison::Identical);
    assert_eq!(acceptor.compare_accepted(proposal, &other), AcceptedComparison::OtherView);
    assert_eq!(acceptor.compare_accepted(higher, &other), AcceptedComparison::Newer);
}

/// A second view under the number of an accepted proposal is neither acknowledged nor persisted.
#[test]
fn acceptor_ignores_a_second_view_under_one_proposal_number() {
    let mut driver = Driver::start(1, disk_of(1, 3), 3);
    let proposal = ProposalNumber { round: 3, proposer: member(2) };
    let accept = |view: View| Message::Accept { proposal, view };
    driver.receive(2, accept(view(2, 3)));
    driver.sync();
    let accepted = |driver: &Driver| driver.count(|message| matches!(message, Message::Accepted { .. }));
    assert_eq!(accepted(&driver), 1);
    let synced = driver.synced.len();
    // The proposal violates an invariant, which would otherwise fail the test.
    let suppressed_panics = lugwharf_invariants::suppress_panics();
    let violations = || lugwharf_invariants::count(lugwharf_invariants::Invariant::OneValuePerBallot);
    let before = violations();
    driver.receive(2, accept(View { chain: vec![member(1), member(2)], ..view(2, 3) }));
    drop(suppressed_panics);
    assert!(violations() > before);
    driver.sync();
    assert_eq!((accepted(&driver), driver.synced.len()), (1, synced));
    driver.receive(2, accept(view(2, 3)));
    driver.sync();
    assert_eq!(accepted(&driver), 2, "a duplicate is acknowledged again");
}

/// A machine with a new disk has the address of a member, but is not that member.
#[rstest]
#[case::prepare(prepare(), is_promise)]
#[case::confirm(Message::Confirm { view: 1, request_id: REQUEST_ID }, is_confirmed)]
#[case::entry(replicate(1), is_replicated)]
fn new_disk_at_member_address_does_not_participate(
    #[case] message: Message, #[case] is_reply: fn(&Message) -> bool,
) {
    let mut driver = Driver::start(2, disk_of(77, 3), 3);
    driver.run(3, &[1, 3]);
    driver.receive(if matches!(message, Message::Replicate { .. }) { 1 } else { 3 }, message);
    driver.sync();
    assert_eq!(driver.count(is_reply), 0);
}

/// A promise from a machine with a new disk does not count.
#[rstest]
#[case::of_the_member(2, 1)]
#[case::of_a_new_disk_at_its_address(77, 0)]
fn promise_counts_only_from_the_member_disk(#[case] disk: u64, #[case] accepts: usize) {
    let mut driver = Driver::start(1, disk_of(1, 3), 3);
    driver.run_until_proposal(3);
    driver.sync();
    let prepared = driver.sent.iter().find_map(|(_, message)| match message {
        Message::Prepare { proposal, .. } => Some(*proposal),
        _ => None,
    });
    let proposal = prepared.expect("no Prepare message was sent");
    let sender = MemberId { address: address(2), disk };
    let position = crate::HistoryPosition { installed_view: 1, last_index: 0 };
    driver.receive(2, Message::Promise { sender, instance: 2, proposal, accepted: None, position });
    driver.run(10, &[2]);
    let is_accept = |message: &Message| matches!(message, Message::Accept { .. });
    assert_eq!(driver.count(is_accept).min(1), accepts);
}

/// A reply must not be sent before its record is synced, since a power loss could otherwise revoke it.
#[rstest]
#[case::promise(3, prepare(), is_promise)]
#[case::acceptance(3, Message::Accept { proposal: PROPOSAL, view: view(2, 3) }, |message: &Message| matches!(message, Message::Accepted { .. }))]
#[case::entry(1, replicate(1), is_replicated)]
fn reply_is_sent_after_sync(
    #[case] from: u8, #[case] message: Message, #[case] is_reply: fn(&Message) -> bool,
) {
    let mut driver = serving(2);
    driver.receive(from, message.clone());
    driver.run(1, &[1, 3]);
    driver.receive(from, message);
    assert_eq!(driver.count(is_reply), 0);
    driver.sync();
    assert!(driver.count(is_reply) > 0);
}

/// A replica whose disk fails cannot persist a promise, so it makes none and stays in the current view.
#[test]
fn replica_with_unhealthy_disk_promises_nothing() {
    let mut driver = serving(2);
    driver.receive(1, replicate(1));
    let (batch, _) = driver.unsynced.pop().expect("no batch waits for the disk");
    driver.handle(Event::PersistFailed { batch });
    driver.receive(3, prepare());
    driver.receive(3, Message::Confirm { view: 1, request_id: REQUEST_ID });
    assert_eq!(driver.count(is_confirmed), 1);
}

/// A driver may read the clock for a failed batch before it reads the clock for other events, so the time of
/// the failure may be earlier than the latest known time. The retry delay counts from the latest time that
/// the replica knows.
#[test]
fn failed_batch_is_retried_after_the_delay_despite_an_earlier_event_time() {
    const RETRY_DELAY: Duration = Duration::from_millis(400);
    let mut driver = serving(2);
    driver.run(40, &[1, 3]);
    driver.receive(1, replicate(1));
    let (batch, _) = driver.unsynced.pop().expect("no batch waits for the disk");
    let now = driver.now;
    driver.now = now - RETRY_DELAY;
    driver.handle(Event::PersistFailed { batch });
    driver.now = now + TICK;
    driver.handle(Event::Tick);
    assert!(driver.unsynced.is_empty(), "retried one tick after the failure");
    driver.now = now + RETRY_DELAY;
    driver.handle(Event::Tick);
    assert_eq!(driver.unsynced.len(), 1, "not retried after the delay");
}

/// Only acceptances of members count for the decision on a view.
#[rstest]
#[case::member(2, true)]
#[case::no_member(9, false)]
fn only_acceptances_of_members_count(#[case] from: u8, #[case] is_decided: bool) {
    let mut driver = Driver::start(1, disk_of(1, 3), 3);
    driver.run_until_proposal(3);
    driver.sync();
    let prepared = driver.sent.iter().find_map(|(_, message)| match message {
        Message::Prepare { proposal, .. } => Some(*proposal),
        _ => None,
    });
    let proposal = prepared.expect("no Prepare message was sent");
    let position = crate::HistoryPosition { installed_view: 1, last_index: 0 };
    let sender = member(2);
    driver.receive(2, Message::Promise { sender, instance: 2, proposal, accepted: None, position });
    driver.run(10, &[2]);
    driver.sync();
    driver.receive(from, Message::Accepted { instance: 2, proposal });
    assert_eq!(driver.replica.status().view_number == 2, is_decided);
}

/// Proposals for any instance other than the next one are neither promised nor accepted.
#[rstest]
#[case::current_view(1)]
#[case::view_after_next(3)]
fn acceptor_votes_only_on_the_next_view(#[case] instance: u64) {
    let mut driver = serving(2);
    driver.receive(3, Message::Prepare { instance, proposal: PROPOSAL });
    driver.receive(3, Message::Accept { proposal: PROPOSAL, view: View { number: instance, ..view(2, 3) } });
    driver.sync();
    let voted = |message: &Message| is_promise(message) || matches!(message, Message::Accepted { .. });
    assert_eq!(driver.count(voted), 0);
    let records = driver.synced.iter().filter_map(|record| Record::decode(record).ok());
    assert_eq!(
        records.filter(|record| matches!(record, Record::Promise { .. } | Record::Accept { .. })).count(),
        0
    );
}

/// A process that is shutting down proposes nothing.
#[test]
fn leaving_process_does_not_propose() {
    let mut driver = serving(1);
    driver.handle(Event::Leave);
    for _ in 0..MANY_TICKS {
        driver.run(1, &[2]);
        driver.sync();
    }
    assert_eq!(driver.count(|message| matches!(message, Message::Prepare { .. })), 0);
}

/// A heartbeat whose sender address differs from its source address is ignored.
#[test]
fn heartbeat_for_another_address_is_ignored() {
    let mut driver = serving(1);
    for _ in 0..MANY_TICKS {
        driver.run(1, &[2, 3]);
        let heartbeat = driver.heartbeat_of(3, &[2]);
        driver.receive(2, Message::Heartbeat(heartbeat));
        driver.handle(Event::Tick);
        driver.sync();
    }
    assert_eq!(driver.count(|message| matches!(message, Message::Prepare { .. })), 0);
}
