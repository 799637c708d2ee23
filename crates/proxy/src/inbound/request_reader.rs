//! The reading side of a client connection: reads requests, and detects that the client disconnects.

use crate::http::{self, BodyDecoder, Decoded, Fill, Framing, HeadError, RequestHead, request_framing};
use crate::inbound::body_reservation::BodyReservation;
use crate::inbound::connections::ConnectionSlot;
use crate::inbound::error_response::RequestError;
use crate::inbound::idle_deadline::IdleDeadline;
use crate::state::ProxyState;
use bytes::{Bytes, BytesMut};
use lugwharf_config::Limits;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// The maximum number of bytes that are read ahead while a request is served, to detect that its client
/// disconnects.
const MAX_READ_AHEAD_BYTES: usize = 8 * 1024;
/// The interval of checks for a disconnect if the client has sent more bytes than are read ahead.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum time to receive a complete body, even if it arrives without long pauses.
const MAX_BODY_TIME: Duration = Duration::from_secs(60);
/// The minimum read timeout, in milliseconds, which applies if the configured one is shorter.
const MIN_READ_TIMEOUT_MS: u64 = 100;

/// Why no further request is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadFailure {
    /// The client disconnected, its connection was idle for too long, or its idle connection was asked to
    /// close.
    #[error("the client disconnected, or its idle connection was closed")]
    Disconnected,
    /// The received request can't be served.
    #[error("{0}")]
    Rejected(#[source] RequestError),
}

/// The arrival of the first bytes of a request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the bytes were received.
    pub at: Instant,
    /// The limits in force at that time, by which the head and the body of the request are judged.
    pub limits: Limits,
}

impl Arrival {
    /// Returns an arrival at the present time.
    fn now(state: &ProxyState) -> Arrival {
        Arrival { at: Instant::now(), limits: state.limits() }
    }
}

/// Reads the requests of one client connection.
pub struct RequestReader<'a> {
    read: ReadHalf<'a>,
    state: &'a ProxyState,
    slot: &'a ConnectionSlot,
    buffer: BytesMut,
    /// The arrival of the first bytes after the request in progress. They belong to the next request.
    read_ahead: Option<Arrival>,
}

impl<'a> RequestReader<'a> {
    /// Creates a reader for one connection.
    pub fn new(read: ReadHalf<'a>, state: &'a ProxyState, slot: &'a ConnectionSlot) -> RequestReader<'a> {
        RequestReader { read, state, slot, buffer: BytesMut::new(), read_ahead: None }
    }

    /// Returns the reading side of the connection. Bytes that were read ahead are dropped.
    pub fn into_read_half(self) -> ReadHalf<'a> {
        self.read
    }

    /// Waits for the first bytes of a request.
    pub async fn wait_for_request(&mut self) -> Result<Arrival, ReadFailure> {
        if self.buffer.is_empty() {
            // Frees the buffer while the connection is idle.
            self.buffer = BytesMut::new();
            self.wait_for_bytes().await?;
        }
        self.slot.has_read_ahead.set(false);
        Ok(self.read_ahead.take().unwrap_or_else(|| Arrival::now(self.state)))
    }

    /// Waits for the first bytes of a request, until the idle timeout or a request to close. The idle timeout
    /// follows the configuration while the connection waits.
    async fn wait_for_bytes(&mut self) -> Result<(), ReadFailure> {
        let mut limits = self.state.watch_limits();
        let mut deadline = IdleDeadline::new(Instant::now(), &limits.borrow_and_update());
        loop {
            tokio::select! {
                biased;
                filled = http::fill_lazily(&mut self.read, &mut self.buffer) => return check_received(filled),
                () = self.slot.wait_for_close_request() => return self.close_unless_readable(),
                () = sleep_until(deadline.at()) => return self.close_unless_readable(),
                Ok(()) = limits.changed() => {
                    deadline.set_limits(&limits.borrow_and_update(), Instant::now());
                }
            }
        }
    }

