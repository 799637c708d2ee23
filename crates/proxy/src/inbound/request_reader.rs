//! The reading side of a client's connection: requests, and whether the client is still connected.

use crate::http::{self, BodyDecoder, Decoded, Fill, Framing, HeadError, RequestHead, request_framing};
use crate::inbound::connections::ConnectionSlot;
use crate::inbound::error_response::RequestError;
use crate::state::ProxyState;
use bytes::{Bytes, BytesMut};
use lugwharf_config::Limits;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// A connection may be idle this much longer than its limit: clients reuse theirs near the limit.
const IDLE_GRACE: Duration = Duration::from_secs(5);
/// The least idle timeout, whatever the configuration says.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The bytes that are read ahead during a request, to detect whether its client disconnects.
const MAX_READ_AHEAD: usize = 8 * 1024;
/// How often a connection is checked for a disconnect whose client has sent more than is read ahead.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time for a complete body, however steadily it comes.
const MAX_BODY_TIME: Duration = Duration::from_secs(60);
/// The least pause that is allowed inside a head or a body, whatever the configuration says.
const MIN_READ_TIMEOUT_MS: u64 = 100;

/// Why no further request is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadEnd {
    /// The client disconnected, was idle for too long, or its idle connection was asked to close.
    #[error("the client disconnected")]
    Disconnected,
    /// What was received can't be served.
    #[error("{0}")]
    Error(#[source] RequestError),
}

/// The memory that a request's body takes of what the process allows for bodies. Released by its drop.
pub struct BodyReservation<'a> {
    state: &'a ProxyState,
    bytes: u64,
}

impl<'a> BodyReservation<'a> {
    /// A reservation of no bytes.
    pub fn new(state: &'a ProxyState) -> BodyReservation<'a> {
        BodyReservation { state, bytes: 0 }
    }

    /// Reserves more bytes.
    fn extend(&mut self, bytes: usize) -> Result<(), ReadEnd> {
        let free = self.state.free_body_bytes.get();
        let remaining = free.checked_sub(bytes as u64).ok_or(ReadEnd::Error(RequestError::Saturated))?;
        self.state.free_body_bytes.set(remaining);
        self.bytes += bytes as u64;
        Ok(())
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.state.release_body_bytes(self.bytes);
    }
}

/// Reads the requests of one client.
pub struct RequestReader<'a> {
    read: ReadHalf<'a>,
    buffer: BytesMut,
    /// When the first bytes behind the request in progress were received: the time of the next request runs from then.
    read_ahead_since: Option<Instant>,
}

impl<'a> RequestReader<'a> {
    /// A reader for one connection.
    pub fn new(read: ReadHalf<'a>) -> RequestReader<'a> {
        RequestReader { read, buffer: BytesMut::new(), read_ahead_since: None }
    }

    /// The reading side of the connection, without what was read ahead.
    pub fn into_read_half(self) -> ReadHalf<'a> {
        self.read
    }

    /// Waits for a request. Returns when its first bytes were received.
    pub async fn wait_for_request(
        &mut self, limits: &Limits, slot: &ConnectionSlot,
    ) -> Result<Instant, ReadEnd> {
        if self.buffer.is_empty() {
            // An idle connection holds no buffer.
            self.buffer = BytesMut::new();
            self.wait_readable(limits, slot).await?;
        }
        Ok(self.read_ahead_since.take().unwrap_or_else(Instant::now))
    }

    /// Waits for the first byte of a request.
    async fn wait_readable(&mut self, limits: &Limits, slot: &ConnectionSlot) -> Result<(), ReadEnd> {
        let timeout = Duration::from_millis(limits.idle_timeout_ms).max(MIN_IDLE_TIMEOUT) + IDLE_GRACE;
        let deadline = Instant::now() + timeout;
        tokio::select! {
            biased;
            ready = self.read.readable() => ready.map_err(|_| ReadEnd::Disconnected),
            () = slot.wait_for_close_request() => self.close_if_quiet(),
            () = sleep_until(deadline) => self.close_if_quiet(),
        }
    }

