//! One test for each guard of taking changes, passing entries down the chain and answering reads; `docs/design/guards-chain.md` has the
//! table.

use crate::history_stream::{HistoryStream, StreamAssembly};
use crate::test_driver::{Driver, QUESTION, disk_of, entry, is_outcome, member, serving, submit, view};
use crate::view::View;
use crate::{EntryBody, Event, Heartbeat, HistorySuffix, Message, RequestId};
use rstest::rstest;

/// Ticks until an entry is sent again, with room.
const LONG: u32 = 100;

/// A member of a view whose other replicas do not hold the history yet.
fn not_serving(me: u8) -> Driver {
    let mut driver = Driver::start(me, disk_of(u64::from(me), 3), 3);
    let others: Vec<u8> = (1..=3).filter(|number| *number != me).collect();
    for number in &others {
        let beat = Heartbeat { installed_view: 0, ..driver.heartbeat_of(*number, &others) };
        driver.receive(*number, Message::Heartbeat(beat));
    }
    assert!(!driver.replica.status().is_serving);
    driver
}

#[test]
fn head_appends_no_change_before_view_serves() {
    let mut driver = not_serving(1);
    driver.receive(2, submit(1, 0));
    assert!(driver.unsynced.is_empty());
}

#[test]
fn tail_answers_no_read_before_view_serves() {
    let mut driver = not_serving(3);
    driver.receive(2, Message::Read { request_id: QUESTION, forwarded: false });
    let asked = driver.sent.iter().find_map(|(_, message)| match message {
        Message::Confirm { request_id, .. } => Some(*request_id),
        _ => None,
    });
    driver.receive(1, Message::Confirmed { view: 1, request_id: asked.expect("a request_id") });
    assert_eq!(driver.count(is_outcome), 0);
}

/// The write that another change waits behind may still be lost: nothing is refused because of it.
#[test]
fn change_is_not_refused_because_of_an_uncommitted_one() {
    let mut driver = serving(1);
    driver.receive(2, submit(1, 0));
    driver.sync();
    let Message::Submit { base, version, digest, bytes, .. } = submit(2, 0) else { unreachable!("a change") };
    let request_id = RequestId { sequence: 2, ..QUESTION };
    driver.receive(
        3,
        Message::Submit { request_id, base, version, digest, bytes, request_hash: None, forwarded: false },
    );
    assert_eq!(driver.count(is_outcome), 0);
    driver.receive(3, Message::Committed { header: entry(1).header });
    let is_conflict = |message: &Message| {
        matches!(message, Message::Outcome { outcome: crate::RequestOutcome::Conflict { .. }, .. })
    };
    assert_eq!(driver.count(is_conflict), 1);
}

/// Entries come from the predecessor in the chain of this view alone.
#[rstest]
#[case::its_predecessor(1, 1, true)]
#[case::another_member(3, 1, false)]
#[case::an_earlier_view(1, 0, false)]
#[case::a_later_view(1, 2, false)]
fn entry_is_appended_only_from_the_predecessor_in_the_current_view(
    #[case] from: u8, #[case] number: u64, #[case] taken: bool,
) {
    let mut driver = serving(2);
    driver.receive(from, Message::Replicate { view: number, entry: entry(1) });
    assert_eq!(!driver.unsynced.is_empty(), taken);
}

/// An entry goes on being sent until the successor says in this view that it has it.
#[rstest]
#[case::in_this_view(1, false)]
#[case::in_another(2, true)]
fn entry_is_retransmitted_until_acknowledged_in_the_current_view(#[case] number: u64, #[case] again: bool) {
    let mut driver = serving(1);
    driver.receive(2, submit(1, 0));
    driver.sync();
    let is_entry = |message: &Message| matches!(message, Message::Replicate { .. });
    let sent = driver.count(is_entry);
    driver.receive(2, Message::Replicated { view: number, index: 1 });
    driver.run(LONG, &[2, 3]);
    assert_eq!(driver.count(is_entry) > sent, again);
}

