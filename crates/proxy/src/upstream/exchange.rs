//! One send of a request to one server, up to the head of its answer.
//!
//! The result tells whether the request may have run: see [`writing`](crate::upstream::writing).

use crate::state::Shared;
use crate::upstream::connection::{Connection, ReadFault};
use crate::upstream::outbound::{Extra, Outbound};
use crate::upstream::writing::{Writer, Written};
use crate::wire::{BodyDecoder, Decoded, Framing, ResponseHead, response_framing};
use lugwharf_routing::{LoadReport, Phase, Selection, ServerKey};
use std::io;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A connection comes up within the objective, but for these bounds, or within a third of the time left. Later than that another
/// server serves it sooner.
const CONNECT_LEAST: Duration = Duration::from_millis(250);
const CONNECT_MOST: Duration = Duration::from_millis(1_000);
const CONNECT_PART: u32 = 3;
/// Kept connections that one send may find dead.
const DEAD_MOST: usize = 4;
/// What is taken off the time left before a server is told of it: its answer has to travel back.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// With less than this left nothing is sent.
const LEAST_LEFT: Duration = Duration::from_millis(20);
/// How long the last byte of a request is held back on a connection that may be dead: the reset by a server that is full, or has
/// closed or forgotten it, arrives meanwhile.
const HOLD_BACK: Duration = Duration::from_millis(2);
/// A kept connection may be dead once it has rested for so long: servers may forget it without a word after some 300 ms.
const RESTED: Duration = Duration::from_millis(250);
/// Errors of Linux by which a process is short of memory, descriptors (of its own and of the machine), addresses or buffers.
const OWN_SHORTAGES: [i32; 5] = [12, 23, 24, 99, 105];
/// Bytes of answers to other requests that are read over at most.
pub const MOST_SURPLUS: usize = 64 * 1024;

/// How a send ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection came up: the server is not there.
    Connect,
    /// Nothing was sent, and the server is not to blame: it left the list meanwhile, or too many connections are open.
    Moot,
    /// Nothing was sent since the time is over.
    Late,
    /// All was sent; then the connection broke, or what came was no answer to this request.
    Broken,
    /// All was sent; then the time was over.
    Timeout,
}

/// The terms of one send.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// What the server is to do.
    pub part: Phase,
    /// The answer's head is waited for until then.
    pub by: Instant,
    /// The time within which an answer earns its full worth.
    pub objective: Duration,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Connections that the server takes from all proxies.
    pub max_connections: Option<u32>,
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct Answered {
    /// Its head.
    pub head: ResponseHead,
    /// How its body ends.
    pub framing: Framing,
    /// Its body's decoder.
    pub decoder: BodyDecoder,
    /// The connection that its body comes on.
    pub connection: Connection,
    /// Who gave it.
    pub key: ServerKey,
    /// When the request was sent.
    pub sent: Instant,
}

impl Answered {
    /// Gives the connection back once the body is whole.
    pub fn finish(mut self, shared: &Shared) {
        if !self.decoder.is_done() || self.head.says_close() || self.framing == Framing::UntilEnd {
            return;
        }
        let timeout = keep_alive(&self.head);
        self.connection.closes_at = timeout.map(|timeout| Instant::now() + timeout);
        if let Some(connection) = self.connection.rest() {
            shared.pool.put(self.key, connection);
        }
    }

    /// Gives the connection back if the rest of the body has come already; else closes it.
    pub fn discard(mut self, shared: &Shared) {
        while let Ok(Decoded::Data(_)) = self.connection.decode(&mut self.decoder) {}
        self.finish(shared);
    }

    /// Waits for more of the body.
    pub async fn fill(&mut self) -> Result<(), ReadFault> {
        self.connection.fill_body(&mut self.decoder).await
    }

    /// Reads the whole body, of at most `most` bytes.
    pub async fn collect(&mut self, most: usize, by: Instant) -> Result<Vec<u8>, Fault> {
        let mut body = Vec::new();
        loop {
            let read = self.connection.read_body(&mut self.decoder);
            let data = timeout_at(by, read).await.map_err(|_| Fault::Timeout)?.map_err(|_| Fault::Broken)?;
            let Some(data) = data else { return Ok(body) };
            if body.len() + data.len() > most {
                return Err(Fault::Broken);
            }
            body.extend_from_slice(&data);
        }
    }
}

