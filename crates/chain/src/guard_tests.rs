//! One test for each guard of a replica that nothing else notices; `docs/design/guards-chain.md` has the table.

use crate::history_stream::{AssemblyProgress, ChunkRequest, HistoryStream, StreamAssembly};
use crate::member::MemberId;
use crate::paxos::ProposalNumber;
use crate::record::Record;
use crate::request::RequestOutcome;
use crate::test_driver::{
    Driver, QUESTION, address, disk_of, entry, is_outcome, member, serving, submit, view,
};
use crate::view::View;
use crate::{
    EntryBody, Event, Heartbeat, HistorySuffix, Message, OperatorRequestId, OperatorResponse, RequestId,
};
use rstest::rstest;
use std::net::SocketAddr;

const PROPOSAL: ProposalNumber = ProposalNumber { round: 9, proposer: PROPOSER };
const PROPOSER: MemberId = MemberId {
    address: std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 3)), 7000),
    disk: 3,
};
/// More than a process is silent before it is suspected.
const LONG: u32 = 100;

fn prepare() -> Message {
    Message::Prepare { instance: 2, proposal: PROPOSAL }
}

fn replicate(index: u64) -> Message {
    Message::Replicate { view: 1, entry: entry(index) }
}

fn is_promise(message: &Message) -> bool {
    matches!(message, Message::Promise { .. })
}

fn is_confirmed(message: &Message) -> bool {
    matches!(message, Message::Confirmed { .. })
}

fn is_replicated(message: &Message) -> bool {
    matches!(message, Message::Replicated { .. })
}

/// The entry that a sealed replica would still store could be in no history that the next view takes over.
#[test]
fn sealed_replica_stops_replicating() {
    let mut driver = serving(2);
    driver.receive(1, replicate(1));
    driver.sync();
    assert_eq!(driver.count(is_replicated), 1);
    driver.receive(3, prepare());
    driver.sync();
    let records = driver.synced.len();
    driver.receive(1, replicate(2));
    driver.sync();
    driver.run(1, &[1, 3]);
    assert_eq!((driver.count(is_replicated), driver.synced.len()), (1, records));
}

/// What was on its way to the disk when the replica promised the next view is not reported as stored in this one.
#[test]
fn replica_sealed_during_sync_does_not_acknowledge() {
    let mut driver = serving(2);
    driver.receive(1, replicate(1));
    driver.receive(3, prepare());
    driver.sync();
    assert_eq!(driver.count(is_replicated), 0);
    assert_eq!(driver.count(is_promise), 1);
}

#[test]
fn sealed_replica_confirms_no_view() {
    let confirm = Message::Confirm { view: 1, request_id: QUESTION };
    let mut driver = serving(2);
    driver.receive(3, confirm.clone());
    assert_eq!(driver.count(is_confirmed), 1);
    driver.receive(3, prepare());
    driver.receive(3, confirm);
    assert_eq!(driver.count(is_confirmed), 1, "also before the promise is on disk");
}

/// A head that has promised the next view judges nothing and a tail answers nothing, also what had come before.
#[rstest]
#[case::the_head(1, submit(1, 0))]
#[case::the_tail(3, Message::Read { request_id: QUESTION, forwarded: false })]
fn sealed_head_and_tail_send_no_outcome(#[case] me: u8, #[case] asked: Message) {
    let mut driver = serving(me);
    let proposal = ProposalNumber { round: 9, proposer: member(2) };
    driver.receive(2, Message::Prepare { instance: 2, proposal });
    driver.sync();
    let records = driver.synced.len();
    driver.receive(2, asked);
    driver.sync();
    for number in 1..=3 {
        let request_id = RequestId { incarnation: 0, sequence: 1 };
        driver.receive(number, Message::Confirmed { view: 1, request_id });
    }
    assert_eq!((driver.count(is_outcome), driver.synced.len()), (0, records));
}

