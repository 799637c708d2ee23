//! A history on its way to another replica, cut in chunks.
//!
//! The stream is a CBOR header with the headers and the lengths of the bodies, then the bodies themselves. It is named by
//! the hash over all of it, so that a chunk of another stream is never taken for one of this, and so that each source
//! that holds the same history can send the rest.

use crate::byte_string;
use crate::digest::Blake3;
use crate::entry::{EntryBody, EntryHeader, HistorySuffix};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// The longest stream that is taken in, in bytes: two configurations of 3 MB and 10,000 headers take 7 MB.
const MAX_STREAM_BYTES: u64 = 16 * 1024 * 1024;
/// As many streams as are kept for receivers that are at different places.
const MAX_STREAMS: usize = 4;
/// A stream that nobody has asked for in this time is dropped.
const KEPT_IDLE: Duration = Duration::from_secs(1);

/// Which chunk is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// The stream that was begun, if any.
    pub stream: Option<Blake3>,
    /// Where the chunk begins, in bytes.
    pub offset: u64,
}

/// How much is sent for one request.
#[derive(Clone, Copy, Debug)]
pub struct Portion {
    /// The longest chunk, in bytes.
    pub chunk_bytes: usize,
    /// How many chunks at most.
    pub chunks: usize,
}

/// A chunk of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The hash over the whole stream.
    pub stream: Blake3,
    /// The length of the whole stream in bytes.
    pub total: u64,
    /// Where the chunk begins, in bytes.
    pub offset: u64,
    /// Whether no other chunk comes with this one, so that the next must be asked for.
    pub last: bool,
    /// The chunk.
    #[serde(with = "byte_string")]
    pub bytes: Arc<[u8]>,
}

#[derive(Serialize, Deserialize)]
struct Header {
    after: u64,
    #[serde(rename = "marks")]
    headers: Vec<EntryHeader>,
    bodies: Vec<BodyLength>,
}

#[derive(Serialize, Deserialize)]
struct BodyLength {
    index: u64,
    bytes: u64,
}

/// A stream as its source holds it. The bodies are shared with the history.
#[derive(Debug)]
pub struct Stream {
    name: Blake3,
    total: usize,
    segments: Vec<Arc<[u8]>>,
}

impl Stream {
    /// The stream of a part of a history.
    pub fn new(suffix: HistorySuffix) -> Stream {
        let body = |body: &EntryBody| BodyLength { index: body.index, bytes: body.bytes.len() as u64 };
        let bodies = suffix.bodies.iter().map(body).collect();
        let header = Header { after: suffix.after, headers: suffix.headers, bodies };
        let mut encoded = Vec::new();
        // Writing to a vector fails for no value of these types.
        let written = ciborium::into_writer(&header, &mut encoded);
        debug_assert!(written.is_ok(), "a header that cannot be encoded: {written:?}");
        let mut segments = vec![Arc::from(encoded)];
        segments.extend(suffix.bodies.into_iter().map(|body| body.bytes));
        let name = Blake3::of_parts(segments.iter().map(|segment| segment.as_ref()));
        let total = segments.iter().map(|segment| segment.len()).sum();
        Stream { name, total, segments }
    }

    /// The chunk that begins at an offset; from the start for a receiver that has begun another stream.
    pub fn chunk(&self, wanted: ChunkRequest, longest: usize) -> Chunk {
        let same = wanted.stream == Some(self.name);
        let offset = usize::try_from(wanted.offset).unwrap_or(usize::MAX);
        let offset = if same { offset.min(self.total) } else { 0 };
        let bytes = self.bytes(offset, longest).into();
        Chunk { stream: self.name, total: self.total as u64, offset: offset as u64, last: true, bytes }
    }

    fn chunks(&self, wanted: ChunkRequest, portion: Portion) -> Vec<Chunk> {
        let mut chunks = vec![self.chunk(wanted, portion.chunk_bytes)];
        while chunks.len() < portion.chunks {
            let Some(previous) = chunks.last_mut() else { break };
            let offset = previous.offset + previous.bytes.len() as u64;
            if offset >= self.total as u64 {
                break;
            }
            previous.last = false;
            let next = ChunkRequest { stream: Some(self.name), offset };
            chunks.push(self.chunk(next, portion.chunk_bytes));
        }
        chunks
    }

