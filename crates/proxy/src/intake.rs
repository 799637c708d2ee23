//! The reading side of a client's connection: requests, and whether the client is still there.

use crate::answer::Refusal;
use crate::clients::Slot;
use crate::state::Shared;
use crate::wire::{self, BodyDecoder, Decoded, Fill, Framing, HeadFault, RequestHead, request_framing};
use bytes::{Bytes, BytesMut};
use lugwharf_config::Limits;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// How much longer than the limit a connection may rest: clients take theirs up again near the limit.
const IDLE_GRACE: Duration = Duration::from_secs(5);
/// The least time to rest, whatever the configuration says.
const IDLE_LEAST: Duration = Duration::from_secs(2);
/// What is read ahead behind a request that is under way, to learn whether its client has left.
const AHEAD: usize = 8 * 1024;
/// How often a connection is looked at whose client has sent more than is read ahead.
const LOOK: Duration = Duration::from_millis(100);
/// The longest time for a whole body, however steadily it comes.
const BODY_MOST: Duration = Duration::from_secs(60);

/// Why no further request is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The client has left, has rested for too long or is asked to leave.
    Gone,
    /// What came can't be served.
    Refused(Refusal),
}

/// The bytes of request bodies that are held; given back at its end.
pub struct BodyRoom<'a> {
    shared: &'a Shared,
    taken: u64,
}

impl<'a> BodyRoom<'a> {
    /// For one request.
    pub fn new(shared: &'a Shared) -> BodyRoom<'a> {
        BodyRoom { shared, taken: 0 }
    }

    fn take(&mut self, bytes: usize) -> Result<(), Stop> {
        let room = self.shared.body_room.get();
        let left = room.checked_sub(bytes as u64).ok_or(Stop::Refused(Refusal::Full))?;
        self.shared.body_room.set(left);
        self.taken += bytes as u64;
        Ok(())
    }
}

impl Drop for BodyRoom<'_> {
    fn drop(&mut self) {
        self.shared.give_back(self.taken);
    }
}

/// Reads what a client sends.
pub struct Intake<'a> {
    read: ReadHalf<'a>,
    buffer: BytesMut,
    /// When the first bytes behind the request that is under way came: the next one's time runs from then.
    ahead_since: Option<Instant>,
}

impl<'a> Intake<'a> {
    /// For one connection.
    pub fn new(read: ReadHalf<'a>) -> Intake<'a> {
        Intake { read, buffer: BytesMut::new(), ahead_since: None }
    }

    /// The connection, without what was read ahead.
    pub fn into_reader(self) -> ReadHalf<'a> {
        self.read
    }

    /// Waits for a request. Returns when its first bytes came.
    pub async fn begin(&mut self, limits: &Limits, slot: &Slot) -> Result<Instant, Stop> {
        if self.buffer.is_empty() {
            // A connection that rests holds no memory.
            self.buffer = BytesMut::new();
            self.rest(limits, slot).await?;
        }
        Ok(self.ahead_since.take().unwrap_or_else(Instant::now))
    }

    /// Waits for the first byte of a request.
    async fn rest(&mut self, limits: &Limits, slot: &Slot) -> Result<(), Stop> {
        let idle = Duration::from_millis(limits.idle_timeout_ms).max(IDLE_LEAST) + IDLE_GRACE;
        let until = Instant::now() + idle;
        tokio::select! {
            biased;
            ready = self.read.readable() => ready.map_err(|_| Stop::Gone),
            () = slot.close.notified() => self.close_if_quiet(),
            () = sleep_until(until) => self.close_if_quiet(),
        }
    }

    /// A request that has just come is served first.
    fn close_if_quiet(&self) -> Result<(), Stop> {
        if wire::is_quiet(self.read.as_ref()) { Err(Stop::Gone) } else { Ok(()) }
    }

    /// Reads a request's head.
    pub async fn read_head(&mut self, limits: &Limits) -> Result<RequestHead, Stop> {
        let by = Instant::now() + step(limits);
        loop {
            if !self.buffer.is_empty() {
                match wire::parse_request(&mut self.buffer) {
                    Ok(Some(head)) if head.headers.size() > limits.max_header_bytes => {
                        return Err(Stop::Refused(Refusal::HeadTooLarge));
                    }
                    Ok(Some(head)) => return Ok(head),
                    Ok(None) if self.buffer.len() > limits.max_header_bytes => {
                        return Err(Stop::Refused(Refusal::HeadTooLarge));
                    }
                    Ok(None) => {}
                    Err(HeadFault::TooManyFields) => return Err(Stop::Refused(Refusal::HeadTooLarge)),
                    Err(HeadFault::Malformed) => return Err(Stop::Refused(Refusal::Malformed)),
                }
            }
            let begun = !self.buffer.is_empty();
            self.more(by, if begun { Stop::Refused(Refusal::Slow) } else { Stop::Gone }).await?;
        }
    }

    /// Reads the whole body, until `by` at the latest; `None` if none was announced.
    pub async fn read_body(
        &mut self, write: &mut WriteHalf<'_>, head: &RequestHead, limits: &Limits, by: Option<Instant>,
        room: &mut BodyRoom<'_>,
    ) -> Result<Option<Bytes>, Stop> {
        let framing = request_framing(head).map_err(|_| Stop::Refused(Refusal::Malformed))?;
        let most = limits.max_body_bytes;
        match framing {
            Framing::Empty if !head.headers.has("content-length") => return Ok(None),
            Framing::Length(length) if length > most as u64 => {
                return Err(Stop::Refused(Refusal::BodyTooLarge));
            }
            _ => {}
        }
        let mut decoder = BodyDecoder::new(framing);
        if self.buffer.is_empty() && !decoder.is_done() && head.headers.has_token("expect", "100-continue") {
            write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| Stop::Gone)?;
        }
        let last = Instant::now() + BODY_MOST;
        let last = by.map_or(last, |by| last.min(by));
        let mut body = BytesMut::new();
        loop {
            match decoder.decode(&mut self.buffer).map_err(|_| Stop::Refused(Refusal::Malformed))? {
                Decoded::End => return Ok(Some(body.freeze())),
                Decoded::Data(data) => {
                    if body.len() + data.len() > most {
                        return Err(Stop::Refused(Refusal::BodyTooLarge));
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
                    self.more(by, Stop::Refused(Refusal::Slow)).await?;
                }
            }
        }
    }

    /// Reads once, until `by`; `late` where nothing comes.
    async fn more(&mut self, by: Instant, late: Stop) -> Result<(), Stop> {
        match timeout_at(by, wire::fill(&mut self.read, &mut self.buffer)).await {
            Ok(Ok(Fill::Bytes)) => Ok(()),
            Ok(Ok(Fill::End) | Err(_)) => Err(Stop::Gone),
            Err(_) => Err(late),
        }
    }

    /// Whether the client's close has come, whether or not the runtime has heard of it. Where more bytes came before it, this is
    /// not seen here but by [`Intake::left`].
    pub fn has_left(&self) -> bool {
        wire::is_ended(self.read.as_ref())
    }

    /// Ends when the client leaves. What it sends meanwhile is kept for later, within bounds.
    pub async fn left(&mut self) {
        loop {
            if !self.buffer.is_empty() {
                self.ahead_since.get_or_insert_with(Instant::now);
            }
            if self.buffer.len() >= AHEAD {
                return self.closed().await;
            }
            match wire::fill(&mut self.read, &mut self.buffer).await {
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
