//! One exchange with one server: sends a request and waits for the head of the response.
//!
//! The error tells whether the server may have executed the request; see [`request_writer`](crate::outbound::request_writer).

use crate::http::{BodyDecoder, response_framing};
use crate::outbound::connection::Connection;
use crate::outbound::error::ExchangeError;
use crate::outbound::request::{AttemptHeaders, OutboundRequest};
use crate::outbound::request_writer::{RequestWriter, WriteOutcome};
use crate::outbound::response::{ServerResponse, read_response_head};
use crate::state::ProxyState;
use lugwharf_routing::{LoadReport, Phase, Selection, ServerKey};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The connect timeout is the latency objective within these bounds, but at most a third of the time left. Beyond that another
/// server responds sooner.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const CONNECT_TIMEOUT_DIVISOR: u32 = 3;
/// Reused connections that one exchange may find dead.
const MAX_DEAD_CONNECTIONS: usize = 4;
/// The server is told a deadline that is earlier by this much: its response has to travel back.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// With less time left nothing is sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// How long the last byte of a request is withheld on a connection that may be dead. A reset by a server that is saturated, or
/// has closed or lost the connection, arrives meanwhile.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(2);
/// A reused connection may be dead once it has been idle for this long: servers may drop it silently after some 300 ms.
const MAYBE_CLOSED_AFTER: Duration = Duration::from_millis(250);
/// The terms of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTerms {
    /// What the server is to do.
    pub phase: Phase,
    /// Until when the head of the response is waited for.
    pub deadline: Instant,
    /// The latency objective of the request.
    pub objective: Duration,
    /// Whether servers may execute the request more than once.
    pub is_idempotent: bool,
    /// The connections that the server accepts from all proxies; no limit if absent.
    pub max_connections: Option<u32>,
}

/// Sends the request to the selected server and waits for the head of its response.
///
/// A reused connection that turns out to be dead before the last byte was sent is replaced by another one.
pub async fn exchange(
    state: &ProxyState, server: &Selection, request: &mut OutboundRequest, headers: &AttemptHeaders,
    terms: ExchangeTerms,
) -> Result<ServerResponse, ExchangeError> {
    for _ in 0..MAX_DEAD_CONNECTIONS {
        let connection = connect(state, server, request, terms).await?;
        let mut connection = check_eligible(state, server, connection, terms.phase)?;
        let time_left = terms.deadline.saturating_duration_since(Instant::now());
        if time_left < MIN_TIME_LEFT {
            return Err(ExchangeError::TooLate);
        }
        let head = request.encode(&server.id, time_left - DEADLINE_MARGIN, headers);
        let idle = connection.maybe_closed_since.elapsed();
        let last_byte_delay = last_byte_delay(&terms, connection.is_reused, idle);
        request.used_connections.push(connection.id());
        connection.must_close = !request.may_share_connections();
        let sent_at = Instant::now();
        let mut writer = RequestWriter::new(&mut connection, request);
        match timeout_at(terms.deadline, writer.write(head, last_byte_delay)).await {
            Ok(Ok(WriteOutcome::Complete | WriteOutcome::EarlyResponse)) => {
                return receive(state, server.key, connection, request, terms, sent_at).await;
            }
            // The connection was found dead before the last byte was sent.
            Ok(Err(_)) if connection.is_reused => {}
            Ok(Err(_)) => return Err(ExchangeError::Connect),
            // A server that has begun to respond may have begun to execute.
            Err(_) => {
                connection.read_available();
                let has_begun = connection.has_unread_bytes();
                return Err(if has_begun { ExchangeError::Timeout } else { ExchangeError::TooLate });
            }
        }
    }
    Err(ExchangeError::Aborted)
}

/// Checks that the server may still be sent the request: the endpoint list may have changed since it was selected. Otherwise the
/// connection, if it was reused, returns to the pool.
fn check_eligible(
    state: &ProxyState, server: &Selection, connection: Connection, phase: Phase,
) -> Result<Connection, ExchangeError> {
    if state.balancer.borrow().is_eligible(state.now(), server.key, phase) {
        return Ok(connection);
    }
    if connection.is_reused {
        state.pool.checkin(server.key, connection);
    }
    Err(ExchangeError::Aborted)
}

/// A connection to the server, from the pool or a new one.
async fn connect(
    state: &ProxyState, server: &Selection, request: &OutboundRequest, terms: ExchangeTerms,
) -> Result<Connection, ExchangeError> {
    if request.may_share_connections()
        && let Some(connection) =
            state.pool.checkout(server.key, terms.is_idempotent, &request.used_connections)
    {
        return Ok(connection);
    }
    let proxies = state.balancer.borrow().proxy_count();
    let permit = state.pool.try_reserve(server.key, terms.max_connections, proxies);
    let permit = permit.ok_or(ExchangeError::Aborted)?;
    let now = Instant::now();
    let time_left = terms.deadline.saturating_duration_since(now);
    if time_left < MIN_TIME_LEFT {
        return Err(ExchangeError::TooLate);
    }
    let timeout = terms.objective.clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT);
    let deadline = now + timeout.min(time_left / CONNECT_TIMEOUT_DIVISOR);
    match timeout_at(deadline, Connection::open(server.address, permit)).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => Err(ExchangeError::from_connect_error(&error)),
        Err(_) => Err(ExchangeError::Connect),
    }
}

/// How long the last byte of a request is withheld; `None` if the connection is not suspected to be dead.
///
/// On a reused connection that was `idle` for long it is withheld even if the request may be retried: each break uses up one of
/// its executions. A new connection is rarely reset, which costs such a request less than the delay.
pub fn last_byte_delay(terms: &ExchangeTerms, is_reused: bool, idle: Duration) -> Option<Duration> {
    let may_retry = terms.is_idempotent || terms.phase == Phase::Prefill;
    let may_be_dead = if is_reused { idle >= MAYBE_CLOSED_AFTER } else { !may_retry };
    may_be_dead.then_some(LAST_BYTE_DELAY)
}

/// Waits for the head of the response, and reports the load that it carries.
async fn receive(
    state: &ProxyState, key: ServerKey, mut connection: Connection, request: &OutboundRequest,
    terms: ExchangeTerms, sent_at: Instant,
) -> Result<ServerResponse, ExchangeError> {
    let read = read_response_head(&mut connection, request);
    let head = timeout_at(terms.deadline, read).await.map_err(|_| ExchangeError::Timeout)?;
    let head = head.map_err(|_| ExchangeError::ConnectionBroken)?;
    connection.maybe_closed_since = Instant::now();
    let framing = response_framing(&head, request.is_head).map_err(|_| ExchangeError::ConnectionBroken)?;
    let report = head.headers.get_text("load-report");
    if let Some(report) = report.and_then(|text| LoadReport::parse(text, state.now())) {
        state.balancer.borrow_mut().record_load_report(key, report);
    }
    let decoder = BodyDecoder::new(framing);
    Ok(ServerResponse { head, framing, decoder, connection, key, sent_at })
}
