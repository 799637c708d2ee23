//! Writes answers to a client.

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

/// A client may leave an answer unread for so long beyond the request's time.
const UNREAD: Duration = Duration::from_millis(200);
/// An answer of this program, or one that is late anyway, may take so long.
const SHORT_WRITE: Duration = Duration::from_secs(2);

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// It is whole, and the connection may carry another request.
    Complete,
    /// It is whole, and says that the connection closes behind it.
    CompleteAndClose,
    /// It is not whole.
    Incomplete,
}

/// How the body of an answer goes to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEncoding {
    /// So many bytes, or none for an answer to `HEAD`, which may still tell a length.
    Length(u64),
    /// In chunks.
    Chunked,
    /// None, and no length either.
    Empty,
}

/// The writer of one answer.
pub struct ResponseWriter<'a, 'b> {
    write: &'a mut WriteHalf<'b>,
    state: &'a ProxyState,
    wants_close: bool,
    is_http10: bool,
    /// The id of the request, which each answer of a server bears.
    request_id: Option<&'a [u8]>,
    /// Whether the head has gone out.
    pub has_begun: bool,
    /// Heads that were written.
    heads: u32,
    /// Told the status of the answer.
    trace: Option<&'a RequestTrace>,
    scratch: Vec<u8>,
}

impl<'a, 'b> ResponseWriter<'a, 'b> {
    /// For one request.
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

    /// For bytes that make no request: the connection closes behind the answer.
    pub fn closing(write: &'a mut WriteHalf<'b>, state: &'a ProxyState) -> Self {
        ResponseWriter {
            write,
            state,
            wants_close: true,
            is_http10: false,
            request_id: None,
            has_begun: false,
            heads: 0,
            trace: None,
            scratch: Vec::new(),
        }
    }

    /// Counts a head: a request gets one.
    fn note_head(&mut self, status: u16) {
        if let Some(trace) = self.trace {
            trace.answered(status);
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

    fn closes(&self) -> bool {
        self.wants_close || self.state.is_draining()
    }

    fn ended(&self) -> ResponseEnd {
        if self.closes() { ResponseEnd::CompleteAndClose } else { ResponseEnd::Complete }
    }

    /// Answers by itself.
    pub async fn refuse(&mut self, refusal: RequestError) -> ResponseEnd {
        if self.has_begun {
            return ResponseEnd::Incomplete;
        }
        self.wants_close |= refusal.line().closes;
        let (close, jitter) = (self.closes(), self.state.random_fraction());
        let mut out = std::mem::take(&mut self.scratch);
        self.note_head(refusal.line().status);
        refusal.write(&mut out, self.request_id, close, jitter);
        let written = self.send(&out, Instant::now() + SHORT_WRITE).await;
        if written.is_ok() { self.ended() } else { ResponseEnd::Incomplete }
    }

    /// Passes a whole answer on.
    pub async fn whole(
        &mut self, head: &ResponseHead, kind: BodyEncoding, body: &[u8], by: Instant,
    ) -> ResponseEnd {
        let mut out = std::mem::take(&mut self.scratch);
        self.write_head(&mut out, head, kind);
        out.extend_from_slice(body);
        let by = (by + UNREAD).max(Instant::now() + SHORT_WRITE);
        let written = self.send(&out, by).await;
        if written.is_ok() { self.ended() } else { ResponseEnd::Incomplete }
    }

    /// Begins an answer whose body follows piece by piece. The head goes out with the first piece or [`ResponseWriter::flush`].
    pub fn begin(&mut self, head: &ResponseHead, kind: BodyEncoding) {
        let mut out = std::mem::take(&mut self.scratch);
        self.write_head(&mut out, head, kind);
        self.scratch = out;
        self.has_begun = true;
    }

    /// Sends what is held.
    pub async fn flush(&mut self, by: Instant) -> io::Result<()> {
        if self.scratch.is_empty() {
            return Ok(());
        }
        let mut out = std::mem::take(&mut self.scratch);
        let written = self.send(&out, by).await;
        out.clear();
        self.scratch = out;
        written
    }

    /// Holds a piece of the body until the next flush.
    pub fn hold(&mut self, kind: BodyEncoding, data: &[u8]) {
        if self.is_chunked(kind) {
            chunk(&mut self.scratch, data);
        } else {
            self.scratch.extend_from_slice(data);
        }
    }

    /// Passes a piece of the body on.
    pub async fn piece(&mut self, kind: BodyEncoding, data: &[u8], by: Instant) -> io::Result<()> {
        self.hold(kind, data);
        self.flush(by).await
    }

    /// Ends the body.
    pub async fn end(&mut self, kind: BodyEncoding, by: Instant) -> ResponseEnd {
        if self.is_chunked(kind) {
            last_chunk(&mut self.scratch);
        }
        let written = self.flush(by).await;
        if written.is_ok() { self.ended() } else { ResponseEnd::Incomplete }
    }

    /// ClientConnections of HTTP/1.0 know no chunks: their body ends with the connection.
    fn is_chunked(&self, kind: BodyEncoding) -> bool {
        kind == BodyEncoding::Chunked && !self.is_http10
    }

    fn write_head(&mut self, out: &mut Vec<u8>, head: &ResponseHead, kind: BodyEncoding) {
        if kind == BodyEncoding::Chunked && self.is_http10 {
            self.wants_close = true;
        }
        self.note_head(head.status);
        let is_response_to_this = self.request_id.is_none_or(|id| head.headers.get("request-id") == Some(id));
        check(Invariant::AnswerOfItsRequest, is_response_to_this, || {
            format!("an answer to {:?}", self.request_text())
        });
        out.extend_from_slice(b"HTTP/1.1 ");
        number(out, head.status.into());
        out.extend_from_slice(b" ");
        out.extend_from_slice(head.reason().as_bytes());
        out.extend_from_slice(b"\r\n");
        for (name, value) in head.headers.iter().filter(|(name, _)| passes(head, name)) {
            field(out, name, value);
        }
        match kind {
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

    async fn send(&mut self, bytes: &[u8], by: Instant) -> io::Result<()> {
        self.has_begun = true;
        timeout_at(by, self.write.write_all(bytes))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}

fn passes(head: &ResponseHead, name: &str) -> bool {
    let is_length = name.eq_ignore_ascii_case("content-length");
    !is_length && !is_hop_by_hop(name) && !head.headers.has_token("connection", name)
}
