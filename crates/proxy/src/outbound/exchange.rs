//! One send of a request to one server, up to the head of its answer.
//!
//! The result tells whether the request may have run: see [`writing`](crate::outbound::request_writer).

use crate::http::{BodyDecoder, Decoded, Framing, ResponseHead, response_framing};
use crate::outbound::connection::{Connection, ReadError};
use crate::outbound::request::{AttemptHeaders, OutboundRequest};
use crate::outbound::request_writer::{RequestWriter, WriteOutcome};
use crate::state::ProxyState;
use lugwharf_routing::{LoadReport, Phase, Selection, ServerKey};
use std::io;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A connection comes up within the objective, but for these bounds, or within a third of the time left. Later than that another
/// server serves it sooner.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const CONNECT_TIMEOUT_DIVISOR: u32 = 3;
/// Kept connections that one send may find dead.
const MAX_DEAD_CONNECTIONS: usize = 4;
/// What is accepted off the time left before a server is told of it: its answer has to travel back.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// With less than this left nothing is sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// How long the last byte of a request is held back on a connection that may be dead: the reset by a server that is full, or has
/// closed or forgotten it, arrives meanwhile.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(2);
/// A kept connection may be dead once it has rested for so long: servers may forget it without a word after some 300 ms.
const MAYBE_CLOSED_AFTER: Duration = Duration::from_millis(250);
/// Errors of Linux by which a process is short of memory, descriptors (of its own and of the machine), addresses or buffers.
const LOCAL_SHORTAGE_ERRNOS: [i32; 5] = [12, 23, 24, 99, 105];
/// Bytes of answers to other requests that are read over at most.
pub const MAX_STRAY_BYTES: usize = 64 * 1024;

/// How a send ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection came up: the server is not there.
    Connect,
    /// Nothing was sent, and the server is not to blame: it left the list meanwhile, or too many connections are open.
    Aborted,
    /// Nothing was sent since the time is over.
    TooLate,
    /// All was sent; then the connection broke, or what came was no answer to this request.
    ConnectionBroken,
    /// All was sent; then the time was over.
    Timeout,
}

/// The terms of one send.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTerms {
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
pub struct ServerResponse {
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

impl ServerResponse {
    /// Gives the connection back once the body is whole.
    pub fn finish(mut self, state: &ProxyState) {
        if !self.decoder.is_done() || self.head.says_close() || self.framing == Framing::UntilEnd {
            return;
        }
        let timeout = keep_alive(&self.head);
        self.connection.server_closes_at = timeout.map(|timeout| Instant::now() + timeout);
        if let Some(connection) = self.connection.rest() {
            state.pool.put(self.key, connection);
        }
    }

    /// Gives the connection back if the rest of the body has come already; else closes it.
    pub fn discard(mut self, state: &ProxyState) {
        while let Ok(Decoded::Data(_)) = self.connection.decode(&mut self.decoder) {}
        self.finish(state);
    }

    /// Waits for more of the body.
    pub async fn fill(&mut self) -> Result<(), ReadError> {
        self.connection.fill_body(&mut self.decoder).await
    }

