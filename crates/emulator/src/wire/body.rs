//! How the end of a body is told.

use super::connection::WireError;
use super::message::Headers;
use crate::names;

/// What is left of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(usize),
    /// Chunks; so many bytes of the current one are left.
    Chunked(usize),
    /// The line end behind a chunk, then chunks.
    ChunkEnd,
    /// Whatever comes until the connection ends.
    UntilClose,
    /// Nothing.
    Done,
}

impl Framing {
    /// The framing that a request's headers tell.
    pub fn of_request(headers: &Headers) -> Result<Framing, WireError> {
        Ok(Framing::from_headers(headers)?.unwrap_or(Framing::Done))
    }

    /// The framing that a response's headers tell.
    pub fn of_response(status: u16, headers: &Headers) -> Result<Framing, WireError> {
        if status < 200 || status == 204 || status == 304 {
            return Ok(Framing::Done);
        }
        Ok(Framing::from_headers(headers)?.unwrap_or(Framing::UntilClose))
    }

    /// What is left after so many bytes more.
    pub(super) fn after(self, taken: usize) -> Framing {
        match self {
            Framing::Length(left) if left <= taken => Framing::Done,
            Framing::Length(left) => Framing::Length(left - taken),
            Framing::Chunked(left) if left <= taken => Framing::ChunkEnd,
            Framing::Chunked(left) => Framing::Chunked(left - taken),
            other => other,
        }
    }

    fn from_headers(headers: &Headers) -> Result<Option<Framing>, WireError> {
        if headers.get(names::TRANSFER_ENCODING).is_some() {
            if !headers.has_token(names::TRANSFER_ENCODING, "chunked") {
                return Err(WireError::Malformed("an unknown transfer encoding"));
            }
            return Ok(Some(Framing::Chunked(0)));
        }
        match headers.get(names::CONTENT_LENGTH) {
            None => Ok(None),
            Some(text) => match text.trim().parse() {
                Ok(0) => Ok(Some(Framing::Done)),
                Ok(length) => Ok(Some(Framing::Length(length))),
                Err(_) => Err(WireError::Malformed("a content length that is no number")),
            },
        }
    }
}
