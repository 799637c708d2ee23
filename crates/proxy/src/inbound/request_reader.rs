//! The reading side of a client's connection: requests, and whether the client is still there.

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

/// How much longer than the limit a connection may rest: clients take theirs up again near the limit.
const IDLE_GRACE: Duration = Duration::from_secs(5);
/// The least time to rest, whatever the configuration says.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// What is read ahead behind a request that is under way, to learn whether its client has left.
const MAX_READ_AHEAD: usize = 8 * 1024;
/// How often a connection is looked at whose client has sent more than is read ahead.
const LOOK: Duration = Duration::from_millis(100);
/// The longest time for a whole body, however steadily it comes.
const MAX_BODY_TIME: Duration = Duration::from_secs(60);

/// Why no further request is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// The client has left, has rested for too long or is asked to leave.
    Disconnected,
    /// What came can't be served.
    Error(RequestError),
}

/// The bytes of request bodies that are held; given back at its end.
pub struct BodyReservation<'a> {
    state: &'a ProxyState,
    accepted: u64,
}

impl<'a> BodyReservation<'a> {
    /// For one request.
    pub fn new(state: &'a ProxyState) -> BodyReservation<'a> {
        BodyReservation { state, accepted: 0 }
    }

    fn take(&mut self, bytes: usize) -> Result<(), ReadEnd> {
        let room = self.state.free_body_bytes.get();
        let left = room.checked_sub(bytes as u64).ok_or(ReadEnd::Error(RequestError::Saturated))?;
        self.state.free_body_bytes.set(left);
        self.accepted += bytes as u64;
        Ok(())
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.state.release_body_bytes(self.accepted);
    }
}

/// Reads what a client sends.
pub struct RequestReader<'a> {
    read: ReadHalf<'a>,
    buffer: BytesMut,
    /// When the first bytes behind the request that is under way came: the next one's time runs from then.
    ahead_since: Option<Instant>,
}

impl<'a> RequestReader<'a> {
    /// For one connection.
    pub fn new(read: ReadHalf<'a>) -> RequestReader<'a> {
        RequestReader { read, buffer: BytesMut::new(), ahead_since: None }
    }

    /// The connection, without what was read ahead.
    pub fn into_reader(self) -> ReadHalf<'a> {
        self.read
    }

    /// Waits for a request. Returns when its first bytes came.
    pub async fn begin(&mut self, limits: &Limits, slot: &ConnectionSlot) -> Result<Instant, ReadEnd> {
        if self.buffer.is_empty() {
            // A connection that rests holds no memory.
            self.buffer = BytesMut::new();
            self.rest(limits, slot).await?;
        }
        Ok(self.ahead_since.take().unwrap_or_else(Instant::now))
    }

    /// Waits for the first byte of a request.
    async fn rest(&mut self, limits: &Limits, slot: &ConnectionSlot) -> Result<(), ReadEnd> {
        let idle = Duration::from_millis(limits.idle_timeout_ms).max(MIN_IDLE_TIMEOUT) + IDLE_GRACE;
        let until = Instant::now() + idle;
        tokio::select! {
            biased;
            ready = self.read.readable() => ready.map_err(|_| ReadEnd::Disconnected),
            () = slot.close.notified() => self.close_if_quiet(),
            () = sleep_until(until) => self.close_if_quiet(),
        }
    }

    /// A request that has just come is served first.
    fn close_if_quiet(&self) -> Result<(), ReadEnd> {
        if http::is_quiet(self.read.as_ref()) { Err(ReadEnd::Disconnected) } else { Ok(()) }
    }

    /// Reads a request's head.
    pub async fn read_head(&mut self, limits: &Limits) -> Result<RequestHead, ReadEnd> {
        let by = Instant::now() + step(limits);
        loop {
            if !self.buffer.is_empty() {
                match http::parse_request(&mut self.buffer) {
                    Ok(Some(head)) if head.headers.size() > limits.max_header_bytes => {
                        return Err(ReadEnd::Error(RequestError::HeadTooLarge));
                    }
                    Ok(Some(head)) => return Ok(head),
                    Ok(None) if self.buffer.len() > limits.max_header_bytes => {
                        return Err(ReadEnd::Error(RequestError::HeadTooLarge));
                    }
                    Ok(None) => {}
                    Err(HeadError::TooManyFields) => return Err(ReadEnd::Error(RequestError::HeadTooLarge)),
                    Err(HeadError::Malformed) => return Err(ReadEnd::Error(RequestError::Malformed)),
                }
            }
            let begun = !self.buffer.is_empty();
            self.more(
                by,
                if begun { ReadEnd::Error(RequestError::RequestTimeout) } else { ReadEnd::Disconnected },
            )
            .await?;
        }
    }