    /// Reads the whole body, of at most `most` bytes.
    pub async fn collect(&mut self, most: usize, by: Instant) -> Result<Vec<u8>, ExchangeError> {
        let mut body = Vec::new();
        loop {
            let read = self.connection.read_body(&mut self.decoder);
            let data = timeout_at(by, read)
                .await
                .map_err(|_| ExchangeError::Timeout)?
                .map_err(|_| ExchangeError::ConnectionBroken)?;
            let Some(data) = data else { return Ok(body) };
            if body.len() + data.len() > most {
                return Err(ExchangeError::ConnectionBroken);
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
    state: &ProxyState, server: &Selection, outbound: &mut OutboundRequest, extra: &AttemptHeaders,
    terms: ExchangeTerms,
) -> Result<ServerResponse, ExchangeError> {
    for _ in 0..MAX_DEAD_CONNECTIONS {
        let mut connection = connection(state, server, outbound, terms).await?;
        if !state.balancer.borrow().is_eligible(state.now(), server.key, terms.part) {
            if connection.is_reused {
                state.pool.put(server.key, connection);
            }
            return Err(ExchangeError::Aborted);
        }
        let left = terms.by.saturating_duration_since(Instant::now());
        if left < MIN_TIME_LEFT {
            return Err(ExchangeError::TooLate);
        }
        let head = outbound.encode(&server.id, left - DEADLINE_MARGIN, extra);
        let last_byte_delay =
            last_byte_delay(&terms, connection.is_reused, connection.maybe_closed_since.elapsed());
        outbound.used_connections.push(connection.id());
        connection.must_close = !outbound.may_share_connections();
        let sent = Instant::now();
        let written =
            timeout_at(terms.by, RequestWriter::new(&mut connection, outbound).write(head, last_byte_delay))
                .await;
        match written {
            Ok(Ok(WriteOutcome::Complete | WriteOutcome::EarlyResponse)) => {
                return answer(state, server.key, connection, outbound, terms, sent).await;
            }
            // It was found dead before the last byte was out.
            Ok(Err(_)) if connection.is_reused => {}
            Ok(Err(_)) => return Err(ExchangeError::Connect),
            // A server that has begun to answer may have begun to work.
            Err(_) => {
                connection.read_available();
                return Err(if connection.has_unread_bytes() {
                    ExchangeError::Timeout
                } else {
                    ExchangeError::TooLate
                });
            }
        }
    }
    Err(ExchangeError::Aborted)
}

async fn connection(
    state: &ProxyState, server: &Selection, outbound: &OutboundRequest, terms: ExchangeTerms,
) -> Result<Connection, ExchangeError> {
    if outbound.may_share_connections()
        && let Some(connection) = state.pool.take(server.key, terms.idempotent, &outbound.used_connections)
    {
        return Ok(connection);
    }
    let proxies = state.balancer.borrow().proxy_count();
    let open =
        state.pool.try_reserve(server.key, terms.max_connections, proxies).ok_or(ExchangeError::Aborted)?;
    let now = Instant::now();
    let left = terms.by.saturating_duration_since(now);
    if left < MIN_TIME_LEFT {
        return Err(ExchangeError::TooLate);
    }
    let by = now
        + terms.objective.clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT).min(left / CONNECT_TIMEOUT_DIVISOR);
    match timeout_at(by, Connection::open(server.address, open)).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => Err(connect_fault(&error)),
        Err(_) => Err(ExchangeError::Connect),
    }
}

/// What a connection that did not come up tells: where this process or its machine is short of something, nothing of the server.
pub fn connect_fault(error: &io::Error) -> ExchangeError {
    let is_response_to_this =
        error.raw_os_error().is_some_and(|number| LOCAL_SHORTAGE_ERRNOS.contains(&number));
    if is_response_to_this { ExchangeError::Aborted } else { ExchangeError::Connect }
}

/// How long the last byte of a request is held back on a connection that may be dead. On a kept one also if the request may be
/// repeated: each send that breaks uses one of its attempts up. New ones that are reset are rare, and cost it less than the wait.
pub fn last_byte_delay(terms: &ExchangeTerms, is_reused: bool, rested: Duration) -> Option<Duration> {
    let may_repeat = terms.idempotent || terms.part == Phase::Prefill;
    let may_be_dead = if is_reused { rested >= MAYBE_CLOSED_AFTER } else { !may_repeat };
    may_be_dead.then_some(LAST_BYTE_DELAY)
}

async fn answer(
    state: &ProxyState, key: ServerKey, mut connection: Connection, outbound: &OutboundRequest,
    terms: ExchangeTerms, sent: Instant,
) -> Result<ServerResponse, ExchangeError> {
    let read = read_own_head(&mut connection, outbound);
    let head = timeout_at(terms.by, read)
        .await
        .map_err(|_| ExchangeError::Timeout)?
        .map_err(|_| ExchangeError::ConnectionBroken)?;
    connection.maybe_closed_since = Instant::now();
    let framing = response_framing(&head, outbound.is_head).map_err(|_| ExchangeError::ConnectionBroken)?;
    note_report(state, key, &head);
    Ok(ServerResponse { head, framing, decoder: BodyDecoder::new(framing), connection, key, sent })
}

/// The head that carries the request's id. On a connection that was used before, answers to other requests are read over: a
/// server may send an answer twice, the second one late.
async fn read_own_head(
    connection: &mut Connection, outbound: &OutboundRequest,
) -> Result<ResponseHead, ReadError> {
    let mut room = MAX_STRAY_BYTES;
    loop {
        let head = connection.read_head().await?;
        if outbound.is_response_to_this(&head) {
            return Ok(head);
        }
        if !connection.is_reused {
            return Err(ReadError::InvalidResponse);
        }
        discard_response(connection, &head, &mut room).await?;
    }
}

/// Reads the body of another request's answer, of at most `room` bytes.
pub async fn discard_response(
    connection: &mut Connection, head: &ResponseHead, room: &mut usize,
) -> Result<(), ReadError> {
    let framing = response_framing(head, false).map_err(|_| ReadError::InvalidResponse)?;
    let mut decoder = BodyDecoder::new(framing);
    *room = room.checked_sub(head.headers.size()).ok_or(ReadError::InvalidResponse)?;
    while let Some(data) = connection.read_body(&mut decoder).await? {
        *room = room.checked_sub(data.len()).ok_or(ReadError::InvalidResponse)?;
    }
    Ok(())
}

fn note_report(state: &ProxyState, key: ServerKey, head: &ResponseHead) {
    let report = head.headers.get_text("load-report");
    if let Some(report) = report.and_then(|text| LoadReport::parse(text, state.now())) {
        state.balancer.borrow_mut().record_load_report(key, report);
    }
}
