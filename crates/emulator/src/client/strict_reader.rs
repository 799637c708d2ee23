//! A strict reader of the responses that the proxy sends to HTTP/1.1 clients, which shares no code with the
//! proxy or with [`crate::wire`].
//!
//! It accepts what RFC 9110 and RFC 9112 require of a sender: `CRLF` at the end of each line, a final status,
//! field names that are tokens, and exactly one framing of the body.

use crate::wire::Headers;
use tokio::io::{AsyncRead, AsyncReadExt};

/// The maximum size of a head or of a chunk-size line, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Why no further bytes of a response can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection ended, in order or by a reset.
    Ended,
    /// The received bytes violate the protocol.
    Malformed(&'static str),
}

/// The rest of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemainingBody {
    /// A number of bytes.
    Length(usize),
    /// Chunks up to the last chunk.
    Chunks,
}

/// The head of a response.
#[derive(Debug)]
pub struct ResponseHead {
    /// The status, 200 to 599.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// The body that follows.
    pub body: RemainingBody,
}

/// Reads the responses on one connection.
pub struct StrictReader<R> {
    stream: R,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> StrictReader<R> {
    /// Creates a reader of the responses on a connection.
    pub fn new(stream: R) -> StrictReader<R> {
        StrictReader { stream, buffer: Vec::new() }
    }

    /// Reads the head of the next response.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ReadError> {
        let head = self.read_until(b"\r\n\r\n").await?;
        parse_head(&head)
    }

    /// Reads the next bytes of a body; `None` at its end. `body` tracks what remains.
    pub async fn read_piece(&mut self, body: &mut RemainingBody) -> Result<Option<Vec<u8>>, ReadError> {
        match body {
            RemainingBody::Length(0) => Ok(None),
            RemainingBody::Length(remaining) => {
                self.fill_if_empty().await?;
                let taken = (*remaining).min(self.buffer.len());
                *remaining -= taken;
                Ok(Some(self.buffer.drain(..taken).collect()))
            }
            RemainingBody::Chunks => self.read_chunk().await,
        }
    }

    async fn read_chunk(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        let line = self.read_until(b"\r\n").await?;
        let is_hexadecimal = !line.is_empty() && line.iter().all(u8::is_ascii_hexdigit);
        let size = std::str::from_utf8(&line).ok().and_then(|line| usize::from_str_radix(line, 16).ok());
        let size = size.filter(|_| is_hexadecimal).ok_or(ReadError::Malformed("invalid chunk size"))?;
        let mut data = self.read_exactly(size + 2).await?;
        if !data.ends_with(b"\r\n") {
            return Err(ReadError::Malformed("no line end behind a chunk"));
        }
        data.truncate(size);
        Ok((size > 0).then_some(data))
    }

    /// Reads up to `end`, which is not returned.
    async fn read_until(&mut self, end: &[u8]) -> Result<Vec<u8>, ReadError> {
        loop {
            if let Some(at) = self.buffer.windows(end.len()).position(|window| window == end) {
                let mut bytes: Vec<u8> = self.buffer.drain(..at + end.len()).collect();
                bytes.truncate(at);
                return Ok(bytes);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ReadError::Malformed("a head or a line without an end"));
            }
            self.fill().await?;
        }
    }

    async fn read_exactly(&mut self, length: usize) -> Result<Vec<u8>, ReadError> {
        while self.buffer.len() < length {
            self.fill().await?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn fill_if_empty(&mut self) -> Result<(), ReadError> {
        if self.buffer.is_empty() { self.fill().await } else { Ok(()) }
    }

    async fn fill(&mut self) -> Result<(), ReadError> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(ReadError::Ended),
            Ok(_) => Ok(()),
        }
    }
}

fn parse_head(head: &[u8]) -> Result<ResponseHead, ReadError> {
    // Bytes above 0x7F are opaque (RFC 9110, section 5.5), so each becomes a character.
    let head: String = head.iter().copied().map(char::from).collect();
    let mut lines = head.split("\r\n");
    let status = parse_status(lines.next().unwrap_or_default())?;
    let mut headers = Headers::new();
    for line in lines {
        let (name, value) = parse_field(line)?;
        headers.push(name, value);
    }
    let body = parse_framing(status, &headers)?;
    Ok(ResponseHead { status, headers, body })
}

fn parse_status(line: &str) -> Result<u16, ReadError> {
    let rest = line.strip_prefix("HTTP/1.1 ").ok_or(ReadError::Malformed("invalid version"))?;
    let (code, _) = rest.split_once(' ').ok_or(ReadError::Malformed("no space behind the status"))?;
    let is_code = code.len() == 3 && code.bytes().all(|byte| byte.is_ascii_digit());
    let status = code.parse().ok().filter(|status| is_code && (200..600).contains(status));
    status.ok_or(ReadError::Malformed("invalid final status"))
}

fn parse_field(line: &str) -> Result<(&str, &str), ReadError> {
    let (name, value) = line.split_once(':').ok_or(ReadError::Malformed("a field without a colon"))?;
    let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    if name.is_empty() || !name.bytes().all(is_name_byte) {
        return Err(ReadError::Malformed("a field name is not a token"));
    }
    let value = value.trim_matches([' ', '\t']);
    if value.bytes().any(|byte| byte.is_ascii_control() && byte != b'\t') {
        return Err(ReadError::Malformed("a control byte in a field value"));
    }
    Ok((name, value))
}

fn parse_framing(status: u16, headers: &Headers) -> Result<RemainingBody, ReadError> {
    let count = |wanted: &str| headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case(wanted)).count();
    match (count("content-length"), count("transfer-encoding")) {
        (_, 0) if matches!(status, 204 | 304) => Ok(RemainingBody::Length(0)),
        (1, 0) => {
            let length = headers.get("content-length").and_then(|length| length.parse().ok());
            length.map(RemainingBody::Length).ok_or(ReadError::Malformed("invalid length"))
        }
        (0, 1) if headers.get("transfer-encoding") == Some("chunked") => Ok(RemainingBody::Chunks),
        _ => Err(ReadError::Malformed("not exactly one framing")),
    }
}