    /// Reads the whole body, until `by` at the latest; `None` if none was announced.
    pub async fn read_body(
        &mut self, write: &mut WriteHalf<'_>, head: &RequestHead, limits: &Limits, by: Option<Instant>,
        room: &mut BodyReservation<'_>,
    ) -> Result<Option<Bytes>, ReadEnd> {
        let framing = request_framing(head).map_err(|_| ReadEnd::Error(RequestError::Malformed))?;
        let most = limits.max_body_bytes;
        match framing {
            Framing::Empty if !head.headers.has("content-length") => return Ok(None),
            Framing::Length(length) if length > most as u64 => {
                return Err(ReadEnd::Error(RequestError::BodyTooLarge));
            }
            _ => {}
        }
        let mut decoder = BodyDecoder::new(framing);
        if self.buffer.is_empty() && !decoder.is_done() && head.headers.has_token("expect", "100-continue") {
            write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| ReadEnd::Disconnected)?;
        }
        let last = Instant::now() + MAX_BODY_TIME;
        let last = by.map_or(last, |by| last.min(by));
        let mut body = BytesMut::new();
        loop {
            match decoder.decode(&mut self.buffer).map_err(|_| ReadEnd::Error(RequestError::Malformed))? {
                Decoded::End => return Ok(Some(body.freeze())),
                Decoded::Data(data) => {
                    if body.len() + data.len() > most {
                        return Err(ReadEnd::Error(RequestError::BodyTooLarge));
                    }
                    room.take(data.len())?;
                    if body.is_empty() && decoder.is_done() {
                        // It came with the head, and shares its memory.
                        return Ok(Some(data));
                    }
                    body.extend_from_slice(&data);
                }
                Decoded::More => {
                    let by = (Instant::now() + step(limits)).min(last);
                    self.more(by, ReadEnd::Error(RequestError::RequestTimeout)).await?;
                }
            }
        }
    }

    /// Reads once, until `by`; `late` where nothing comes.
    async fn more(&mut self, by: Instant, late: ReadEnd) -> Result<(), ReadEnd> {
        match timeout_at(by, http::fill(&mut self.read, &mut self.buffer)).await {
            Ok(Ok(Fill::Bytes)) => Ok(()),
            Ok(Ok(Fill::End) | Err(_)) => Err(ReadEnd::Disconnected),
            Err(_) => Err(late),
        }
    }

    /// Whether the client's close has come, whether or not the runtime has heard of it. Where more bytes came before it, this is
    /// not seen here but by [`RequestReader::left`].
    pub fn is_disconnected(&self) -> bool {
        http::is_ended(self.read.as_ref())
    }

    /// Ends when the client leaves. What it sends meanwhile is kept for later, within bounds.
    pub async fn left(&mut self) {
        loop {
            if !self.buffer.is_empty() {
                self.ahead_since.get_or_insert_with(Instant::now);
            }
            if self.buffer.len() >= MAX_READ_AHEAD {
                return self.closed().await;
            }
            match http::fill(&mut self.read, &mut self.buffer).await {
                Ok(Fill::Bytes) => {}
                Ok(Fill::End) | Err(_) => return,
            }
        }
    }

    /// Ends when the client leaves, without a read: its connection's end stands behind bytes that are not read yet.
    async fn closed(&self) {
        while self.read.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
            sleep(LOOK).await;
        }
    }

    /// Has the connection end by a reset: an answer of HTTP/1.0 that ends early would look complete if it just ended.
    pub fn cut(&self) {
        drop(socket2::SockRef::from(self.read.as_ref()).set_linger(Some(Duration::ZERO)));
    }
}

/// The longest pause inside a head or a body.
fn step(limits: &Limits) -> Duration {
    Duration::from_millis(limits.header_timeout_ms.max(100))
}
