//! Writes responses to a client.

use crate::http::{RequestHead, ResponseHead, chunk, field, is_hop_by_hop, last_chunk, length_field, number};
use crate::inbound::error_response::RequestError;
use crate::state::ProxyState;
use crate::telemetry::request_trace::RequestTrace;
use lugwharf_invariants::{Invariant, check};
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::time::{Instant, timeout_at};

/// How long a client may leave a response unread beyond the deadline of its request.
const UNREAD_GRACE: Duration = Duration::from_millis(200);
/// The least time to write an error, or a complete response that is late anyway.
const MIN_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The response is complete, and the connection may carry another request.
    Complete,
    /// The response is complete, and the connection closes behind it.
    CompleteAndClose,
    /// The response is not complete.
    Incomplete,
}

/// How a body is framed to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEncoding {
    /// `Content-Length`. A response to `HEAD` announces it without a body.
    Length(u64),
    /// `Transfer-Encoding: chunked`; for HTTP/1.0 the body ends with the connection.
    Chunked,
    /// No body, and no length either.
    Empty,
}

/// Writes the response to one request.
pub struct ResponseWriter<'a, 'b> {
    write: &'a mut WriteHalf<'b>,
    state: &'a ProxyState,
    wants_close: bool,
    is_http10: bool,
    /// The id of the request, which each response of a server carries.
    request_id: Option<&'a [u8]>,
    /// Whether a head was started; then no error can be written any more.
    has_started: bool,
    /// The heads that were written; only one is allowed.
    heads: u32,
    /// Where the status is recorded.
    trace: Option<&'a RequestTrace>,
    /// Bytes that are written at the next flush.
    buffer: Vec<u8>,
}

impl<'a, 'b> ResponseWriter<'a, 'b> {
    /// A writer for the response to one request.
    pub fn new(
        write: &'a mut WriteHalf<'b>, state: &'a ProxyState, head: &'a RequestHead, trace: &'a RequestTrace,
    ) -> Self {
        ResponseWriter {
            wants_close: head.wants_close(),
            is_http10: head.is_http10,
            request_id: head.headers.get("request-id"),
            trace: Some(trace),
            ..ResponseWriter::closing(write, state)
        }
    }

    /// A writer for the response to bytes that are no request: the connection closes behind it.
    pub fn closing(write: &'a mut WriteHalf<'b>, state: &'a ProxyState) -> Self {
        ResponseWriter {
            write,
            state,
            wants_close: true,
            is_http10: false,
            request_id: None,
            has_started: false,
            heads: 0,
            trace: None,
            buffer: Vec::new(),
        }
    }

    /// Has the response announce that the connection closes behind it.
    pub fn announce_close(&mut self) {
        self.wants_close = true;
    }

    /// Records that a head is written, and checks that it is the only one.
    fn record_head(&mut self, status: u16) {
        if let Some(trace) = self.trace {
            trace.record_status(status);
        }
        self.heads += 1;
        let heads = self.heads;
        check(Invariant::OneFinalAnswer, heads == 1, || {
            format!("{heads} heads to {:?}", self.request_text())
        });
    }

    fn request_text(&self) -> String {
        String::from_utf8_lossy(self.request_id.unwrap_or(b"-")).into_owned()
    }

    /// Whether the connection closes behind the response: as the client wants, since it was asked to close, or since the process
    /// is draining.
    fn closes(&self) -> bool {
        self.wants_close || self.state.is_draining()
    }

    /// The end of a response whose last bytes were written with this result.
    fn end_of(&self, written: io::Result<()>) -> ResponseEnd {
        match written {
            Ok(()) if self.closes() => ResponseEnd::CompleteAndClose,
            Ok(()) => ResponseEnd::Complete,
            Err(_) => ResponseEnd::Incomplete,
        }
    }

    /// Writes the proxy's own response to an error. A response that was started already stays incomplete.
    pub async fn write_error(&mut self, error: RequestError) -> ResponseEnd {
        if self.has_started {
            return ResponseEnd::Incomplete;
        }
        self.wants_close |= error.response().closes_connection;
        let (close, jitter) = (self.closes(), self.state.random_fraction());
        let mut out = std::mem::take(&mut self.buffer);
        self.record_head(error.response().status);
        error.write(&mut out, self.request_id, close, jitter);
        let written = self.write(&out, Instant::now() + MIN_WRITE_TIMEOUT).await;
        self.end_of(written)
    }

