//! The framing of a body (RFC 9112, section 6.3), and how much of the body remains to be read.

use super::error::WireError;
use super::message::Headers;
use crate::header_names;

/// The remaining part of a body that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// This many bytes, according to `Content-Length`.
    Length(usize),
    /// A chunked body with this many bytes of the current chunk remaining; 0 before the size of the next
    /// chunk.
    Chunked(usize),
    /// A chunked body, before the line end after a chunk.
    ChunkEnd,
    /// All bytes until the connection is closed.
    UntilClose,
    /// Nothing: the body is complete.
    Done,
}

impl Framing {
    /// The framing of a request. A request without framing headers has no body.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] for an unknown transfer coding or an invalid length.
    pub fn of_request(headers: &Headers) -> Result<Framing, WireError> {
        Ok(Framing::from_headers(headers)?.unwrap_or(Framing::Done))
    }

    /// The framing of a response. Without framing headers the body ends when the connection is closed.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] for an unknown transfer coding or an invalid length.
    pub fn of_response(status: u16, headers: &Headers) -> Result<Framing, WireError> {
        if status < 200 || status == 204 || status == 304 {
            return Ok(Framing::Done);
        }
        Ok(Framing::from_headers(headers)?.unwrap_or(Framing::UntilClose))
    }

    /// What remains after `taken` more bytes were read.
    pub(super) fn after(self, taken: usize) -> Framing {
        match self {
            Framing::Length(remaining) if remaining <= taken => Framing::Done,
            Framing::Length(remaining) => Framing::Length(remaining - taken),
            Framing::Chunked(remaining) if remaining <= taken => Framing::ChunkEnd,
            Framing::Chunked(remaining) => Framing::Chunked(remaining - taken),
            other => other,
        }
    }

    fn from_headers(headers: &Headers) -> Result<Option<Framing>, WireError> {
        if headers.get(header_names::TRANSFER_ENCODING).is_some() {
            if !headers.has_token(header_names::TRANSFER_ENCODING, "chunked") {
                return Err(WireError::Malformed("unknown transfer coding"));
            }
            return Ok(Some(Framing::Chunked(0)));
        }
        match headers.get(header_names::CONTENT_LENGTH) {
            None => Ok(None),
            Some(text) => match text.trim().parse() {
                Ok(0) => Ok(Some(Framing::Done)),
                Ok(length) => Ok(Some(Framing::Length(length))),
                Err(_) => Err(WireError::Malformed("Content-Length is not a number")),
            },
        }
    }
}