    /// Closes the connection, unless a request has just arrived, which is served first.
    fn close_if_quiet(&self) -> Result<(), ReadEnd> {
        if http::is_quiet(self.read.as_ref()) { Err(ReadEnd::Disconnected) } else { Ok(()) }
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    /// The head is malformed, too large or too slow, or the client disconnected.
    pub async fn read_head(&mut self, limits: &Limits) -> Result<RequestHead, ReadEnd> {
        let deadline = Instant::now() + read_timeout(limits);
        let max = limits.max_header_bytes;
        loop {
            if !self.buffer.is_empty() {
                match http::parse_request(&mut self.buffer) {
                    Ok(Some(head)) if head.headers.size() > max => {
                        return Err(ReadEnd::Error(RequestError::HeadTooLarge));
                    }
                    Ok(Some(head)) => return Ok(head),
                    Ok(None) if self.buffer.len() > max => {
                        return Err(ReadEnd::Error(RequestError::HeadTooLarge));
                    }
                    Ok(None) => {}
                    Err(HeadError::TooManyFields) => return Err(ReadEnd::Error(RequestError::HeadTooLarge)),
                    Err(HeadError::Malformed) => return Err(ReadEnd::Error(RequestError::Malformed)),
                }
            }
            let has_begun = !self.buffer.is_empty();
            let on_timeout =
                if has_begun { ReadEnd::Error(RequestError::RequestTimeout) } else { ReadEnd::Disconnected };
            self.read_more(deadline, on_timeout).await?;
        }
    }

    /// Reads the complete body of a request, until `deadline`; `None` if none was announced. Its bytes are added to the
    /// reservation.
    ///
    /// # Errors
    /// The body is malformed, too large or too slow, the memory for bodies is used up, or the client disconnected.
    pub async fn read_body(
        &mut self, write: &mut WriteHalf<'_>, head: &RequestHead, limits: &Limits, deadline: Option<Instant>,
        reservation: &mut BodyReservation<'_>,
    ) -> Result<Option<Bytes>, ReadEnd> {
        let framing = request_framing(head).map_err(|_| ReadEnd::Error(RequestError::Malformed))?;
        match framing {
            Framing::Empty if !head.headers.has("content-length") => return Ok(None),
            Framing::Length(length) if length > limits.max_body_bytes as u64 => {
                return Err(ReadEnd::Error(RequestError::BodyTooLarge));
            }
            _ => {}
        }
        let decoder = BodyDecoder::new(framing);
        if self.buffer.is_empty() && !decoder.is_done() && head.headers.has_token("expect", "100-continue") {
            let written = write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            written.map_err(|_| ReadEnd::Disconnected)?;
        }
        self.receive_body(decoder, limits, deadline, reservation).await.map(Some)
    }

    async fn receive_body(
        &mut self, mut decoder: BodyDecoder, limits: &Limits, deadline: Option<Instant>,
        reservation: &mut BodyReservation<'_>,
    ) -> Result<Bytes, ReadEnd> {
        let latest = Instant::now() + MAX_BODY_TIME;
        let latest = deadline.map_or(latest, |deadline| latest.min(deadline));
        let mut body = BytesMut::new();
        loop {
            let decoded = decoder.decode(&mut self.buffer);
            match decoded.map_err(|_| ReadEnd::Error(RequestError::Malformed))? {
                Decoded::End => return Ok(body.freeze()),
                Decoded::Data(data) => {
                    if body.len() + data.len() > limits.max_body_bytes {
                        return Err(ReadEnd::Error(RequestError::BodyTooLarge));
                    }
                    reservation.extend(data.len())?;
                    if body.is_empty() && decoder.is_done() {
                        // The body came at once; it is not copied.
                        return Ok(data);
                    }
                    body.extend_from_slice(&data);
                }
                Decoded::More => {
                    let deadline = (Instant::now() + read_timeout(limits)).min(latest);
                    self.read_more(deadline, ReadEnd::Error(RequestError::RequestTimeout)).await?;
                }
            }
        }
    }

    /// Reads once, until `deadline`; fails with `on_timeout` if nothing comes.
    async fn read_more(&mut self, deadline: Instant, on_timeout: ReadEnd) -> Result<(), ReadEnd> {
        match timeout_at(deadline, http::fill(&mut self.read, &mut self.buffer)).await {
            Ok(Ok(Fill::Bytes)) => Ok(()),
            Ok(Ok(Fill::End) | Err(_)) => Err(ReadEnd::Disconnected),
            Err(_) => Err(on_timeout),
        }
    }

    /// Whether the client has closed the connection, asked of the socket: the runtime may not have polled it yet. A close behind
    /// other bytes is not seen here, but by [`RequestReader::disconnected`].
    pub fn is_disconnected(&self) -> bool {
        http::is_ended(self.read.as_ref())
    }

    /// Waits until the client disconnects. What it sends meanwhile is retained for the next request, up to 8 KiB.
    pub async fn disconnected(&mut self) {
        loop {
            if !self.buffer.is_empty() {
                self.read_ahead_since.get_or_insert_with(Instant::now);
            }
            if self.buffer.len() >= MAX_READ_AHEAD {
                return self.closed_without_read().await;
            }
            match http::fill(&mut self.read, &mut self.buffer).await {
                Ok(Fill::Bytes) => {}
                Ok(Fill::End) | Err(_) => return,
            }
        }
    }

    /// Waits until the client disconnects, without reading: the close is behind bytes that are not read yet.
    async fn closed_without_read(&self) {
        while self.read.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
            sleep(DISCONNECT_CHECK_INTERVAL).await;
        }
    }

    /// Has the close reset the connection: an incomplete HTTP/1.0 response would look complete at an orderly close.
    pub fn reset_on_close(&self) {
        // Without the option the client can't tell, which is no worse than not trying.
        drop(socket2::SockRef::from(self.read.as_ref()).set_linger(Some(Duration::ZERO)));
    }
}

/// The longest pause inside a head or a body.
fn read_timeout(limits: &Limits) -> Duration {
    Duration::from_millis(limits.header_timeout_ms.max(MIN_READ_TIMEOUT_MS))
}
