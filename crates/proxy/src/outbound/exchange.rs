//! One exchange with one server: sends a request and reads the head of the response.
//!
//! The error indicates whether the server may have executed the request; see
//! [`request_writer`](crate::outbound::request_writer).

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

/// The connect timeout is the latency objective, clamped to these bounds, but at most a third of the time
/// left. After that another server would probably respond sooner.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// See [`MIN_CONNECT_TIMEOUT`].
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The divisor of the time left that gives the upper limit of the connect timeout.
const CONNECT_TIMEOUT_DIVISOR: u32 = 3;
/// The maximum number of stale reused connections that one exchange tries.
const MAX_STALE_CONNECTIONS: usize = 4;
/// The deadline sent to the server is earlier than the request's by this margin, which allows for the time
/// that the response takes to arrive.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// The minimum time left to send a request.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// How long the last byte of a request is delayed on a connection that may be reset. If the server is
/// saturated, or has closed or lost the connection, its reset arrives within this time.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(2);
/// The idle time after which a reused connection may be stale: servers may drop a connection silently after
/// about 300 ms.
const STALE_AFTER_IDLE: Duration = Duration::from_millis(250);

/// The terms of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTerms {
    /// The phase that is requested of the server.
    pub phase: Phase,
    /// The deadline for the head of the response.
    pub deadline: Instant,
    /// The latency objective of the request.
    pub objective: Duration,
    /// Whether servers may execute the request more than once.
    pub is_idempotent: bool,
    /// The maximum number of connections that the server accepts from all proxies together. No limit if
    /// absent.
    pub max_connections: Option<u32>,
}

/// Sends the request to the selected server and reads the head of its response.
///
/// If a reused connection fails before the last byte was sent, it was stale, and another connection is tried.
pub async fn exchange(
    state: &ProxyState, server: &Selection, request: &mut OutboundRequest, headers: &AttemptHeaders,
    terms: ExchangeTerms,
) -> Result<ServerResponse, ExchangeError> {
    for _ in 0..MAX_STALE_CONNECTIONS {
        let connection = connect(state, server, request, terms).await?;
        let mut connection = check_eligible(state, server, connection, terms.phase)?;
        let time_left = terms.deadline.saturating_duration_since(Instant::now());
        if time_left < MIN_TIME_LEFT {
            return Err(ExchangeError::TooLate);
        }
        let head = request.encode(&server.id, time_left - DEADLINE_MARGIN, headers);
        let idle_time = connection.server_idle_since.elapsed();
        let last_byte_delay = last_byte_delay(&terms, connection.is_reused, idle_time);
        request.used_connections.push(connection.id());
        connection.must_close = !request.may_share_connections();
        let sent_at = Instant::now();
        let mut writer = RequestWriter::new(&mut connection, request);
        match timeout_at(terms.deadline, writer.write(head, last_byte_delay)).await {
            Ok(Ok(WriteOutcome::Complete | WriteOutcome::EarlyResponse)) => {
                return receive_head(state, server.key, connection, request, terms, sent_at).await;
            }
            // The reused connection was stale. The last byte was not sent.
            Ok(Err(_)) if connection.is_reused => {}
            Ok(Err(_)) => return Err(ExchangeError::Connect),
            // A server that has begun to respond may have executed the request.
            Err(_) => {
                connection.read_available();
                let has_begun = connection.has_unread_bytes();
                return Err(if has_begun { ExchangeError::Timeout } else { ExchangeError::TooLate });
            }
        }
    }
    Err(ExchangeError::Aborted)
}

/// Checks that the server is still eligible, since the endpoint list may have changed after the selection. If
/// the server is not eligible, a reused connection is returned to the pool and a new one is closed.
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

/// Takes a connection to the server from the pool, or establishes a new one.
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

/// Returns how long the last byte of a request is delayed, or `None` if no reset of the connection is
/// expected.
///
/// On a reused connection that may be stale, the last byte is delayed even if the request may be retried,
/// since each broken connection uses up one of its executions. On a new connection, the last byte is delayed
/// only if the request must not be retried: resets of new connections are rare, so that for other requests an
/// occasional retry costs less than the delay.
pub fn last_byte_delay(terms: &ExchangeTerms, is_reused: bool, idle_time: Duration) -> Option<Duration> {
    let may_retry = terms.is_idempotent || terms.phase == Phase::Prefill;
    let may_be_reset = if is_reused { idle_time >= STALE_AFTER_IDLE } else { !may_retry };
    may_be_reset.then_some(LAST_BYTE_DELAY)
}

/// Reads the head of the response, and records the load report in it.
async fn receive_head(
    state: &ProxyState, key: ServerKey, mut connection: Connection, request: &OutboundRequest,
    terms: ExchangeTerms, sent_at: Instant,
) -> Result<ServerResponse, ExchangeError> {
    let read = read_response_head(&mut connection, request);
    let head = timeout_at(terms.deadline, read).await.map_err(|_| ExchangeError::Timeout)?;
    let head = head.map_err(|_| ExchangeError::ConnectionBroken)?;
    connection.server_idle_since = Instant::now();
    let framing = response_framing(&head, request.is_head).map_err(|_| ExchangeError::ConnectionBroken)?;
    let report = head.headers.get_text("load-report");
    if let Some(report) = report.and_then(|text| LoadReport::parse(text, state.now())) {
        state.balancer.borrow_mut().record_load_report(key, report);
    }
    let decoder = BodyDecoder::new(framing);
    Ok(ServerResponse { head, framing, decoder, connection, key, sent_at })
}
