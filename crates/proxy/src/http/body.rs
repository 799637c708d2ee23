//! Decodes bodies from the bytes of a connection.

use crate::http::framing::Framing;
use bytes::{Buf, Bytes, BytesMut};

/// The longest line of a chunk's size, with its extensions, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// The most hex digits of a chunk's size.
const MAX_SIZE_DIGITS: usize = 12;
/// The size of all trailers, in bytes.
const MAX_TRAILER_BYTES: usize = 4 * 1024;

/// The bytes do not follow the framing that was announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body does not follow its framing")]
pub struct BodyError;

/// What was decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// The next bytes of the body.
    Data(Bytes),
    /// Nothing: more bytes have to be received.
    More,
    /// The body is complete.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// In a body with so many bytes left.
    Length(u64),
    /// Before the size of a chunk.
    ChunkSize,
    /// In a chunk with so many bytes left.
    Chunk(u64),
    /// Before the line end behind a chunk.
    ChunkEnd,
    /// In the trailers, of which so many bytes were read.
    Trailers(usize),
    /// In a body that ends with the connection.
    UntilEnd,
    /// Behind the body.
    Done,
}

/// Decodes one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder {
    state: State,
}

impl BodyDecoder {
    /// A decoder for a body with that framing.
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilEnd => State::UntilEnd,
        };
        BodyDecoder { state }
    }

    /// The connection was closed in an orderly way. Returns whether that completes the body.
    pub fn end_of_stream(&mut self) -> bool {
        let completes = self.state == State::UntilEnd;
        if completes {
            self.state = State::Done;
        }
        completes
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes the next bytes from the front of `buffer`.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(Decoded::End),
                State::UntilEnd if buffer.is_empty() => return Ok(Decoded::More),
                State::UntilEnd => return Ok(Decoded::Data(buffer.split().freeze())),
                State::Length(remaining) => {
                    let Some((data, remaining)) = take(buffer, remaining) else { return Ok(Decoded::More) };
                    self.state = if remaining == 0 { State::Done } else { State::Length(remaining) };
                    return Ok(Decoded::Data(data));
                }
                State::Chunk(remaining) => {
                    let Some((data, remaining)) = take(buffer, remaining) else { return Ok(Decoded::More) };
                    self.state = if remaining == 0 { State::ChunkEnd } else { State::Chunk(remaining) };
                    return Ok(Decoded::Data(data));
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buffer, MAX_SIZE_LINE_BYTES)? else {
                        return Ok(Decoded::More);
                    };
                    let size = parse_chunk_size(&line)?;
                    self.state = if size == 0 { State::Trailers(0) } else { State::Chunk(size) };
                }
                State::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(Decoded::More);
                    }
                    if !buffer.starts_with(b"\r\n") {
                        return Err(BodyError);
                    }
                    buffer.advance(2);
                    self.state = State::ChunkSize;
                }
                State::Trailers(seen) => {
                    let Some(line) = take_line(buffer, MAX_TRAILER_BYTES - seen)? else {
                        return Ok(Decoded::More);
                    };
                    self.state =
                        if line.is_empty() { State::Done } else { State::Trailers(seen + line.len() + 2) };
                }
            }
        }
    }
}

/// Takes up to `remaining` bytes; returns them and how many remain then.
fn take(buffer: &mut BytesMut, remaining: u64) -> Option<(Bytes, u64)> {
    if buffer.is_empty() {
        return None;
    }
    let length = usize::try_from(remaining).unwrap_or(usize::MAX).min(buffer.len());
    Some((buffer.split_to(length).freeze(), remaining - length as u64))
}

/// Takes a line, without its CRLF, of at most `max` bytes; `None` while it is incomplete.
fn take_line(buffer: &mut BytesMut, max: usize) -> Result<Option<BytesMut>, BodyError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > max { Err(BodyError) } else { Ok(None) };
    };
    if end == 0 || end > max || buffer.get(end - 1) != Some(&b'\r') {
        return Err(BodyError);
    }
    let mut line = buffer.split_to(end + 1);
    line.truncate(end - 1);
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_hex || digits.len() > MAX_SIZE_DIGITS {
        return Err(BodyError);
    }
    let text = std::str::from_utf8(digits).map_err(|_| BodyError)?;
    u64::from_str_radix(text, 16).map_err(|_| BodyError)
}
