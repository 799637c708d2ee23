//! The writing side of a client connection.

use crate::http::{
    self, ConnectionOptions, RequestHead, ResponseHead, append_chunk, append_content_length, append_field,
    append_last_chunk, append_number,
};
use crate::inbound::connections::ConnectionSlot;
use crate::inbound::error_response::RequestError;
use crate::state::ProxyState;
use crate::telemetry::request_trace::RequestTrace;
use lugwharf_invariants::{Invariant, check};
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::time::{Instant, timeout_at};

/// How long after the deadline of its request a client may take to read a complete response.
const CLIENT_READ_GRACE: Duration = Duration::from_millis(200);
/// The minimum time to write an error response or a complete response, even if the deadline is near or has
/// passed.
const MIN_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a response was completed, and whether its connection can be used further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The response is complete, and the connection may carry another request.
    Complete,
    /// The response is complete, and the connection must be closed.
    CompleteAndClose,
    /// The response is not complete.
    Incomplete,
}

/// The framing of a body that is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEncoding {
    /// `Content-Length`. A response to `HEAD` announces the length without having a body.
    Length(u64),
    /// `Transfer-Encoding: chunked`. For an HTTP/1.0 client, the body is delimited by the close of the
    /// connection.
    Chunked,
    /// No body and no `Content-Length`.
    Empty,
}

/// Writes the response to one request.
pub struct ResponseWriter<'a, 'b> {
    write: &'a mut WriteHalf<'b>,
    state: &'a ProxyState,
    slot: &'a ConnectionSlot,
    /// Whether the connection must close after the response, whatever the state of the process.
    wants_close: bool,
    /// Whether the head that was written announced that the connection closes after the response.
    has_announced_close: bool,
    is_http10: bool,
    /// The id of the request, which the response of a server must carry.
    request_id: Option<&'a [u8]>,
    /// Whether a response has been started. After that, no error response can be written.
    has_started: bool,
    /// The number of heads that have been written. Only one is allowed.
    head_count: u32,
    /// The trace in which the status is recorded.
    trace: Option<&'a RequestTrace>,
    /// Bytes that are written by the next flush.
    buffer: Vec<u8>,
}

impl<'a, 'b> ResponseWriter<'a, 'b> {
    /// Creates a writer for the response to one request.
    pub fn new(
        write: &'a mut WriteHalf<'b>, state: &'a ProxyState, slot: &'a ConnectionSlot, head: &'a RequestHead,
        trace: &'a RequestTrace,
    ) -> Self {
        ResponseWriter {
            wants_close: head.wants_close(),
            is_http10: head.is_http10,
            request_id: head.headers.get("request-id"),
            trace: Some(trace),
            ..ResponseWriter::closing(write, state, slot)
        }
    }

    /// Creates a writer for the response to bytes that are not a valid request. The connection closes after
    /// it.
    pub fn closing(write: &'a mut WriteHalf<'b>, state: &'a ProxyState, slot: &'a ConnectionSlot) -> Self {
        ResponseWriter {
            write,
            state,
            slot,
            wants_close: true,
            has_announced_close: false,
            is_http10: false,
            request_id: None,
            has_started: false,
            head_count: 0,
            trace: None,
            buffer: Vec::new(),
        }
    }

    /// Records that a head is written, and checks that it is the only one for this request.
    fn record_head(&mut self, status: u16) {
        if let Some(trace) = self.trace {
            trace.record_status(status);
        }
        self.head_count += 1;
        let head_count = self.head_count;
        check(Invariant::OneFinalAnswer, head_count == 1, || {
            format!("{head_count} response heads for request {:?}", self.request_text())
        });
    }

    /// Returns the id of the request for messages about violated invariants.
    fn request_text(&self) -> String {
        String::from_utf8_lossy(self.request_id.unwrap_or(b"-")).into_owned()
    }

    /// Decides whether the connection closes after the response: because the client wants it, or because the
    /// connection was asked to close or the process is draining, and no further request has arrived.
    ///
    /// Called once for each response, for its head. A client may send its next request behind a response that
    /// announces no close, so the connection then stays open even if a shutdown begins before the response
    /// ends.
    fn decide_close(&mut self) -> bool {
        let should_close = self.state.is_draining() || self.slot.is_close_requested();
        self.has_announced_close = self.wants_close || should_close && !self.has_next_request();
        self.has_announced_close
    }

    /// Returns whether a further request has arrived, at least in part, which has to be answered before the
    /// connection closes.
    fn has_next_request(&self) -> bool {
        self.slot.has_read_ahead.get() || !http::has_nothing_to_read(self.write.as_ref())
    }