    /// Ends the connection unless a request has just arrived, which is served first.
    fn close_unless_readable(&self) -> Result<(), ReadFailure> {
        if http::has_nothing_to_read(self.read.as_ref()) { Err(ReadFailure::Disconnected) } else { Ok(()) }
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    /// The head is malformed or too large, was not received in time, or the client disconnected.
    pub async fn read_head(&mut self, limits: &Limits) -> Result<RequestHead, ReadFailure> {
        let deadline = Instant::now() + read_timeout(limits);
        let max = limits.max_header_bytes;
        loop {
            if !self.buffer.is_empty() {
                match http::parse_request(&mut self.buffer) {
                    Ok(Some(head)) if head.headers.size() > max => {
                        return Err(ReadFailure::Rejected(RequestError::HeadTooLarge));
                    }
                    Ok(Some(head)) => return Ok(head),
                    Ok(None) if self.buffer.len() > max => {
                        return Err(ReadFailure::Rejected(RequestError::HeadTooLarge));
                    }
                    Ok(None) => {}
                    Err(HeadError::Malformed) => return Err(ReadFailure::Rejected(RequestError::Malformed)),
                }
            }
            let has_begun = !self.buffer.is_empty();
            let on_timeout = if has_begun {
                ReadFailure::Rejected(RequestError::RequestTimeout)
            } else {
                ReadFailure::Disconnected
            };
            self.read_more(deadline, on_timeout).await?;
        }
    }

    /// Reads the complete body of a request, until `deadline`. Returns `None` if no body was announced. The
    /// bytes of the body are added to the reservation.
    ///
    /// # Errors
    /// The body is malformed or too large, was not received in time, exceeds the available memory for bodies,
    /// or the client disconnected.
    pub async fn read_body(
        &mut self, write: &mut WriteHalf<'_>, head: &RequestHead, limits: &Limits, deadline: Option<Instant>,
        reservation: &mut BodyReservation<'_>,
    ) -> Result<Option<Bytes>, ReadFailure> {
        let framing = request_framing(head).map_err(|_| ReadFailure::Rejected(RequestError::Malformed))?;
        match framing {
            Framing::Empty if !head.headers.has("content-length") => return Ok(None),
            Framing::Length(length) if length > limits.max_body_bytes as u64 => {
                return Err(ReadFailure::Rejected(RequestError::BodyTooLarge));
            }
            _ => {}
        }
        let decoder = BodyDecoder::new(framing);
        if self.buffer.is_empty() && !decoder.is_done() && head.headers.has_token("expect", "100-continue") {
            let written = write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            written.map_err(|_| ReadFailure::Disconnected)?;
        }
        self.receive_body(decoder, limits, deadline, reservation).await.map(Some)
    }

    /// Receives and decodes the complete body.
    async fn receive_body(
        &mut self, mut decoder: BodyDecoder, limits: &Limits, deadline: Option<Instant>,
        reservation: &mut BodyReservation<'_>,
    ) -> Result<Bytes, ReadFailure> {
        let max_deadline = Instant::now() + MAX_BODY_TIME;
        let max_deadline = deadline.map_or(max_deadline, |deadline| max_deadline.min(deadline));
        let mut body = BytesMut::new();
        loop {
            let decoded = decoder.decode(&mut self.buffer);
            match decoded.map_err(|_| ReadFailure::Rejected(RequestError::Malformed))? {
                Decoded::End => return Ok(body.freeze()),
                Decoded::Data(data) => {
                    if body.len() + data.len() > limits.max_body_bytes {
                        return Err(ReadFailure::Rejected(RequestError::BodyTooLarge));
                    }
                    reservation.extend(data.len()).map_err(ReadFailure::Rejected)?;
                    if body.is_empty() && decoder.is_done() {
                        // The complete body was received in one piece and need not be copied.
                        return Ok(data);
                    }
                    body.extend_from_slice(&data);
                }
                Decoded::Pending => {
                    let deadline = (Instant::now() + read_timeout(limits)).min(max_deadline);
                    self.read_more(deadline, ReadFailure::Rejected(RequestError::RequestTimeout)).await?;
                }
            }
        }
    }

    /// Reads once into the buffer. Fails with `on_timeout` if nothing is received until `deadline`.
    async fn read_more(&mut self, deadline: Instant, on_timeout: ReadFailure) -> Result<(), ReadFailure> {
        match timeout_at(deadline, http::fill(&mut self.read, &mut self.buffer)).await {
            Ok(filled) => check_received(filled),
            Err(_) => Err(on_timeout),
        }
    }

    /// Returns whether the client has closed the connection. The socket is checked directly, since the
    /// runtime may not have polled it yet. A close that follows unread bytes is not detected here, but by
    /// [`RequestReader::wait_for_disconnect`].
    pub fn is_disconnected(&self) -> bool {
        http::is_closed_by_peer(self.read.as_ref())
    }

    /// Records whether bytes of a further request have been received.
    pub fn record_read_ahead(&mut self) {
        if !self.buffer.is_empty() {
            self.slot.has_read_ahead.set(true);
            self.read_ahead.get_or_insert_with(|| Arrival::now(self.state));
        }
    }

    /// Waits until the client disconnects. Bytes that it sends in the meantime are kept for the next request,
    /// up to 8 KiB.
    pub async fn wait_for_disconnect(&mut self) {
        loop {
            self.record_read_ahead();
            if self.buffer.len() >= MAX_READ_AHEAD_BYTES {
                return self.wait_for_close_without_reading().await;
            }
            match http::fill(&mut self.read, &mut self.buffer).await {
                Ok(Fill::Received) => {}
                Ok(Fill::Eof) | Err(_) => return,
            }
        }
    }

    /// Waits until the client disconnects, without reading, since the close follows bytes that are not read
    /// yet.
    async fn wait_for_close_without_reading(&self) {
        while self.read.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
            sleep(DISCONNECT_CHECK_INTERVAL).await;
        }
    }

    /// Makes the close of the socket reset the connection. After an orderly close, an incomplete HTTP/1.0
    /// response would look complete.
    pub fn reset_on_close(&self) {
        // The error is ignored: without the option the client can't detect the truncation, which is no worse
        // than without the attempt.
        drop(socket2::SockRef::from(self.read.as_ref()).set_linger(Some(Duration::ZERO)));
    }
}

/// Returns an error unless a read received bytes.
fn check_received(filled: io::Result<Fill>) -> Result<(), ReadFailure> {
    match filled {
        Ok(Fill::Received) => Ok(()),
        Ok(Fill::Eof) | Err(_) => Err(ReadFailure::Disconnected),
    }
}

/// Returns the time limit for a head, and for a pause within a body.
fn read_timeout(limits: &Limits) -> Duration {
    Duration::from_millis(limits.header_timeout_ms.max(MIN_READ_TIMEOUT_MS))
}