    fn bytes(&self, mut offset: usize, longest: usize) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(longest.min(self.total - offset));
        for segment in &self.segments {
            let skipped = offset.min(segment.len());
            let rest = &segment[skipped..];
            bytes.extend_from_slice(&rest[..rest.len().min(longest - bytes.len())]);
            offset -= skipped;
        }
        bytes
    }
}

/// The streams that a source has lately sent chunks of.
#[derive(Debug, Default)]
pub struct Streams {
    held: VecDeque<(Duration, Stream)>,
}

impl Streams {
    /// The wanted chunk and those behind it; `make` gives the history if the stream is not held.
    pub fn chunks(
        &mut self, now: Duration, wanted: ChunkRequest, portion: Portion,
        make: impl FnOnce() -> HistorySuffix,
    ) -> Vec<Chunk> {
        let position = self.held.iter().position(|(_, stream)| wanted.stream == Some(stream.name));
        let stream = match position.and_then(|position| self.held.remove(position)) {
            Some((_, stream)) => stream,
            None => Stream::new(make()),
        };
        let chunks = stream.chunks(wanted, portion);
        self.held.retain(|(_, held)| held.name != stream.name);
        self.held.push_back((now, stream));
        if self.held.len() > MAX_STREAMS {
            self.held.pop_front();
        }
        chunks
    }

    /// Drops what nobody asks for any more.
    pub fn drop_idle(&mut self, now: Duration) {
        self.held.retain(|(asked, _)| now < *asked + KEPT_IDLE);
    }
}

/// What came of a chunk.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// It was not the one that was wanted.
    Ignored,
    /// The next chunk is wanted.
    Continues,
    /// All chunks are there.
    Complete(HistorySuffix),
    /// The stream is not what its name says, or too long. Begin again.
    Broken,
}

/// A stream as its receiver puts it together.
#[derive(Debug)]
pub struct Assembly {
    /// The receiver held the committed history up to this entry when it began.
    pub after: u64,
    stream: Option<Blake3>,
    bytes: Vec<u8>,
}

impl Assembly {
    /// Nothing was received yet.
    pub fn new(after: u64) -> Assembly {
        Assembly { after, stream: None, bytes: Vec::new() }
    }

    /// The chunk that is wanted next.
    pub fn wanted(&self) -> ChunkRequest {
        ChunkRequest { stream: self.stream, offset: self.bytes.len() as u64 }
    }

    /// Takes a chunk in.
    pub fn take(&mut self, chunk: &Chunk) -> Progress {
        if chunk.total > MAX_STREAM_BYTES {
            return Progress::Broken;
        }
        if self.stream != Some(chunk.stream) {
            if chunk.offset != 0 {
                return Progress::Ignored;
            }
            self.stream = Some(chunk.stream);
            self.bytes.clear();
        }
        if chunk.offset != self.bytes.len() as u64 || chunk.bytes.is_empty() {
            return Progress::Ignored;
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        let length = self.bytes.len() as u64;
        if length < chunk.total {
            return Progress::Continues;
        }
        let sound = length == chunk.total && Blake3::of(&self.bytes) == chunk.stream;
        match decode(&self.bytes).filter(|suffix| sound && suffix.after == self.after) {
            Some(suffix) => Progress::Complete(suffix),
            None => Progress::Broken,
        }
    }
}

fn decode(mut stream: &[u8]) -> Option<HistorySuffix> {
    let header: Header = ciborium::from_reader(&mut stream).ok()?;
    let mut bodies = Vec::new();
    for BodyLength { index, bytes } in header.bodies {
        let (bytes, rest) = stream.split_at_checked(usize::try_from(bytes).ok()?)?;
        bodies.push(EntryBody { index, bytes: bytes.into() });
        stream = rest;
    }
    let Header { after, headers, .. } = header;
    stream.is_empty().then_some(HistorySuffix { after, headers, bodies })
}
