//! The framing of bodies (RFC 9112, section 6). Messages with ambiguous framing are rejected: a peer that reads them differently
//! would see another request inside the body (request smuggling).

use crate::http::head::{Headers, RequestHead, ResponseHead};

/// The most digits of a `Content-Length`.
const MAX_LENGTH_DIGITS: usize = 15;

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// After this many bytes.
    Length(u64),
    /// With an empty chunk.
    Chunked,
    /// With the orderly close of the connection; responses only.
    UntilEnd,
}

/// The framing is ambiguous or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the length of the body is ambiguous")]
pub struct FramingError;

/// The framing of a request's body.
pub fn request_framing(head: &RequestHead) -> Result<Framing, FramingError> {
    match (is_chunked(&head.headers, head.is_http10)?, content_length(&head.headers)?) {
        (true, None) => Ok(Framing::Chunked),
        (true, Some(_)) => Err(FramingError),
        (false, None | Some(0)) => Ok(Framing::Empty),
        (false, Some(length)) => Ok(Framing::Length(length)),
    }
}

/// The framing of a response's body; `to_head` for the response to a `HEAD` request. Without a length the body ends with the
/// connection: it is complete at an orderly close, and broken off at a reset.
pub fn response_framing(head: &ResponseHead, to_head: bool) -> Result<Framing, FramingError> {
    let (chunked, length) = (is_chunked(&head.headers, head.is_http10)?, content_length(&head.headers)?);
    if to_head || matches!(head.status, 204 | 304) {
        return Ok(Framing::Empty);
    }
    match (chunked, length) {
        (true, None) => Ok(Framing::Chunked),
        (false, Some(0)) => Ok(Framing::Empty),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::UntilEnd),
        (true, Some(_)) => Err(FramingError),
    }
}

fn is_chunked(headers: &Headers, is_http10: bool) -> Result<bool, FramingError> {
    let mut values = headers.all("transfer-encoding");
    let Some(value) = values.next() else { return Ok(false) };
    let is_only = values.next().is_none();
    if is_only && !is_http10 && value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
        Ok(true)
    } else {
        Err(FramingError)
    }
}

fn content_length(headers: &Headers) -> Result<Option<u64>, FramingError> {
    let mut values = headers.all("content-length");
    let Some(value) = values.next() else { return Ok(None) };
    let value = value.trim_ascii();
    let is_number =
        !value.is_empty() && value.len() <= MAX_LENGTH_DIGITS && value.iter().all(u8::is_ascii_digit);
    if values.next().is_some() || !is_number {
        return Err(FramingError);
    }
    let text = std::str::from_utf8(value).map_err(|_| FramingError)?;
    text.parse().map(Some).map_err(|_| FramingError)
}