    /// Writes a complete response.
    pub async fn write_complete(
        &mut self, head: &ResponseHead, encoding: BodyEncoding, body: &[u8], deadline: Instant,
    ) -> ResponseEnd {
        let mut out = std::mem::take(&mut self.buffer);
        self.encode_head(&mut out, head, encoding);
        out.extend_from_slice(body);
        let deadline = (deadline + UNREAD_GRACE).max(Instant::now() + MIN_WRITE_TIMEOUT);
        let written = self.write(&out, deadline).await;
        self.end_of(written)
    }

    /// Starts a response whose body follows in chunks. The head is written with the first chunk, or by [`ResponseWriter::flush`].
    pub fn start(&mut self, head: &ResponseHead, encoding: BodyEncoding) {
        let mut out = std::mem::take(&mut self.buffer);
        self.encode_head(&mut out, head, encoding);
        self.buffer = out;
        self.has_started = true;
    }

    /// Writes what is buffered.
    pub async fn flush(&mut self, deadline: Instant) -> io::Result<()> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let mut out = std::mem::take(&mut self.buffer);
        let written = self.write(&out, deadline).await;
        out.clear();
        self.buffer = out;
        written
    }

    /// Buffers a chunk of the body until the next flush.
    pub fn buffer_chunk(&mut self, encoding: BodyEncoding, data: &[u8]) {
        if self.is_chunked(encoding) {
            chunk(&mut self.buffer, data);
        } else {
            self.buffer.extend_from_slice(data);
        }
    }

    /// Writes a chunk of the body.
    pub async fn write_chunk(
        &mut self, encoding: BodyEncoding, data: &[u8], deadline: Instant,
    ) -> io::Result<()> {
        self.buffer_chunk(encoding, data);
        self.flush(deadline).await
    }

    /// Ends the body.
    pub async fn finish(&mut self, encoding: BodyEncoding, deadline: Instant) -> ResponseEnd {
        if self.is_chunked(encoding) {
            last_chunk(&mut self.buffer);
        }
        let written = self.flush(deadline).await;
        self.end_of(written)
    }

    /// HTTP/1.0 has no chunks: there the body ends with the connection.
    fn is_chunked(&self, encoding: BodyEncoding) -> bool {
        encoding == BodyEncoding::Chunked && !self.is_http10
    }

    fn encode_head(&mut self, out: &mut Vec<u8>, head: &ResponseHead, encoding: BodyEncoding) {
        if encoding == BodyEncoding::Chunked && self.is_http10 {
            self.wants_close = true;
        }
        self.record_head(head.status);
        let is_own = self.request_id.is_none_or(|id| head.headers.get("request-id") == Some(id));
        check(Invariant::AnswerOfItsRequest, is_own, || format!("a response to {:?}", self.request_text()));
        out.extend_from_slice(b"HTTP/1.1 ");
        number(out, head.status.into());
        out.extend_from_slice(b" ");
        out.extend_from_slice(head.reason().as_bytes());
        out.extend_from_slice(b"\r\n");
        for (name, value) in head.headers.iter().filter(|(name, _)| is_forwarded(head, name)) {
            field(out, name, value);
        }
        match encoding {
            BodyEncoding::Length(length) => length_field(out, length),
            BodyEncoding::Chunked if !self.is_http10 => field(out, "Transfer-Encoding", b"chunked"),
            BodyEncoding::Chunked | BodyEncoding::Empty => {}
        }
        if self.closes() {
            self.wants_close = true;
            field(out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
    }

    async fn write(&mut self, bytes: &[u8], deadline: Instant) -> io::Result<()> {
        self.has_started = true;
        let written = timeout_at(deadline, self.write.write_all(bytes)).await;
        written.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}

/// Whether a field of a server's response goes to the client. The length is written anew.
fn is_forwarded(head: &ResponseHead, name: &str) -> bool {
    let is_length = name.eq_ignore_ascii_case("content-length");
    !is_length && !is_hop_by_hop(name) && !head.headers.has_token("connection", name)
}