/// A machine whose disk was lost stands at the address of a member and is none.
#[rstest]
#[case::a_proposal(prepare(), is_promise)]
#[case::a_question(Message::Confirm { view: 1, request_id: QUESTION }, is_confirmed)]
#[case::an_entry(replicate(1), is_replicated)]
fn new_disk_at_member_address_does_not_participate(
    #[case] asked: Message, #[case] answers: fn(&Message) -> bool,
) {
    let mut driver = Driver::start(2, disk_of(77, 3), 3);
    driver.run(3, &[1, 3]);
    driver.receive(if matches!(asked, Message::Replicate { .. }) { 1 } else { 3 }, asked);
    driver.sync();
    assert_eq!(driver.count(answers), 0);
}

/// The same for a promise that it might send all the same.
#[rstest]
#[case::of_the_member(2, 1)]
#[case::of_a_new_disk_at_its_address(77, 0)]
fn promise_counts_only_from_the_member_disk(#[case] disk: u64, #[case] accepts: usize) {
    let mut driver = Driver::start(1, disk_of(1, 3), 3);
    driver.until_it_proposes(3);
    driver.sync();
    let prepared = driver.sent.iter().find_map(|(_, message)| match message {
        Message::Prepare { proposal, .. } => Some(*proposal),
        _ => None,
    });
    let proposal = prepared.expect("a proposal");
    let sender = MemberId { address: address(2), disk };
    let position = crate::HistoryPosition { installed_view: 1, last_index: 0 };
    driver.receive(2, Message::Promise { sender, instance: 2, proposal, accepted: None, position });
    driver.run(10, &[2]);
    let is_accept = |message: &Message| matches!(message, Message::Accept { .. });
    assert_eq!(driver.count(is_accept).min(1), accepts);
}

/// What a loss of power takes away was never said.
#[rstest]
#[case::a_promise(3, prepare(), is_promise)]
#[case::an_acceptance(3, Message::Accept { proposal: PROPOSAL, view: view(2, 3) }, |message: &Message| matches!(message, Message::Accepted { .. }))]
#[case::an_entry(1, replicate(1), is_replicated)]
fn reply_is_sent_after_sync(
    #[case] from: u8, #[case] message: Message, #[case] answers: fn(&Message) -> bool,
) {
    let mut driver = serving(2);
    driver.receive(from, message.clone());
    driver.run(1, &[1, 3]);
    driver.receive(from, message);
    assert_eq!(driver.count(answers), 0);
    driver.sync();
    assert!(driver.count(answers) > 0);
}

/// The tail commits what is on its own disk, and not before the view serves.
#[rstest]
#[case::in_a_view_that_serves(true)]
#[case::in_one_that_does_not(false)]
fn tail_commits_synced_entry_if_view_serves(#[case] serves: bool) {
    let mut driver = if serves { serving(3) } else { Driver::start(3, disk_of(3, 3), 3) };
    if !serves {
        let silent = crate::Heartbeat { installed_view: 0, ..driver.heartbeat_of(1, &[2]) };
        driver.receive(1, Message::Heartbeat(silent));
        driver.run(1, &[2]);
    }
    let is_committed = |message: &Message| matches!(message, Message::Committed { .. });
    driver.receive(2, replicate(1));
    assert_eq!(driver.count(is_committed), 0, "before it is on disk");
    driver.sync();
    assert_eq!(driver.count(is_committed) > 0, serves);
}

/// A replica tells its history only in the view that it holds it for, and only to members.
#[rstest]
#[case::a_member(3, 1, 1)]
#[case::a_stranger(9, 1, 0)]
#[case::another_view(3, 2, 0)]
fn state_is_sent_only_to_members_of_the_view(
    #[case] from: u8, #[case] number: u64, #[case] answers: usize,
    #[values(None, Some(StreamAssembly::new(0).next_request()))] chunk: Option<ChunkRequest>,
) {
    let mut driver = serving(1);
    driver.receive(from, Message::StateRequest { view: number, after: 0, chunk });
    let is_state = |message: &Message| matches!(message, Message::State { .. } | Message::StateChunk { .. });
    assert_eq!(driver.count(is_state), answers);
}

