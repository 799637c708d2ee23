//! How long a message's body is. Guards against messages that say it in two ways, by which a request could be smuggled inside
//! another one.

use crate::http::head::{Headers, RequestHead, ResponseHead};

/// The most digits of a length.
const MAX_LENGTH_DIGITS: usize = 15;

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    Empty,
    /// After so many bytes.
    Length(u64),
    /// After a chunk of no bytes.
    Chunked,
    /// With the orderly end of the connection; responses only.
    UntilEnd,
}

/// The end of a body can't be told for sure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the length of the body is not clear")]
pub struct FramingError;

/// The framing of a request's body.
pub fn request_framing(head: &RequestHead) -> Result<Framing, FramingError> {
    match (is_chunked(&head.headers, head.is_http10)?, length(&head.headers)?) {
        (true, None) => Ok(Framing::Chunked),
        (true, Some(_)) => Err(FramingError),
        (false, None | Some(0)) => Ok(Framing::Empty),
        (false, Some(length)) => Ok(Framing::Length(length)),
    }
}

/// The framing of a response's body. Without a length it ends with the connection: complete at an orderly end, broken off at a
/// reset.
pub fn response_framing(head: &ResponseHead, to_head: bool) -> Result<Framing, FramingError> {
    let (chunked, length) = (is_chunked(&head.headers, head.is_http10)?, length(&head.headers)?);
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
    let alone = values.next().is_none();
    if alone && !is_http10 && value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
        Ok(true)
    } else {
        Err(FramingError)
    }
}

fn length(headers: &Headers) -> Result<Option<u64>, FramingError> {
    let mut values = headers.all("content-length");
    let Some(value) = values.next() else { return Ok(None) };
    let value = value.trim_ascii();
    let digits =
        !value.is_empty() && value.len() <= MAX_LENGTH_DIGITS && value.iter().all(u8::is_ascii_digit);
    if values.next().is_some() || !digits {
        return Err(FramingError);
    }
    let text = std::str::from_utf8(value).map_err(|_| FramingError)?;
    text.parse().map(Some).map_err(|_| FramingError)
}
