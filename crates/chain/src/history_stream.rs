//! The transfer of a history to another replica in chunks.
//!
//! The stream consists of a CBOR header, which contains the entry headers and the lengths of the bodies,
//! followed by the bodies. It is identified by the hash of its whole content. A chunk of one stream is
//! therefore never mistaken for a chunk of another, and a receiver can resume at any source that holds the
//! same history.

use crate::byte_string;
use crate::digest::Blake3;
use crate::entry::{EntryBody, EntryHeader, HistorySuffix};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// The maximum length of a stream that a receiver accepts, in bytes. Two configurations of 3 MB each and
/// 10,000 headers take 7 MB.
const MAX_STREAM_BYTES: u64 = 16 * 1024 * 1024;
/// The maximum number of streams that a source retains, for receivers that have reached different offsets.
const MAX_STREAMS: usize = 4;
/// A stream is dropped if it has not been requested for this long.
const STREAM_TTL: Duration = Duration::from_secs(1);

/// A request for a chunk. Encoded names are fixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// The stream to resume, `None` to start a new one.
    pub stream: Option<Blake3>,
    /// The offset of the chunk in bytes.
    pub offset: u64,
}

/// A chunk of a stream. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The hash of the whole stream.
    pub stream: Blake3,
    /// The length of the whole stream in bytes.
    #[serde(rename = "total")]
    pub total_bytes: u64,
    /// The offset of the chunk in bytes.
    pub offset: u64,
    /// Whether this is the last chunk of the response to one request, so that the receiver must request the
    /// next one.
    #[serde(rename = "last")]
    pub is_last_of_response: bool,
    /// The bytes of the chunk.
    #[serde(with = "byte_string")]
    pub bytes: Arc<[u8]>,
}

/// The limits of the response to one request.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLimits {
    /// The maximum length of a chunk, in bytes.
    pub chunk_bytes: usize,
    /// The maximum number of chunks.
    pub max_chunks: usize,
}

/// The header of a stream. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Serialize, Deserialize)]
struct StreamHeader {
    after: u64,
    #[serde(rename = "marks")]
    headers: Vec<EntryHeader>,
    bodies: Vec<BodyLength>,
}

/// The length of one body of a stream.
#[derive(Serialize, Deserialize)]
struct BodyLength {
    /// The index of the entry.
    index: u64,
    /// The length of the body in bytes.
    bytes: u64,
}

/// A stream at its source. The stream shares the bodies with the history.
#[derive(Debug)]
pub struct HistoryStream {
    hash: Blake3,
    total_bytes: usize,
    segments: Vec<Arc<[u8]>>,
}

impl HistoryStream {
    /// Creates the stream that carries a part of a history.
    pub fn new(suffix: HistorySuffix) -> HistoryStream {
        let length = |body: &EntryBody| BodyLength { index: body.index, bytes: body.bytes.len() as u64 };
        let bodies = suffix.bodies.iter().map(length).collect();
        let header = StreamHeader { after: suffix.after, headers: suffix.headers, bodies };
        let mut encoded = Vec::new();
        // Encoding these types into a vector does not fail.
        let written = ciborium::into_writer(&header, &mut encoded);
        debug_assert!(written.is_ok(), "cannot encode a stream header: {written:?}");
        let mut segments = vec![Arc::from(encoded)];
        segments.extend(suffix.bodies.into_iter().map(|body| body.bytes));
        let hash = Blake3::of_parts(segments.iter().map(|segment| segment.as_ref()));
        let total_bytes = segments.iter().map(|segment| segment.len()).sum();
        HistoryStream { hash, total_bytes, segments }
    }

    /// The requested chunk, or the first chunk if the request resumes a different stream.
    pub fn chunk(&self, request: ChunkRequest, max_bytes: usize) -> Chunk {
        let resumes = request.stream == Some(self.hash);
        let offset = usize::try_from(request.offset).unwrap_or(usize::MAX);
        let offset = if resumes { offset.min(self.total_bytes) } else { 0 };
        Chunk {
            stream: self.hash,
            total_bytes: self.total_bytes as u64,
            offset: offset as u64,
            is_last_of_response: true,
            bytes: self.bytes(offset, max_bytes).into(),
        }
    }

    /// The requested chunk and the following ones, as far as the limits allow.
    fn response(&self, request: ChunkRequest, limits: ResponseLimits) -> Vec<Chunk> {
        let mut chunks = vec![self.chunk(request, limits.chunk_bytes)];
        while chunks.len() < limits.max_chunks {
            let Some(previous) = chunks.last_mut() else { break };
            let offset = previous.offset + previous.bytes.len() as u64;
            if offset >= self.total_bytes as u64 {
                break;
            }
            previous.is_last_of_response = false;
            let next = ChunkRequest { stream: Some(self.hash), offset };
            chunks.push(self.chunk(next, limits.chunk_bytes));
        }
        chunks
    }

