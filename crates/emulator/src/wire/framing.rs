//! How a body is delimited (RFC 9112, section 6.3), and what is left of it.

use super::error::WireError;
use super::message::Headers;
use crate::header_names;

/// What is left of a body that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes, as `Content-Length` says.
    Length(usize),
    /// A chunked body; so many bytes of the current chunk are left. 0 stands before the next chunk's size.
    Chunked(usize),
    /// A chunked body; the line end behind a chunk is due.
    ChunkEnd,
    /// Everything until the connection is closed.
    UntilClose,
    /// Nothing.
    Done,
}

impl Framing {
    /// The framing of a request; without headers for it there is no body.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] for an unknown transfer coding or an invalid length.
    pub fn of_request(headers: &Headers) -> Result<Framing, WireError> {
        Ok(Framing::from_headers(headers)?.unwrap_or(Framing::Done))
    }

    /// The framing of a response; without headers for it the body lasts until the connection is closed.
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

    /// What is left after so many more bytes.
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
        if headers.get(header_names::TRANSFER_ENCODING).is_some() {
            if !headers.has_token(header_names::TRANSFER_ENCODING, "chunked") {
                return Err(WireError::Malformed("an unknown transfer encoding"));
            }
            return Ok(Some(Framing::Chunked(0)));
        }
        match headers.get(header_names::CONTENT_LENGTH) {
            None => Ok(None),
            Some(text) => match text.trim().parse() {
                Ok(0) => Ok(Some(Framing::Done)),
                Ok(length) => Ok(Some(Framing::Length(length))),
                Err(_) => Err(WireError::Malformed("a content length that is no number")),
            },
        }
    }
}
