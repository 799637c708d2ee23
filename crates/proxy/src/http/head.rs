//! The heads of requests and responses, stored as raw bytes and the spans of their fields.

use bytes::{Bytes, BytesMut};
use lugwharf_http_head::{has_ambiguous_end, is_field_value, is_status_code, is_token};

/// The number of header fields for which a head is parsed without an allocation. Few heads have more.
const COMMON_FIELDS: usize = 96;
/// The size of the shortest field: a name of one byte, a colon and the line end.
const MIN_FIELD_BYTES: usize = 4;

/// Why a head was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The bytes are not a head of an HTTP/1 message, a field has an invalid name or value, the end of the head
    /// is ambiguous, or the status code is not from 100 to 599.
    #[error("not a valid HTTP/1 message head")]
    Malformed,
}

/// A range in the raw bytes of a head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Span {
    start: u32,
    end: u32,
}

/// The header fields of a head, in order.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    /// The raw bytes of the complete head.
    raw: Bytes,
    /// The name and the value of each field.
    fields: Vec<(Span, Span)>,
}

impl Headers {
    fn bytes(&self, span: Span) -> &[u8] {
        self.raw.get(span.start as usize..span.end as usize).unwrap_or_default()
    }

    /// Returns the size of the complete head, in bytes.
    pub fn size(&self) -> usize {
        self.raw.len()
    }

    fn text(&self, span: Span) -> &str {
        std::str::from_utf8(self.bytes(span)).unwrap_or_default()
    }

    /// Iterates over the names and values of all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| (self.text(*name), self.bytes(*value)))
    }

    /// Iterates over the values of all fields with a name, in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.iter().filter(move |(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns the value of the first field with a name.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter().find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns the trimmed value of the first field with a name, or `None` if there is no such field or its
    /// value is not valid UTF-8.
    pub fn get_text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// Returns whether there is a field with a name.
    pub fn has(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Returns whether one of the comma-separated items of the fields with a name equals `token`, ignoring
    /// case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }
}

/// The head of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// The header fields.
    pub headers: Headers,
    method: Span,
    target: Span,
    /// Whether the message is HTTP/1.0.
    pub is_http10: bool,
}

impl RequestHead {
    /// Returns the method.
    pub fn method(&self) -> &str {
        self.headers.text(self.method)
    }

    /// Returns the path with its query, as it was sent.
    pub fn target(&self) -> &str {
        self.headers.text(self.target)
    }

    /// Returns whether the client wants the connection to be closed after the response.
    pub fn wants_close(&self) -> bool {
        self.is_http10 || self.headers.has_token("connection", "close")
    }
}

/// The head of a response.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// The header fields.
    pub headers: Headers,
    /// The status code.
    pub status: u16,
    reason: Span,
    /// Whether the message is HTTP/1.0.
    pub is_http10: bool,
}

impl ResponseHead {
    /// Returns the reason phrase.
    pub fn reason(&self) -> &str {
        self.headers.text(self.reason)
    }

    /// Returns whether the server closes the connection after this response.
    pub fn closes_connection_after(&self) -> bool {
        self.is_http10 || self.headers.has_token("connection", "close")
    }

    /// Returns whether the status code is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Parses the head of a request and removes it from the front of `buffer`. Returns `None` while the head is
/// incomplete.
///
/// # Errors
/// The head is invalid. See [`HeadError`].
pub fn parse_request(buffer: &mut BytesMut) -> Result<Option<RequestHead>, HeadError> {
    let Some((length, mut head)) = parse_with_fields(buffer, parse_request_bytes)? else { return Ok(None) };
    head.headers.raw = buffer.split_to(length).freeze();
    Ok(Some(head))
}

/// Parses the head of a request. Returns its length and the head without its raw bytes.
fn parse_request_bytes<'a>(
    bytes: &'a [u8], fields: &mut [httparse::Header<'a>],
) -> Result<Option<(usize, RequestHead)>, ParseError> {
    let mut request = httparse::Request::new(fields);
    let httparse::Status::Complete(length) = request.parse(bytes)? else { return Ok(None) };
    if has_bare_newline(bytes.get(..length).unwrap_or_default()) {
        return Err(ParseError::Malformed);
    }
    let base = bytes.as_ptr() as usize;
    let method = span(base, request.method.unwrap_or_default().as_bytes());
    let target = span(base, request.path.unwrap_or_default().as_bytes());
    let is_http10 = request.version == Some(0);
    let headers = Headers { raw: Bytes::new(), fields: spans(base, request.headers)? };
    Ok(Some((length, RequestHead { headers, method, target, is_http10 })))
}

