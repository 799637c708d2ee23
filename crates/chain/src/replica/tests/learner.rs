//! Tests of the committed history on processes outside the chain.

use super::*;

/// A learner is sent no entry after the commit index.
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
    let Some(AssemblyProgress::Complete(suffix)) = last else {
        panic!("the history is not complete: {last:?}")
    };
    assert_eq!(suffix.headers, [entry(1).header]);
}

/// A learner that is behind, and the response with the history up to entry 2 that it has requested.
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

/// A learner reports an entry as durable only after the entry is synced.
#[test]
fn learner_reports_durable_commit_index_after_sync() {
    let (mut driver, history) = learner_behind();
    driver.receive(3, history);
    let status = driver.replica.status();
    assert_eq!((status.committed_version, status.durable_commit_index), (Some(2), 0));
    driver.sync();
    assert_eq!(driver.replica.status().durable_commit_index, 2);
    let restarted = Driver::start(9, driver.synced, 3);
    assert_eq!(
        restarted.replica.status().committed_version,
        Some(1),
        "a restarted process does not know whether its last entry is committed"
    );
}

/// History from a process other than the requested source is ignored.
#[test]
fn learner_installs_history_only_from_the_requested_source() {
    let (mut driver, history) = learner_behind();
    driver.receive(2, history);
    driver.sync();
    assert_eq!(driver.replica.status().durable_commit_index, 0);
}

/// History that a process requested as a learner is ignored once the process is in the chain.
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

/// An uncommitted entry is on disk at the index of a committed one, so that index does not count as durable.
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

/// Makes the replica a member outside the chain of view 2 that has learned from member 2 that entry 2 is
/// committed, and has requested the history.
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

/// An entry was replaced by a committed one while it was being synced. The completion of that sync does not
/// make the committed entry durable.
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

/// After a timeout, the history is requested from the next source.
#[test]
fn learner_requests_history_from_another_source_after_timeout() {
    let mut driver = Driver::start(9, disk_of(9, 3), 3);
    for _ in 0..MANY_TICKS {
        for source in [1, 2] {
            let ahead = Heartbeat { durable_commit_index: Some(2), ..driver.heartbeat_of(source, &[1, 2]) };
            driver.receive(source, Message::Heartbeat(ahead));
        }
        driver.receive(2, Message::Committed { header: entry(2).header });
        driver.run(1, &[]);
        driver.sync();
    }
    let requested_sources =
        driver.sent.iter().filter(|(_, message)| matches!(message, Message::HistoryRequest { .. }));
    let requested_sources: std::collections::BTreeSet<_> = requested_sources.map(|(to, _)| *to).collect();
    assert_eq!(requested_sources, std::collections::BTreeSet::from([member(1).address, member(2).address]));
}
