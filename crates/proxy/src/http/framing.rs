//! The framing of message bodies (RFC 9112, section 6). Messages with ambiguous framing are rejected, since
//! they allow request smuggling: a peer that interprets them differently would read part of a body as another
//! request.

use crate::http::head::{Headers, RequestHead, ResponseHead};

/// The maximum number of digits in a `Content-Length`, so that lengths are below 10^15 bytes.
const MAX_CONTENT_LENGTH_DIGITS: usize = 15;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    Empty,
    /// The body ends after this many bytes.
    Length(u64),
    /// The body is chunked and ends with an empty chunk.
    Chunked,
    /// The body ends with the orderly close of the connection. Responses only.
    CloseDelimited,
}

/// The framing is ambiguous or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the message framing is ambiguous or invalid")]
pub struct FramingError;

/// Determines the framing of the body of a request.
pub fn request_framing(head: &RequestHead) -> Result<Framing, FramingError> {
    match (is_chunked(&head.headers, head.is_http10)?, content_length(&head.headers)?) {
        (true, None) => Ok(Framing::Chunked),
        (true, Some(_)) => Err(FramingError),
        (false, None | Some(0)) => Ok(Framing::Empty),
        (false, Some(length)) => Ok(Framing::Length(length)),
    }
}

/// Determines the framing of the body of a response; `to_head` is set for the response to a `HEAD` request. A
/// body without a length is delimited by the close of the connection: it is complete after an orderly close
/// and truncated after a reset.
pub fn response_framing(head: &ResponseHead, to_head: bool) -> Result<Framing, FramingError> {
    let (chunked, length) = (is_chunked(&head.headers, head.is_http10)?, content_length(&head.headers)?);
    if to_head || matches!(head.status, 204 | 304) {
        return Ok(Framing::Empty);
    }
    match (chunked, length) {
        (true, None) => Ok(Framing::Chunked),
        (false, Some(0)) => Ok(Framing::Empty),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::CloseDelimited),
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
        !value.is_empty() && value.len() <= MAX_CONTENT_LENGTH_DIGITS && value.iter().all(u8::is_ascii_digit);
    if values.next().is_some() || !is_number {
        return Err(FramingError);
    }
    let text = std::str::from_utf8(value).map_err(|_| FramingError)?;
    text.parse().map(Some).map_err(|_| FramingError)
}