/// Parses the head of a response and removes it from the front of `buffer`. Returns `None` while the head is
/// incomplete.
///
/// # Errors
/// The head is invalid. See [`HeadError`].
pub fn parse_response(buffer: &mut BytesMut) -> Result<Option<ResponseHead>, HeadError> {
    let Some((length, mut head)) = parse_with_fields(buffer, parse_response_bytes)? else { return Ok(None) };
    head.headers.raw = buffer.split_to(length).freeze();
    Ok(Some(head))
}

/// Parses the head of a response. Returns its length and the head without its raw bytes.
fn parse_response_bytes<'a>(
    bytes: &'a [u8], fields: &mut [httparse::Header<'a>],
) -> Result<Option<(usize, ResponseHead)>, ParseError> {
    let mut response = httparse::Response::new(fields);
    let httparse::Status::Complete(length) = response.parse(bytes)? else { return Ok(None) };
    if has_ambiguous_end(bytes.get(..length).unwrap_or_default()) {
        return Err(ParseError::Malformed);
    }
    let base = bytes.as_ptr() as usize;
    let reason = span(base, response.reason.unwrap_or_default().as_bytes());
    let status = response.code.filter(|code| is_status_code(*code)).ok_or(ParseError::Malformed)?;
    let is_http10 = response.version == Some(0);
    let headers = Headers { raw: Bytes::new(), fields: spans(base, response.headers)? };
    Ok(Some((length, ResponseHead { headers, status, reason, is_http10 })))
}

/// Why one pass over the bytes of a head failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ParseError {
    Malformed,
    /// The head has more fields than there was room for.
    NoRoom,
}

impl From<httparse::Error> for ParseError {
    fn from(error: httparse::Error) -> ParseError {
        match error {
            httparse::Error::TooManyHeaders => ParseError::NoRoom,
            _ => ParseError::Malformed,
        }
    }
}

/// Calls `parse` with room for [`COMMON_FIELDS`] fields and, if these are not enough, with room for as many as
/// the bytes can hold. The size of a head bounds the number of its fields, and nothing else does.
fn parse_with_fields<'a, T>(
    bytes: &'a [u8], parse: impl Fn(&'a [u8], &mut [httparse::Header<'a>]) -> Result<T, ParseError>,
) -> Result<T, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; COMMON_FIELDS];
    let mut parsed = parse(bytes, &mut fields);
    if matches!(parsed, Err(ParseError::NoRoom)) {
        let mut fields = vec![httparse::EMPTY_HEADER; bytes.len() / MIN_FIELD_BYTES + 1];
        parsed = parse(bytes, &mut fields);
    }
    parsed.map_err(|_| HeadError::Malformed)
}

/// Returns whether a line ends with LF alone. Peers interpret such lines differently, which allows request
/// smuggling.
fn has_bare_newline(head: &[u8]) -> bool {
    head.windows(2).any(|pair| pair[1] == b'\n' && pair[0] != b'\r') || head.first() == Some(&b'\n')
}

/// Returns the span of `part` in the buffer that starts at address `base`. An empty part gets an empty span,
/// since it need not lie in the buffer.
fn span(base: usize, part: &[u8]) -> Span {
    if part.is_empty() {
        return Span::default();
    }
    let start = (part.as_ptr() as usize).saturating_sub(base);
    Span { start: start as u32, end: (start + part.len()) as u32 }
}

/// Returns the spans of the names and values of `fields`. Their bytes are checked here as well, since the parser
/// has different code for each processor architecture.
fn spans(base: usize, fields: &[httparse::Header<'_>]) -> Result<Vec<(Span, Span)>, ParseError> {
    if !fields.iter().all(|field| is_token(field.name) && is_field_value(field.value)) {
        return Err(ParseError::Malformed);
    }
    let field_spans = fields.iter().map(|field| (span(base, field.name.as_bytes()), span(base, field.value)));
    Ok(field_spans.collect())
}
