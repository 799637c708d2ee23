//! Tests the streams of a history: chunks, reassembly, resumption at another source, and corruption.

use crate::digest::Digest;
use crate::entry::{EntryBody, EntryHeader, HistorySuffix};
use crate::history_stream::{
    AssemblyProgress, Chunk, ChunkRequest, HistoryStream, ResponseLimits, StreamAssembly, StreamCache,
};
use rstest::rstest;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(5);

fn suffix(entries: u64, body: usize) -> HistorySuffix {
    let text = |index: u64| vec![index as u8; body];
    let header =
        |index| EntryHeader { index, version: index, base: index - 1, digest: Digest::of(&text(index)) };
    let bodies = [entries - 1, entries].map(|index| EntryBody { index, bytes: text(index).into() });
    HistorySuffix { after: 3, headers: (4..=entries).map(header).collect(), bodies: bodies.into() }
}

fn next_chunk(stream: &HistoryStream, assembly: &StreamAssembly, max_bytes: usize) -> Chunk {
    stream.chunk(assembly.next_request(), max_bytes)
}

fn receive_rest(stream: &HistoryStream, assembly: &mut StreamAssembly, max_bytes: usize) -> AssemblyProgress {
    loop {
        match assembly.add(&next_chunk(stream, assembly, max_bytes)) {
            AssemblyProgress::Incomplete => {}
            end => return end,
        }
    }
}

#[rstest]
fn stream_is_reassembled_from_chunks_of_any_length(#[values(1, 7, 100, 1_000_000)] max_bytes: usize) {
    let stream = HistoryStream::new(suffix(9, 90));
    let mut assembly = StreamAssembly::new(3);
    assert_eq!(receive_rest(&stream, &mut assembly, max_bytes), AssemblyProgress::Complete(suffix(9, 90)));
}

#[test]
fn chunks_are_no_longer_than_the_limit() {
    let stream = HistoryStream::new(suffix(9, 90));
    let mut assembly = StreamAssembly::new(3);
    for _ in 0..5 {
        let chunk = next_chunk(&stream, &assembly, 64);
        assert_eq!(chunk.bytes.len(), 64);
        assert_eq!(assembly.add(&chunk), AssemblyProgress::Incomplete);
    }
}

/// A lost chunk is requested again, a duplicate is ignored, and another source with the same history can
/// resume the stream.
#[test]
fn stream_is_resumed_after_loss_and_at_another_source() {
    let stream = HistoryStream::new(suffix(9, 90));
    let mut assembly = StreamAssembly::new(3);
    let first = next_chunk(&stream, &assembly, 100);
    assembly.add(&first);
    let lost = next_chunk(&stream, &assembly, 100);
    assert_eq!(assembly.add(&first), AssemblyProgress::Ignored);
    assert_eq!(next_chunk(&stream, &assembly, 100), lost);
    let other_source = HistoryStream::new(suffix(9, 90));
    assert_eq!(receive_rest(&other_source, &mut assembly, 100), AssemblyProgress::Complete(suffix(9, 90)));
}

/// The history of the source has changed meanwhile, so its new stream restarts the assembly and nothing of
/// the first one remains.
#[test]
fn assembly_restarts_with_another_stream() {
    let mut assembly = StreamAssembly::new(3);
    assembly.add(&next_chunk(&HistoryStream::new(suffix(9, 90)), &assembly, 100));
    let newer = HistoryStream::new(suffix(10, 90));
    let chunk = next_chunk(&newer, &assembly, 100);
    assert_eq!(chunk.offset, 0);
    assert_eq!(assembly.add(&chunk), AssemblyProgress::Incomplete);
    assert_eq!(receive_rest(&newer, &mut assembly, 100), AssemblyProgress::Complete(suffix(10, 90)));
}

#[test]
fn chunk_from_within_another_stream_is_ignored() {
    let mut assembly = StreamAssembly::new(3);
    let (one, other) = (HistoryStream::new(suffix(9, 90)), HistoryStream::new(suffix(10, 90)));
    assembly.add(&next_chunk(&one, &assembly, 100));
    let first = other.chunk(ChunkRequest { stream: None, offset: 0 }, 100);
    let within = other.chunk(ChunkRequest { stream: Some(first.stream), offset: 100 }, 100);
    assert_eq!(assembly.add(&within), AssemblyProgress::Ignored);
    assert_eq!(receive_rest(&one, &mut assembly, 100), AssemblyProgress::Complete(suffix(9, 90)));
}