/// A process that serves calls of the operator passes on an outcome only for the call of this run that it belongs to.
#[rstest]
#[case::its_own(0, 1, Some(OperatorResponse::Conflict { current: 7 }))]
#[case::of_the_run_before(1, 1, None)]
#[case::of_another_call(0, 2, None)]
fn outcome_answers_only_its_own_request(
    #[case] other_run: u64, #[case] ticket: u64, #[case] answer: Option<OperatorResponse>,
) {
    let mut driver = serving(2);
    let event = Event::Submit {
        id: OperatorRequestId(1),
        base: 3,
        version: 4,
        request_hash: None,
        bytes: b"{}".as_slice().into(),
    };
    driver.handle(event);
    let passed = driver.sent.iter().find_map(|(_, message)| match message {
        Message::Submit { request_id, .. } => Some(*request_id),
        _ => None,
    });
    let incarnation = passed.expect("a call for the head").incarnation.wrapping_add(other_run);
    let outcome = crate::RequestOutcome::Conflict { current: 7 };
    driver.receive(1, Message::Outcome { request_id: RequestId { incarnation, sequence: ticket }, outcome });
    assert_eq!(driver.answers.first().cloned(), answer);
}

/// Nothing behind what is known to be committed is handed to a learner.
#[test]
fn learner_gets_only_committed_history() {
    let mut driver = serving(2);
    for index in 1..=2 {
        driver.receive(1, replicate(index));
        driver.sync();
    }
    driver.receive(3, Message::Committed { header: entry(1).header });
    let chunk = StreamAssembly::new(0).next_request();
    driver.receive(9, Message::HistoryRequest { after: 0, chunk });
    let chunks = driver.sent.iter().filter_map(|(_, message)| match message {
        Message::HistoryChunk { chunk } => Some(chunk),
        _ => None,
    });
    let mut assembly = StreamAssembly::new(0);
    let last = chunks.map(|chunk| assembly.add(chunk)).last();
    let Some(AssemblyProgress::Complete(suffix)) = last else { panic!("no history: {last:?}") };
    assert_eq!(suffix.headers, [entry(1).header]);
}

/// A learner that is behind, and the history up to entry 2 that it asked for.
fn learner_behind() -> (Driver, Message) {
    let mut driver = Driver::start(9, disk_of(9, 3), 3);
    driver.run(3, &[1, 2, 3]);
    let ahead = Heartbeat { durable_commit_index: Some(2), ..driver.heartbeat_of(3, &[1, 2]) };
    for _ in 0..10 {
        driver.receive(3, Message::Heartbeat(ahead.clone()));
        driver.receive(3, Message::Committed { header: entry(2).header });
        driver.run(1, &[1, 2]);
    }
    assert!(driver.count(|message| matches!(message, Message::HistoryRequest { after: 0, .. })) > 0);
    let bodies = (1..=2).map(|index| EntryBody { index, bytes: entry(index).bytes }).collect();
    let headers = vec![entry(1).header, entry(2).header];
    let stream = HistoryStream::new(HistorySuffix { after: 0, headers, bodies });
    let chunk = stream.chunk(StreamAssembly::new(0).next_request(), usize::MAX);
    (driver, Message::HistoryChunk { chunk })
}

/// A learner says that it holds an entry once it is on its disk.
#[test]
fn learner_reports_durable_commit_index_after_sync() {
    let (mut driver, history) = learner_behind();
    driver.receive(3, history);
    let status = driver.replica.status();
    assert_eq!((status.committed_version, status.durable_commit_index), (Some(2), 0));
    driver.sync();
    assert_eq!(driver.replica.status().durable_commit_index, 2);
    let again = Driver::start(9, driver.synced, 3);
    assert_eq!(
        again.replica.status().committed_version,
        Some(1),
        "its last entry may not be committed, as far as it knows"
    );
}

/// It takes history only from whom it asked.
#[test]
fn learner_installs_history_only_from_the_requested_source() {
    let (mut driver, history) = learner_behind();
    driver.receive(2, history);
    driver.sync();
    assert_eq!(driver.replica.status().durable_commit_index, 0);
}