    /// At most `max_bytes` bytes of the stream from `offset` on.
    fn bytes(&self, mut offset: usize, max_bytes: usize) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(max_bytes.min(self.total_bytes - offset));
        for segment in &self.segments {
            let skipped = offset.min(segment.len());
            let rest = &segment[skipped..];
            bytes.extend_from_slice(&rest[..rest.len().min(max_bytes - bytes.len())]);
            offset -= skipped;
        }
        bytes
    }
}

/// A stream and the time of its last request.
#[derive(Debug)]
struct RetainedStream {
    stream: HistoryStream,
    requested_at: Duration,
}

/// The streams that a source has sent recently. They are retained so that a transfer completes even while the
/// history grows.
#[derive(Debug, Default)]
pub struct StreamCache {
    /// The streams, ordered by the time of their last request.
    streams: VecDeque<RetainedStream>,
}

impl StreamCache {
    /// Returns the chunks that answer a request. `make_suffix` returns the history to send if the requested
    /// stream is not retained.
    pub fn chunks(
        &mut self, now: Duration, request: ChunkRequest, limits: ResponseLimits,
        make_suffix: impl FnOnce() -> HistorySuffix,
    ) -> Vec<Chunk> {
        let is_requested = |retained: &RetainedStream| request.stream == Some(retained.stream.hash);
        let position = self.streams.iter().position(is_requested);
        let stream = match position.and_then(|position| self.streams.remove(position)) {
            Some(retained) => retained.stream,
            None => HistoryStream::new(make_suffix()),
        };
        let chunks = stream.response(request, limits);
        self.streams.retain(|retained| retained.stream.hash != stream.hash);
        self.streams.push_back(RetainedStream { stream, requested_at: now });
        if self.streams.len() > MAX_STREAMS {
            self.streams.pop_front();
        }
        chunks
    }

    /// Drops the streams that have not been requested recently.
    pub fn drop_idle(&mut self, now: Duration) {
        self.streams.retain(|retained| now < retained.requested_at + STREAM_TTL);
    }
}

/// The result of adding a chunk to the assembly of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum AssemblyProgress {
    /// The chunk was not the next one.
    Ignored,
    /// The next chunk is needed.
    Incomplete,
    /// The stream is complete.
    Complete(HistorySuffix),
    /// The stream does not match its hash, is too long or does not match the request. The assembly must be
    /// restarted.
    Corrupt,
}

/// A stream at its receiver.
#[derive(Debug)]
pub struct StreamAssembly {
    /// The index up to which the receiver held the committed history when the assembly started.
    pub after: u64,
    stream: Option<Blake3>,
    bytes: Vec<u8>,
}

impl StreamAssembly {
    /// Creates an assembly without chunks.
    pub fn new(after: u64) -> StreamAssembly {
        StreamAssembly { after, stream: None, bytes: Vec::new() }
    }

    /// The request for the next chunk.
    pub fn next_request(&self) -> ChunkRequest {
        ChunkRequest { stream: self.stream, offset: self.bytes.len() as u64 }
    }

    /// Adds a chunk. The first chunk of a different stream restarts the assembly.
    pub fn add(&mut self, chunk: &Chunk) -> AssemblyProgress {
        if chunk.total_bytes > MAX_STREAM_BYTES {
            return AssemblyProgress::Corrupt;
        }
        if self.stream != Some(chunk.stream) {
            if chunk.offset != 0 {
                return AssemblyProgress::Ignored;
            }
            self.stream = Some(chunk.stream);
            self.bytes.clear();
        }
        if chunk.offset != self.bytes.len() as u64 || chunk.bytes.is_empty() {
            return AssemblyProgress::Ignored;
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        let received_bytes = self.bytes.len() as u64;
        if received_bytes < chunk.total_bytes {
            return AssemblyProgress::Incomplete;
        }
        let is_intact = received_bytes == chunk.total_bytes && Blake3::of(&self.bytes) == chunk.stream;
        match decode(&self.bytes).filter(|suffix| is_intact && suffix.after == self.after) {
            Some(suffix) => AssemblyProgress::Complete(suffix),
            None => AssemblyProgress::Corrupt,
        }
    }
}

/// Decodes a complete stream. `None` if its header cannot be decoded or its length differs from the one that
/// the header states.
fn decode(mut stream: &[u8]) -> Option<HistorySuffix> {
    let header: StreamHeader = ciborium::from_reader(&mut stream).ok()?;
    let mut bodies = Vec::new();
    for BodyLength { index, bytes } in header.bodies {
        let (bytes, rest) = stream.split_at_checked(usize::try_from(bytes).ok()?)?;
        bodies.push(EntryBody { index, bytes: bytes.into() });
        stream = rest;
    }
    let StreamHeader { after, headers, .. } = header;
    stream.is_empty().then_some(HistorySuffix { after, headers, bodies })
}
