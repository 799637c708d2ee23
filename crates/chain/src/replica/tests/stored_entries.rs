//! Tests which entries a replica persists, in the chain and as a learner, and which history it sends.

use crate::digest::Digest;
use crate::entry::{CommittedConfig, Entry, EntryHeader, HistorySuffix};
use crate::history_stream::{Chunk, ChunkRequest};
use crate::member::MemberId;
use crate::paxos::ProposalNumber;
use crate::record::Record;
use crate::view::View;
use crate::{Action, Event, Message, Replica, ReplicaSettings};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const TEXT: &[u8] = b"text";

fn member(number: u8) -> MemberId {
    MemberId { address: SocketAddr::from(([10, 0, 0, number], 7000)), disk: u64::from(number) }
}

/// A view of three members.
fn view(number: u64, chain: &[u8], source: u8) -> View {
    View {
        number,
        members: [1, 2, 3].map(member).to_vec(),
        chain: chain.iter().copied().map(member).collect(),
        source: Some(member(source)),
        lineage: Vec::new(),
        last_known_served: number - 1,
        fault_tolerance: 1,
        min_members: 3,
    }
}

/// Member 2 of three in view 1, with an empty history.
fn start_member_two(chain: &[u8]) -> Replica {
    let view = view(1, chain, 1);
    let records = [
        Record::Identity { disk: 2, bootstrap_seeds: None },
        Record::Decided { view },
        Record::Install { view: 1, suffix: HistorySuffix::default() },
    ];
    let records: Vec<Vec<u8>> = records.iter().map(Record::encode).collect();
    let settings = ReplicaSettings::new(member(2).address, Vec::new(), false, 1, 7);
    let mut replica = Replica::recover(settings, &records, Duration::ZERO, &mut Vec::new())
        .expect("cannot recover the replica from its records");
    replica.handle(Duration::ZERO, Event::Tick, &mut Vec::new());
    replica
}

/// The entries that the replica persists when it receives a message from member 1.
fn persisted_entries(replica: &mut Replica, message: Message) -> Vec<Entry> {
    let mut out = Vec::new();
    replica.handle(Duration::ZERO, Event::Message { from: member(1).address, message }, &mut out);
    let batches = out.into_iter().filter_map(|action| match action {
        Action::Persist { batch, records } => Some((batch, records)),
        _ => None,
    });
    let mut entries = Vec::new();
    for (batch, records) in batches.collect::<Vec<_>>() {
        let read = records.iter().map(|record| Record::decode(record).expect("cannot decode the record"));
        entries.extend(read.filter_map(|record| match record {
            Record::Append { entry } => Some(entry),
            _ => None,
        }));
        replica.handle(Duration::ZERO, Event::Persisted { batch }, &mut Vec::new());
    }
    entries
}

fn header() -> EntryHeader {
    EntryHeader { index: 1, version: 5, base: 0, digest: Digest::of(TEXT) }
}

fn header_of_earlier_version() -> EntryHeader {
    EntryHeader { digest: Digest { blake3: None, ..Digest::of(TEXT) }, ..header() }
}

#[rstest]
#[case::sound(header(), TEXT, 1)]
#[case::of_an_earlier_version(header_of_earlier_version(), TEXT, 1)]
#[case::other_bytes(header(), b"test", 0)]
#[case::other_bytes_of_an_earlier_version(header_of_earlier_version(), b"test", 0)]
fn replicated_entry_is_appended_if_its_digest_matches(
    #[case] header: EntryHeader, #[case] bytes: &[u8], #[case] entries: usize,
) {
    let mut replica = start_member_two(&[1, 2, 3]);
    let entry = Entry { header, bytes: bytes.into() };
    assert_eq!(persisted_entries(&mut replica, Message::Replicate { view: 1, entry }).len(), entries);
}

fn config(version: u64, bytes: &[u8]) -> Message {
    Message::Config { config: CommittedConfig { version, base: 0, bytes: bytes.into() } }
}

