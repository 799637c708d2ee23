//! Takes a body out of the bytes of a connection.

use crate::http::framing::Framing;
use bytes::{Buf, Bytes, BytesMut};

/// The longest line with a chunk's size, with its extensions, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// The most hex digits of a chunk's size.
const MAX_SIZE_DIGITS: usize = 12;
/// The most bytes of trailers.
const MAX_TRAILER_BYTES: usize = 4 * 1024;

/// The bytes are no body of the framing that was announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a broken body")]
pub struct BodyError;

/// What could be accepted from the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// The next bytes of the body.
    Data(Bytes),
    /// More bytes have to be read.
    More,
    /// The body is whole.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailers(usize),
    UntilEnd,
    Done,
}

/// The decoder of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder {
    state: State,
}

impl BodyDecoder {
    /// For a body of that framing.
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Size,
            Framing::UntilEnd => State::UntilEnd,
        };
        BodyDecoder { state }
    }

    /// The connection has come to its orderly end. Returns whether that completes the body.
    pub fn end(&mut self) -> bool {
        let completes = self.state == State::UntilEnd;
        if completes {
            self.state = State::Done;
        }
        completes
    }

    /// Whether the body is whole.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Takes what it can off the front of `buffer`.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(Decoded::End),
                State::UntilEnd if buffer.is_empty() => return Ok(Decoded::More),
                State::UntilEnd => return Ok(Decoded::Data(buffer.split().freeze())),
                State::Length(left) => {
                    let Some((data, left)) = take(buffer, left) else { return Ok(Decoded::More) };
                    self.state = if left == 0 { State::Done } else { State::Length(left) };
                    return Ok(Decoded::Data(data));
                }
                State::Chunk(left) => {
                    let Some((data, left)) = take(buffer, left) else { return Ok(Decoded::More) };
                    self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
                    return Ok(Decoded::Data(data));
                }
                State::Size => {
                    let Some(line) = line(buffer, MAX_SIZE_LINE_BYTES)? else { return Ok(Decoded::More) };
                    let size = chunk_size(&line)?;
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
                    self.state = State::Size;
                }
                State::Trailers(seen) => {
                    let Some(line) = line(buffer, MAX_TRAILER_BYTES - seen)? else {
                        return Ok(Decoded::More);
                    };
                    self.state =
                        if line.is_empty() { State::Done } else { State::Trailers(seen + line.len() + 2) };
                }
            }
        }
    }
}

/// Up to `left` bytes, and how many are left then.
fn take(buffer: &mut BytesMut, left: u64) -> Option<(Bytes, u64)> {
    if buffer.is_empty() {
        return None;
    }
    let length = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len());
    Some((buffer.split_to(length).freeze(), left - length as u64))
}

/// A line without its end.
fn line(buffer: &mut BytesMut, most: usize) -> Result<Option<BytesMut>, BodyError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > most { Err(BodyError) } else { Ok(None) };
    };
    if end == 0 || end > most || buffer.get(end - 1) != Some(&b'\r') {
        return Err(BodyError);
    }
    let mut line = buffer.split_to(end + 1);
    line.truncate(end - 1);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_hex || digits.len() > MAX_SIZE_DIGITS {
        return Err(BodyError);
    }
    let text = std::str::from_utf8(digits).map_err(|_| BodyError)?;
    u64::from_str_radix(text, 16).map_err(|_| BodyError)
}