/// A heartbeat that names another address than it comes from says nothing of either.
#[test]
fn heartbeat_for_another_address_is_ignored() {
    let mut driver = serving(1);
    for _ in 0..LONG {
        driver.run(1, &[2, 3]);
        let beat = driver.heartbeat_of(3, &[2]);
        driver.receive(2, Message::Heartbeat(beat));
        driver.handle(Event::Tick);
        driver.sync();
    }
    assert_eq!(driver.count(|message| matches!(message, Message::Prepare { .. })), 0);
}

/// The history of entries 1 and 2.
fn history() -> HistorySuffix {
    let bodies = (1..=2).map(|index| EntryBody { index, bytes: entry(index).bytes }).collect();
    HistorySuffix { after: 0, headers: vec![entry(1).header, entry(2).header], bodies }
}

/// A replica that waits for the history of a view takes none of another view for it.
#[rstest]
#[case::of_this_view(2, true)]
#[case::of_the_view_before(1, false)]
#[case::of_a_later_view(3, false)]
fn state_is_installed_only_for_the_current_view(#[case] number: u64, #[case] taken: bool) {
    let mut driver = serving(3);
    driver.receive(1, Message::Decided { view: view(2, 3) });
    driver.sync();
    let before = driver.synced.len();
    let chunk = HistoryStream::new(history()).chunk(StreamAssembly::new(0).next_request(), usize::MAX);
    driver.receive(1, Message::StateChunk { view: number, chunk });
    driver.sync();
    driver.receive(1, Message::State { view: number, suffix: history() });
    driver.sync();
    assert_eq!(driver.synced.len() > before, taken);
}

/// A member outside the chain of view 2 that hears of the committed entry 2 from member 2, and has asked for the history.
fn behind(mut driver: Driver) -> Driver {
    let next = View { chain: vec![member(1), member(2)], ..view(2, 3) };
    driver.receive(1, Message::Decided { view: next });
    for _ in 0..10 {
        let ahead = Heartbeat {
            view: 2,
            installed_view: 2,
            durable_commit_index: Some(2),
            ..driver.heartbeat_of(2, &[1])
        };
        driver.receive(2, Message::Heartbeat(ahead));
        driver.receive(2, Message::Committed { header: entry(2).header });
        driver.run(1, &[]);
    }
    driver
}

/// An entry on its way to the disk gave way to a committed one: its write tells nothing of the other.
#[test]
fn sync_of_a_superseded_entry_does_not_advance_durable_commit_index() {
    let mut driver = serving(3);
    let mut other = entry(1);
    other.bytes = b"never committed".as_slice().into();
    other.header.digest = crate::Digest::of(&other.bytes);
    driver.receive(2, Message::Replicate { view: 1, entry: other });
    let mut driver = behind(driver);
    let chunk = HistoryStream::new(history()).chunk(StreamAssembly::new(0).next_request(), usize::MAX);
    driver.receive(2, Message::HistoryChunk { chunk });
    assert_eq!(driver.replica.status().committed_version, Some(2));
    let (batch, _) = driver.unsynced.remove(0);
    driver.handle(Event::Persisted { batch });
    assert_eq!(driver.replica.status().durable_commit_index, 0);
    driver.sync();
    assert_eq!(driver.replica.status().durable_commit_index, 2);
}

/// A process that does not answer is not asked for ever.
#[test]
fn learner_requests_history_from_another_source_after_timeout() {
    let mut driver = Driver::start(9, disk_of(9, 3), 3);
    for _ in 0..LONG {
        for holder in [1, 2] {
            let ahead = Heartbeat { durable_commit_index: Some(2), ..driver.heartbeat_of(holder, &[1, 2]) };
            driver.receive(holder, Message::Heartbeat(ahead));
        }
        driver.receive(2, Message::Committed { header: entry(2).header });
        driver.run(1, &[]);
        driver.sync();
    }
    let asked = driver.sent.iter().filter(|(_, message)| matches!(message, Message::HistoryRequest { .. }));
    let asked: std::collections::BTreeSet<_> = asked.map(|(to, _)| *to).collect();
    assert_eq!(asked, std::collections::BTreeSet::from([member(1).address, member(2).address]));
}