/// A learner assembles the newest entry from the commit announcement and the configuration, in either order
/// of arrival.
#[rstest]
#[case::commit_first([Message::Committed { header: header() }, config(5, TEXT)], 1)]
#[case::configuration_first([config(5, TEXT), Message::Committed { header: header() }], 1)]
#[case::other_bytes([Message::Committed { header: header() }, config(5, b"test")], 0)]
#[case::entries_are_missing_before([Message::Committed { header: EntryHeader { index: 2, ..header() } }, config(5, TEXT)], 0)]
#[case::another_version([Message::Committed { header: header() }, config(6, TEXT)], 0)]
fn learner_appends_newest_entry_from_commit_and_config(
    #[case] messages: [Message; 2], #[case] entries: usize,
) {
    let mut replica = start_member_two(&[1, 3]);
    let all: Vec<Entry> =
        messages.into_iter().flat_map(|message| persisted_entries(&mut replica, message)).collect();
    assert_eq!(all.len(), entries);
    assert!(all.iter().all(|entry| entry.header == header() && entry.bytes.as_ref() == TEXT));
    assert_eq!(replica.status().durable_commit_index, entries as u64);
}

/// A proposer relies on the history position in a promise, so the history must not change until the next
/// view.
#[test]
fn sealed_learner_appends_nothing() {
    let mut replica = start_member_two(&[1, 3]);
    let proposal = ProposalNumber { round: 1, proposer: member(1) };
    persisted_entries(&mut replica, Message::Prepare { instance: 2, proposal });
    assert!(persisted_entries(&mut replica, Message::Committed { header: header() }).is_empty());
    assert!(persisted_entries(&mut replica, config(5, TEXT)).is_empty());
    assert_eq!(replica.status().durable_commit_index, 0);
}

/// The last chunk with which member 2 answers a request of member 3.
fn chunk(replica: &mut Replica, request: Message) -> Chunk {
    let mut out = Vec::new();
    let from = member(3).address;
    replica.handle(Duration::ZERO, Event::Message { from, message: request }, &mut out);
    let chunks = out.into_iter().filter_map(|action| match action {
        Action::Send { message: Message::StateChunk { chunk, .. }, .. } => Some(chunk),
        _ => None,
    });
    chunks.last().expect("no chunk was sent")
}

/// A replica has fetched the first part of the history of one view. It must not receive the remaining part as
/// the history of the next view, which has one more entry.
#[test]
fn state_of_an_earlier_view_is_not_resumed() {
    let mut replica = start_member_two(&[1, 2, 3]);
    let begun = Some(ChunkRequest { stream: None, offset: 0 });
    let first = chunk(&mut replica, Message::StateRequest { view: 1, after: 0, chunk: begun });
    let entry = Entry { header: header(), bytes: TEXT.into() };
    assert_eq!(persisted_entries(&mut replica, Message::Replicate { view: 1, entry }).len(), 1);
    persisted_entries(&mut replica, Message::Decided { view: view(2, &[2, 3], 2) });
    let rest = Some(ChunkRequest { stream: Some(first.stream), offset: 1 });
    let second = chunk(&mut replica, Message::StateRequest { view: 2, after: 0, chunk: rest });
    assert_ne!(second.stream, first.stream);
    assert_eq!(second.offset, 0);
}

/// The committed history that is sent to learners may be shorter than the history of the view, so the two
/// streams are not interchangeable.
#[test]
fn learner_stream_is_not_resumed_as_state() {
    let mut replica = start_member_two(&[1, 2, 3]);
    let entry = Entry { header: header(), bytes: TEXT.into() };
    persisted_entries(&mut replica, Message::Replicate { view: 1, entry: entry.clone() });
    persisted_entries(&mut replica, Message::Committed { header: header() });
    let next = EntryHeader { index: 2, version: 6, base: 5, ..header() };
    persisted_entries(&mut replica, Message::Replicate { view: 1, entry: Entry { header: next, ..entry } });
    let begin = ChunkRequest { stream: None, offset: 0 };
    let mut out = Vec::new();
    let message = Message::HistoryRequest { after: 0, chunk: begin };
    replica.handle(Duration::ZERO, Event::Message { from: member(3).address, message }, &mut out);
    let Some(Action::Send { message: Message::HistoryChunk { chunk: committed }, .. }) = out.pop() else {
        panic!("no HistoryChunk message was sent")
    };
    let rest = Some(ChunkRequest { stream: Some(committed.stream), offset: 1 });
    let state = chunk(&mut replica, Message::StateRequest { view: 1, after: 0, chunk: rest });
    assert_ne!(state.stream, committed.stream);
    assert_eq!(state.offset, 0);
}
