//! Incremental decoding of message bodies.

use crate::http::framing::Framing;
use bytes::{Buf, Bytes, BytesMut};

/// The maximum length of a chunk-size line with its extensions, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
/// The maximum number of hexadecimal digits in a chunk size, so that sizes are below 2^48 bytes.
const MAX_CHUNK_SIZE_DIGITS: usize = 12;
/// The maximum size of all trailers together, in bytes.
const MAX_TRAILER_BYTES: usize = 4 * 1024;

/// The bytes violate the framing that the head announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body violates the framing announced by its head")]
pub struct BodyError;

/// The result of a decoding step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// The next bytes of the body.
    Data(Bytes),
    /// Nothing could be decoded: more bytes have to be received.
    Pending,
    /// The body is complete.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// In a body with a known length, of which this many bytes remain.
    Length(u64),
    /// Before a chunk-size line.
    ChunkSize,
    /// In a chunk of which this many bytes remain.
    Chunk(u64),
    /// Before the CRLF after a chunk.
    ChunkEnd,
    /// In the trailers, of which this many bytes have been read.
    Trailers(usize),
    /// In a body that ends when the connection is closed.
    CloseDelimited,
    /// After the body.
    Done,
}

/// The decoder of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder {
    state: State,
}

impl BodyDecoder {
    /// Creates a decoder for a body with `framing`.
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::CloseDelimited => State::CloseDelimited,
        };
        BodyDecoder { state }
    }

    /// Handles the orderly close of the connection. Returns whether the close completes the body.
    pub fn end_of_stream(&mut self) -> bool {
        let completes = self.state == State::CloseDelimited;
        if completes {
            self.state = State::Done;
        }
        completes
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes the next bytes from the front of `buffer`.
    ///
    /// # Errors
    /// The bytes violate the framing, or a chunk-size line or the trailers are too long.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(Decoded::End),
                State::CloseDelimited if buffer.is_empty() => return Ok(Decoded::Pending),
                State::CloseDelimited => return Ok(Decoded::Data(buffer.split().freeze())),
                State::Length(remaining) => {
                    let Some((data, remaining)) = take(buffer, remaining) else {
                        return Ok(Decoded::Pending);
                    };
                    self.state = if remaining == 0 { State::Done } else { State::Length(remaining) };
                    return Ok(Decoded::Data(data));
                }
                State::Chunk(remaining) => {
                    let Some((data, remaining)) = take(buffer, remaining) else {
                        return Ok(Decoded::Pending);
                    };
                    self.state = if remaining == 0 { State::ChunkEnd } else { State::Chunk(remaining) };
                    return Ok(Decoded::Data(data));
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buffer, MAX_CHUNK_SIZE_LINE_BYTES)? else {
                        return Ok(Decoded::Pending);
                    };
                    let size = parse_chunk_size(&line)?;
                    self.state = if size == 0 { State::Trailers(0) } else { State::Chunk(size) };
                }
                State::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(Decoded::Pending);
                    }
                    if !buffer.starts_with(b"\r\n") {
                        return Err(BodyError);
                    }
                    buffer.advance(2);
                    self.state = State::ChunkSize;
                }
                State::Trailers(read_bytes) => {
                    let Some(line) = take_line(buffer, MAX_TRAILER_BYTES - read_bytes)? else {
                        return Ok(Decoded::Pending);
                    };
                    self.state = if line.is_empty() {
                        State::Done
                    } else {
                        State::Trailers(read_bytes + line.len() + 2)
                    };
                }
            }
        }
    }
}

/// Takes up to `remaining` bytes from the front of `buffer`. Returns them and the number of bytes that remain
/// after them, or `None` if the buffer is empty.
fn take(buffer: &mut BytesMut, remaining: u64) -> Option<(Bytes, u64)> {
    if buffer.is_empty() {
        return None;
    }
    let length = usize::try_from(remaining).unwrap_or(usize::MAX).min(buffer.len());
    Some((buffer.split_to(length).freeze(), remaining - length as u64))
}

/// Takes a line from the front of `buffer` and strips its CRLF. Returns `None` while the line is incomplete,
/// and an error if it is longer than `max` bytes or does not end with CRLF.
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

/// Parses the size in a chunk-size line. Extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_hex || digits.len() > MAX_CHUNK_SIZE_DIGITS {
        return Err(BodyError);
    }
    let text = std::str::from_utf8(digits).map_err(|_| BodyError)?;
    u64::from_str_radix(text, 16).map_err(|_| BodyError)
}