/// What it asked for as a learner is nothing to it once it has a place in the chain.
#[test]
fn replica_in_chain_ignores_history_requested_as_learner() {
    let (mut driver, history) = learner_behind();
    let mut next = view(2, 3);
    next.members[0] = MemberId { address: address(9), disk: 9 };
    next.chain = vec![member(2), member(3), next.members[0]];
    next.source = Some(member(2));
    driver.receive(3, Message::Decided { view: next });
    driver.receive(3, history);
    driver.sync();
    assert_eq!(driver.replica.status().committed_version, None);
}

/// An entry that was never committed is on the disk at the place of one that was: it is not counted as held.
#[test]
fn learner_does_not_count_a_superseded_entry_as_durable() {
    let mut other = entry(1);
    other.bytes = b"never committed".as_slice().into();
    other.header.digest = crate::Digest::of(&other.bytes);
    let mut records = disk_of(3, 3);
    records.push(Record::Append { entry: other }.encode());
    let next = View { chain: vec![member(1), member(2)], ..view(2, 3) };
    records.push(Record::Decided { view: next }.encode());
    let mut driver = Driver::start(3, records, 3);
    driver.run(3, &[1, 2]);
    for _ in 0..10 {
        let ahead = Heartbeat {
            view: 2,
            installed_view: 2,
            durable_commit_index: Some(2),
            ..driver.heartbeat_of(2, &[1])
        };
        driver.receive(2, Message::Heartbeat(ahead));
        driver.receive(2, Message::Committed { header: entry(2).header });
        driver.run(1, &[1]);
    }
    let bodies = (1..=2).map(|index| EntryBody { index, bytes: entry(index).bytes }).collect();
    let headers = vec![entry(1).header, entry(2).header];
    let stream = HistoryStream::new(HistorySuffix { after: 0, headers, bodies });
    let chunk = stream.chunk(StreamAssembly::new(0).next_request(), usize::MAX);
    driver.receive(2, Message::HistoryChunk { chunk });
    assert_eq!(
        (driver.replica.status().committed_version, driver.replica.status().durable_commit_index),
        (Some(2), 0)
    );
    driver.sync();
    assert_eq!(driver.replica.status().durable_commit_index, 2);
}

/// A replica whose disk refuses batches could not store its promise, so that it goes on with the present view.
#[test]
fn replica_with_unhealthy_disk_promises_nothing() {
    let mut driver = serving(2);
    driver.receive(1, replicate(1));
    let (batch, _) = driver.unsynced.pop().expect("an entry for the disk");
    driver.handle(Event::PersistFailed { batch });
    driver.receive(3, prepare());
    driver.receive(3, Message::Confirm { view: 1, request_id: QUESTION });
    assert_eq!(driver.count(is_confirmed), 1);
}

/// A tail answers a read after a majority has confirmed this view, asked in this run and for this read.
#[rstest]
#[case::as_asked(0, 0, 1)]
#[case::of_another_run(1, 0, 0)]
#[case::of_another_view(0, 1, 0)]
fn confirmation_counts_only_for_its_round_view_and_incarnation(
    #[case] other_run: u64, #[case] other_view: u64, #[case] answers: usize,
) {
    let mut driver = serving(3);
    driver.receive(2, Message::Read { request_id: QUESTION, forwarded: false });
    let asked = driver.sent.iter().find_map(|(_, message)| match message {
        Message::Confirm { request_id, .. } => Some(*request_id),
        _ => None,
    });
    let request_id = asked.expect("a request_id");
    let incarnation = request_id.incarnation.wrapping_add(other_run);
    let request_id = RequestId { incarnation, ..request_id };
    driver.receive(1, Message::Confirmed { view: 1 + other_view, request_id });
    assert_eq!(driver.count(is_outcome), answers);
}

/// A view serves once its own replicas hold the history; another disk at the address of one of them is none.
#[test]
fn new_disk_at_replica_address_does_not_make_view_serve() {
    let mut driver = Driver::start(3, disk_of(3, 3), 3);
    let sender = MemberId { address: address(1), disk: 77 };
    let beat = Heartbeat { sender, ..driver.heartbeat_of(1, &[2]) };
    driver.receive(1, Message::Heartbeat(beat));
    driver.run(1, &[2]);
    assert!(!driver.replica.status().is_serving);
    driver.run(1, &[1, 2]);
    assert!(driver.replica.status().is_serving);
}