    /// Returns how a response ended whose last bytes were written with this result.
    fn response_end(&self, written: io::Result<()>) -> ResponseEnd {
        match written {
            Ok(()) if self.has_announced_close => ResponseEnd::CompleteAndClose,
            Ok(()) => ResponseEnd::Complete,
            Err(_) => ResponseEnd::Incomplete,
        }
    }

    /// Writes the proxy's response for an error. If a response has already been started, it stays incomplete.
    pub async fn write_error(&mut self, error: RequestError) -> ResponseEnd {
        if self.has_started {
            return ResponseEnd::Incomplete;
        }
        self.wants_close |= error.response().closes_connection;
        let (close, jitter) = (self.decide_close(), self.state.random_fraction());
        let mut out = std::mem::take(&mut self.buffer);
        self.record_head(error.response().status);
        error.write(&mut out, self.request_id, close, jitter);
        let written = self.write(&out, Instant::now() + MIN_WRITE_TIMEOUT).await;
        self.response_end(written)
    }

    /// Writes a complete response.
    pub async fn write_complete(
        &mut self, head: &ResponseHead, encoding: BodyEncoding, body: &[u8], deadline: Instant,
    ) -> ResponseEnd {
        let mut out = std::mem::take(&mut self.buffer);
        self.encode_head(&mut out, head, encoding);
        out.extend_from_slice(body);
        let deadline = (deadline + CLIENT_READ_GRACE).max(Instant::now() + MIN_WRITE_TIMEOUT);
        let written = self.write(&out, deadline).await;
        self.response_end(written)
    }

    /// Starts a response whose body is written in pieces. The head is buffered, and written with the first
    /// piece or by [`ResponseWriter::flush`].
    pub fn start(&mut self, head: &ResponseHead, encoding: BodyEncoding) {
        let mut out = std::mem::take(&mut self.buffer);
        self.encode_head(&mut out, head, encoding);
        self.buffer = out;
        self.has_started = true;
    }

    /// Writes the buffered bytes.
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

    /// Buffers a piece of the body until the next flush.
    pub fn buffer_chunk(&mut self, encoding: BodyEncoding, data: &[u8]) {
        if self.is_chunked(encoding) {
            append_chunk(&mut self.buffer, data);
        } else {
            self.buffer.extend_from_slice(data);
        }
    }

    /// Writes a piece of the body.
    pub async fn write_chunk(
        &mut self, encoding: BodyEncoding, data: &[u8], deadline: Instant,
    ) -> io::Result<()> {
        self.buffer_chunk(encoding, data);
        self.flush(deadline).await
    }

    /// Writes the end of the body.
    pub async fn finish(&mut self, encoding: BodyEncoding, deadline: Instant) -> ResponseEnd {
        if self.is_chunked(encoding) {
            append_last_chunk(&mut self.buffer);
        }
        let written = self.flush(deadline).await;
        self.response_end(written)
    }

    /// Returns whether the body is written in chunks. HTTP/1.0 has no chunked encoding: there the close of
    /// the connection delimits the body.
    fn is_chunked(&self, encoding: BodyEncoding) -> bool {
        encoding == BodyEncoding::Chunked && !self.is_http10
    }

    /// Appends the head of a server's response, with the framing of `encoding`.
    fn encode_head(&mut self, out: &mut Vec<u8>, head: &ResponseHead, encoding: BodyEncoding) {
        if encoding == BodyEncoding::Chunked && self.is_http10 {
            self.wants_close = true;
        }
        self.record_head(head.status);
        let is_own = self.request_id.is_none_or(|id| head.headers.get("request-id") == Some(id));
        check(Invariant::AnswerOfItsRequest, is_own, || {
            format!("response without the id of request {:?}", self.request_text())
        });
        out.extend_from_slice(b"HTTP/1.1 ");
        append_number(out, head.status.into());
        out.extend_from_slice(b" ");
        out.extend_from_slice(head.reason().as_bytes());
        out.extend_from_slice(b"\r\n");
        let options = ConnectionOptions::of(&head.headers);
        let is_forwarded =
            |name: &str| !name.eq_ignore_ascii_case("content-length") && options.may_forward(name);
        // The length is written separately.
        for (name, value) in head.headers.iter().filter(|(name, _)| is_forwarded(name)) {
            append_field(out, name, value);
        }
        match encoding {
            BodyEncoding::Length(length) => append_content_length(out, length),
            BodyEncoding::Chunked if !self.is_http10 => append_field(out, "Transfer-Encoding", b"chunked"),
            BodyEncoding::Chunked | BodyEncoding::Empty => {}
        }
        if self.decide_close() {
            append_field(out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
    }

    /// Writes `bytes` to the connection, until `deadline`.
    async fn write(&mut self, bytes: &[u8], deadline: Instant) -> io::Result<()> {
        self.has_started = true;
        let written = timeout_at(deadline, self.write.write_all(bytes)).await;
        written.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}