#[rstest]
#[case::other_bytes(|chunk: Chunk| Chunk { bytes: vec![0; chunk.bytes.len()].into(), ..chunk })]
#[case::one_bit_of_a_body(|chunk: Chunk| {
    let mut bytes = chunk.bytes.to_vec();
    if let Some(last) = bytes.last_mut() {
        *last ^= 1;
    }
    Chunk { bytes: bytes.into(), ..chunk }
})]
#[case::longer_than_its_total(|chunk: Chunk| Chunk { total_bytes: 10, ..chunk })]
#[case::too_long(|chunk: Chunk| Chunk { total_bytes: u64::MAX, ..chunk })]
fn corrupt_stream_is_detected(#[case] corrupt: fn(Chunk) -> Chunk) {
    let mut assembly = StreamAssembly::new(3);
    let chunk = next_chunk(&HistoryStream::new(suffix(9, 90)), &assembly, 1_000_000);
    assert_eq!(assembly.add(&corrupt(chunk)), AssemblyProgress::Corrupt);
}

#[test]
fn stream_behind_another_index_is_corrupt() {
    let mut assembly = StreamAssembly::new(4);
    let chunk = next_chunk(&HistoryStream::new(suffix(9, 90)), &assembly, 1_000_000);
    assert_eq!(assembly.add(&chunk), AssemblyProgress::Corrupt);
}

fn cached_chunk(streams: &mut StreamCache, request: ChunkRequest, entries: u64) -> Chunk {
    let limits = ResponseLimits { chunk_bytes: 100, max_chunks: 1 };
    let mut chunks = streams.chunks(NOW, request, limits, || suffix(entries, 90));
    assert_eq!(chunks.len(), 1);
    chunks.remove(0)
}

/// A request is answered by several chunks, of which the last is marked.
#[rstest]
#[case::from_the_start(0, &[0, 100, 200])]
#[case::from_within(300, &[300, 400, 500])]
fn response_contains_several_chunks_and_marks_the_last(#[case] from: u64, #[case] offsets: &[u64]) {
    let limits = ResponseLimits { chunk_bytes: 100, max_chunks: 3 };
    let mut streams = StreamCache::default();
    let first = cached_chunk(&mut streams, ChunkRequest { stream: None, offset: 0 }, 9);
    let request = ChunkRequest { stream: Some(first.stream), offset: from };
    let chunks = streams.chunks(NOW, request, limits, || suffix(9, 90));
    assert_eq!(chunks.iter().map(|chunk| chunk.offset).collect::<Vec<u64>>(), offsets);
    assert_eq!(
        chunks.iter().map(|chunk| chunk.is_last_of_response).collect::<Vec<bool>>(),
        [false, false, true]
    );
    let end = ChunkRequest { offset: first.total_bytes - 1, ..request };
    let chunks = streams.chunks(NOW, end, limits, || suffix(9, 90));
    assert_eq!(
        chunks.iter().map(|chunk| (chunk.bytes.len(), chunk.is_last_of_response)).collect::<Vec<_>>(),
        [(1, true)]
    );
}

/// A stream stays available while entries are appended to the history, and is dropped once it is idle.
#[test]
fn streams_are_retained_until_idle() {
    let mut streams = StreamCache::default();
    let first = cached_chunk(&mut streams, ChunkRequest { stream: None, offset: 0 }, 9);
    let request = ChunkRequest { stream: Some(first.stream), offset: 100 };
    let second = cached_chunk(&mut streams, request, 10);
    assert_eq!((second.stream, second.offset), (first.stream, 100));
    streams.drop_idle(NOW + Duration::from_secs(2));
    let third = cached_chunk(&mut streams, request, 10);
    assert_ne!(third.stream, first.stream);
    assert_eq!(third.offset, 0);
}