/// A proposal is agreed by the members that accept it, not by whoever says so.
#[rstest]
#[case::a_member(2, true)]
#[case::a_stranger(9, false)]
fn only_acceptances_of_members_count(#[case] from: u8, #[case] agreed: bool) {
    let mut driver = Driver::start(1, disk_of(1, 3), 3);
    driver.until_it_proposes(3);
    driver.sync();
    let prepared = driver.sent.iter().find_map(|(_, message)| match message {
        Message::Prepare { proposal, .. } => Some(*proposal),
        _ => None,
    });
    let proposal = prepared.expect("a proposal");
    let position = crate::HistoryPosition { installed_view: 1, last_index: 0 };
    let sender = member(2);
    driver.receive(2, Message::Promise { sender, instance: 2, proposal, accepted: None, position });
    driver.run(10, &[2]);
    driver.sync();
    driver.receive(from, Message::Accepted { instance: 2, proposal });
    assert_eq!(driver.replica.status().view == 2, agreed);
}

/// A process that is about to end proposes nothing.
#[test]
fn leaving_process_does_not_propose() {
    let mut driver = serving(1);
    driver.handle(Event::Leave);
    for _ in 0..LONG {
        driver.run(1, &[2]);
        driver.sync();
    }
    assert_eq!(driver.count(|message| matches!(message, Message::Prepare { .. })), 0);
}

/// A view of another number than the next is neither promised nor accepted.
#[rstest]
#[case::the_present(1)]
#[case::one_too_far(3)]
fn acceptor_votes_only_on_the_next_view(#[case] instance: u64) {
    let mut driver = serving(2);
    driver.receive(3, Message::Prepare { instance, proposal: PROPOSAL });
    driver.receive(3, Message::Accept { proposal: PROPOSAL, view: View { number: instance, ..view(2, 3) } });
    driver.sync();
    let voted = |message: &Message| is_promise(message) || matches!(message, Message::Accepted { .. });
    assert_eq!(driver.count(voted), 0);
    let sealed = driver.synced.iter().filter_map(|record| Record::decode(record).ok());
    assert_eq!(
        sealed.filter(|record| matches!(record, Record::Promise { .. } | Record::Accept { .. })).count(),
        0
    );
}

/// A call of another process goes on to the head or the tail once, and its outcome back to that process.
#[rstest]
#[case::a_change(submit(1, 0), 1)]
#[case::a_read(Message::Read { request_id: QUESTION, forwarded: false }, 3)]
fn request_is_forwarded_once_and_outcome_returned(#[case] asked: Message, #[case] end: u8) {
    let mut driver = serving(2);
    let origin = address(9);
    driver.handle(Event::Message { from: origin, message: asked.clone() });
    let passed: Vec<(SocketAddr, Message)> =
        driver.sent.iter().filter(|(_, message)| is_call(message)).cloned().collect();
    let [(to, message)] = passed.as_slice() else { panic!("{passed:?}") };
    assert_eq!(*to, address(end));
    // It does not go on again, so that no two processes send it to and fro.
    driver.sent.clear();
    driver.receive(if end == 1 { 3 } else { 1 }, message.clone());
    assert_eq!(driver.count(is_call), 0);
    let outcome = RequestOutcome::Accepted;
    driver.receive(end, Message::Outcome { request_id: QUESTION, outcome });
    let back = driver.sent.iter().find(|(_, message)| is_outcome(message)).map(|(to, _)| *to);
    assert_eq!(back, Some(origin));
    // Nor does a second outcome.
    driver.sent.clear();
    driver.receive(end, Message::Outcome { request_id: QUESTION, outcome });
    assert_eq!(driver.count(is_outcome), 0);
    driver.receive(end, asked);
    assert_eq!(driver.count(is_call), 0, "an end that asks gets nothing back from itself");
}

fn is_call(message: &Message) -> bool {
    matches!(message, Message::Submit { .. } | Message::Read { .. })
}