fn keep_alive(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers.get_text("keep-alive")?;
    let timeout = value.split(',').find_map(|item| item.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// Sends the request to `server` and waits for the head of its answer.
pub async fn exchange(
    shared: &Shared, server: &Selection, outbound: &mut Outbound, extra: &Extra, terms: Terms,
) -> Result<Answered, Fault> {
    for _ in 0..DEAD_MOST {
        let mut connection = connection(shared, server, outbound, terms).await?;
        if !shared.balancer.borrow().is_eligible(shared.now(), server.key, terms.part) {
            if connection.is_reused {
                shared.pool.put(server.key, connection);
            }
            return Err(Fault::Moot);
        }
        let left = terms.by.saturating_duration_since(Instant::now());
        if left < LEAST_LEFT {
            return Err(Fault::Late);
        }
        let head = outbound.encode(&server.id, left - DEADLINE_MARGIN, extra);
        let hold_back = hold_back(&terms, connection.is_reused, connection.doubtful_since.elapsed());
        outbound.carriers.push(connection.id());
        connection.must_close = !outbound.shares_connections();
        let sent = Instant::now();
        let written =
            timeout_at(terms.by, Writer::new(&mut connection, outbound).write(head, hold_back)).await;
        match written {
            Ok(Ok(Written::Whole | Written::Early)) => {
                return answer(shared, server.key, connection, outbound, terms, sent).await;
            }
            // It was found dead before the last byte was out.
            Ok(Err(_)) if connection.is_reused => {}
            Ok(Err(_)) => return Err(Fault::Connect),
            // A server that has begun to answer may have begun to work.
            Err(_) => {
                connection.take_in();
                return Err(if connection.has_bytes() { Fault::Timeout } else { Fault::Late });
            }
        }
    }
    Err(Fault::Moot)
}

async fn connection(
    shared: &Shared, server: &Selection, outbound: &Outbound, terms: Terms,
) -> Result<Connection, Fault> {
    if outbound.shares_connections()
        && let Some(connection) = shared.pool.take(server.key, terms.idempotent, &outbound.carriers)
    {
        return Ok(connection);
    }
    let proxies = shared.balancer.borrow().proxy_count();
    let open = shared.pool.open_count(server.key, terms.max_connections, proxies).ok_or(Fault::Moot)?;
    let now = Instant::now();
    let left = terms.by.saturating_duration_since(now);
    if left < LEAST_LEFT {
        return Err(Fault::Late);
    }
    let by = now + terms.objective.clamp(CONNECT_LEAST, CONNECT_MOST).min(left / CONNECT_PART);
    match timeout_at(by, Connection::open(server.address, open)).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => Err(connect_fault(&error)),
        Err(_) => Err(Fault::Connect),
    }
}

/// What a connection that did not come up tells: where this process or its machine is short of something, nothing of the server.
pub fn connect_fault(error: &io::Error) -> Fault {
    let is_own = error.raw_os_error().is_some_and(|number| OWN_SHORTAGES.contains(&number));
    if is_own { Fault::Moot } else { Fault::Connect }
}

/// How long the last byte of a request is held back on a connection that may be dead. On a kept one also if the request may be
/// repeated: each send that breaks uses one of its attempts up. New ones that are reset are rare, and cost it less than the wait.
pub fn hold_back(terms: &Terms, is_reused: bool, rested: Duration) -> Option<Duration> {
    let may_repeat = terms.idempotent || terms.part == Phase::Prefill;
    let may_be_dead = if is_reused { rested >= RESTED } else { !may_repeat };
    may_be_dead.then_some(HOLD_BACK)
}

async fn answer(
    shared: &Shared, key: ServerKey, mut connection: Connection, outbound: &Outbound, terms: Terms,
    sent: Instant,
) -> Result<Answered, Fault> {
    let read = read_own_head(&mut connection, outbound);
    let head = timeout_at(terms.by, read).await.map_err(|_| Fault::Timeout)?.map_err(|_| Fault::Broken)?;
    connection.doubtful_since = Instant::now();
    let framing = response_framing(&head, outbound.is_head).map_err(|_| Fault::Broken)?;
    note_report(shared, key, &head);
    Ok(Answered { head, framing, decoder: BodyDecoder::new(framing), connection, key, sent })
}

/// The head that carries the request's id. On a connection that was used before, answers to other requests are read over: a
/// server may send an answer twice, the second one late.
async fn read_own_head(connection: &mut Connection, outbound: &Outbound) -> Result<ResponseHead, ReadFault> {
    let mut room = MOST_SURPLUS;
    loop {
        let head = connection.read_head().await?;
        if outbound.is_own(&head) {
            return Ok(head);
        }
        if !connection.is_reused {
            return Err(ReadFault::NoAnswer);
        }
        read_over(connection, &head, &mut room).await?;
    }
}

/// Reads the body of another request's answer, of at most `room` bytes.
pub async fn read_over(
    connection: &mut Connection, head: &ResponseHead, room: &mut usize,
) -> Result<(), ReadFault> {
    let framing = response_framing(head, false).map_err(|_| ReadFault::NoAnswer)?;
    let mut decoder = BodyDecoder::new(framing);
    *room = room.checked_sub(head.headers.size()).ok_or(ReadFault::NoAnswer)?;
    while let Some(data) = connection.read_body(&mut decoder).await? {
        *room = room.checked_sub(data.len()).ok_or(ReadFault::NoAnswer)?;
    }
    Ok(())
}

fn note_report(shared: &Shared, key: ServerKey, head: &ResponseHead) {
    let report = head.headers.get_text("load-report");
    if let Some(report) = report.and_then(|text| LoadReport::parse(text, shared.now())) {
        shared.balancer.borrow_mut().record_load_report(key, report);
    }
}
