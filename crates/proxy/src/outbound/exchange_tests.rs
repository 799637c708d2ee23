//! Exchanges with a scripted server: what their errors say about the execution of the request, and which
//! connections they use.

use crate::outbound::connection::Connection;
use crate::outbound::error::ExchangeError;
use crate::outbound::exchange::{ExchangeTerms, exchange, last_byte_delay};
use crate::outbound::fixtures::{
    apply_server_list, open_connection, outbound_request, server_and_state, server_entry, server_key,
    server_selection,
};
use crate::outbound::request::{AttemptHeaders, OutboundRequest};
use crate::outbound::response::ServerResponse;
use crate::state::ProxyState;
use lugwharf_routing::Phase;
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

const LONG_BODY_BYTES: usize = 32 << 20;
const RESPONSE: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";

fn exchange_terms(is_idempotent: bool, phase: Phase) -> ExchangeTerms {
    ExchangeTerms {
        phase,
        deadline: Instant::now() + Duration::from_secs(3),
        objective: Duration::from_millis(300),
        is_idempotent,
        max_connections: None,
    }
}

fn request_with_body(length: usize) -> OutboundRequest {
    outbound_request("POST", "Request-Id: r1\r\n", vec![b'x'; length])
}

async fn run_exchange(
    state: &ProxyState, listener: &TcpListener, outbound: &mut OutboundRequest, terms: ExchangeTerms,
) -> Result<ServerResponse, ExchangeError> {
    let selection = server_selection(state, listener.local_addr().expect("the listener has a local address"));
    exchange(state, &selection, outbound, &AttemptHeaders::default(), terms).await
}

async fn read_until(peer: &mut TcpStream, end: &[u8]) {
    let (mut seen, mut byte) = (Vec::new(), [0]);
    while !seen.ends_with(end) {
        peer.read_exact(&mut byte).await.expect("the peer receives a byte");
        seen.push(byte[0]);
    }
}

/// The last byte is withheld if the connection may be reset: on a reused connection if it has been idle for
/// 250 ms, on a new one if the request must not be retried.
#[rstest]
#[case::new(false, Phase::Full, false, 0, true)]
#[case::new_decode(false, Phase::Decode, false, 0, true)]
#[case::idle(false, Phase::Full, true, 250, true)]
#[case::just_used(false, Phase::Full, true, 249, false)]
#[case::idempotent(true, Phase::Full, false, 0, false)]
#[case::idempotent_idle(true, Phase::Full, true, 250, true)]
#[case::idempotent_just_used(true, Phase::Full, true, 249, false)]
#[case::prefill(false, Phase::Prefill, false, 0, false)]
#[case::prefill_idle(false, Phase::Prefill, true, 250, true)]
#[tokio::test]
async fn last_byte_is_withheld_if_the_connection_may_be_reset(
    #[case] is_idempotent: bool, #[case] phase: Phase, #[case] is_reused: bool, #[case] idle_ms: u64,
    #[case] is_withheld: bool,
) {
    let idle = Duration::from_millis(idle_ms);
    assert_eq!(
        last_byte_delay(&exchange_terms(is_idempotent, phase), is_reused, idle).is_some(),
        is_withheld
    );
}

/// The deadline passes while the body is being sent. If the server has begun to respond, it may have executed
/// the request.
#[rstest]
#[case::silent("", ExchangeError::TooLate)]
#[case::begun("HTTP/1.1 2", ExchangeError::Timeout)]
#[tokio::test]
async fn deadline_before_the_last_byte(#[case] received: &str, #[case] expected: ExchangeError) {
    let (state, listener) = server_and_state().await;
    let mut outbound = request_with_body(LONG_BODY_BYTES);
    let server = async {
        let mut peer = listener.accept().await.expect("a connection is accepted").0;
        read_until(&mut peer, b"\r\n\r\n").await;
        peer.write_all(received.as_bytes()).await.expect("the bytes are written");
        tokio::time::pause();
        peer
    };
    let (result, _peer) = tokio::join!(
        run_exchange(&state, &listener, &mut outbound, exchange_terms(false, Phase::Full)),
        server
    );
    assert_eq!(result.err(), Some(expected));
}

#[rstest]
#[case::too_little_time(19, true)]
#[case::enough_time(200, false)]
#[tokio::test]
async fn nothing_is_sent_with_too_little_time_left(
    #[case] left_ms: u64, #[case] is_late: bool, #[values(true, false)] is_reused: bool,
) {
    let (state, listener) = server_and_state().await;
    tokio::time::pause();
    let mut pooled = None;
    if is_reused {
        let (connection, peer) = open_connection(&state, &listener).await;
        state.pool.checkin(server_key(&state), connection.into_idle().expect("the connection is reusable"));
        pooled = Some(peer);
    }
    let mut outbound = request_with_body(4);
    let deadline = Instant::now() + Duration::from_millis(left_ms);
    let result = run_exchange(
        &state,
        &listener,
        &mut outbound,
        ExchangeTerms { deadline, ..exchange_terms(true, Phase::Full) },
    )
    .await;
    let expected = if is_late { ExchangeError::TooLate } else { ExchangeError::Timeout };
    assert_eq!(result.err(), Some(expected));
    assert_eq!(outbound.used_connections.is_empty(), is_late);
    drop(pooled);
}

#[tokio::test]
async fn nothing_is_sent_to_a_server_removed_after_its_selection() {
    let (state, listener) = server_and_state().await;
    let selection =
        server_selection(&state, listener.local_addr().expect("the listener has a local address"));
    apply_server_list(&state, 2, Vec::new());
    let mut outbound = request_with_body(4);
    let result = exchange(
        &state,
        &selection,
        &mut outbound,
        &AttemptHeaders::default(),
        exchange_terms(true, Phase::Full),
    )
    .await;
    assert_eq!((result.err(), outbound.used_connections.len()), (Some(ExchangeError::Aborted), 0));
}

#[tokio::test]
async fn pooled_connection_returned_unused_keeps_its_idle_time() {
    let (state, listener) = server_and_state().await;
    tokio::time::pause();
    let (connection, _peer) = open_connection(&state, &listener).await;
    let connection = connection.into_idle().expect("the connection is reusable");
    let (id, since) = (connection.id(), connection.idle_since);
    state.pool.checkin(server_key(&state), connection);
    tokio::time::advance(Duration::from_millis(900)).await;
    let mut draining = server_entry(listener.local_addr().expect("the listener has a local address"));
    draining.state = lugwharf_protocol::ServerState::Draining;
    apply_server_list(&state, 2, vec![draining]);
    let mut outbound = request_with_body(4);
    let result = run_exchange(&state, &listener, &mut outbound, exchange_terms(true, Phase::Full)).await;
    assert_eq!(result.err(), Some(ExchangeError::Aborted));
    let connection =
        state.pool.checkout(server_key(&state), true, &[]).expect("the connection was returned to the pool");
    assert_eq!((connection.id(), connection.idle_since), (id, since));
}

/// Stale reused connections are replaced one after the other, and at last by a new connection.
#[rstest]
#[case::some(3, true)]
#[case::too_many(4, false)]
#[tokio::test]
async fn stale_connections_are_replaced(
    #[case] stale: usize, #[case] is_sent: bool,
    #[values(idle_for_long, slowly_forwarded)] age: fn(Connection) -> Connection,
) {
    let (state, listener) = server_and_state().await;
    let mut peers = Vec::new();
    for _ in 0..stale {
        let (connection, peer) = open_connection(&state, &listener).await;
        state.pool.checkin(server_key(&state), age(connection));
        peers.push(peer);
    }
    let mut outbound = request_with_body(4);
    let server = async {
        // Each connection closes while the last byte is withheld. No time passes until the next connection is
        // used.
        let closes = async {
            for mut peer in peers.into_iter().rev() {
                read_until(&mut peer, b"\r\n\r\nxxx").await;
            }
            listener.accept().await.expect("a connection is accepted").0
        };
        let mut peer = with_stopped_clock(closes).await;
        read_until(&mut peer, b"\r\n\r\nxxxx").await;
        peer.write_all(RESPONSE.as_bytes()).await.expect("the bytes are written");
        peer
    };
    let sending = run_exchange(&state, &listener, &mut outbound, exchange_terms(false, Phase::Full));
    let result = tokio::select! {
        result = sending => result,
        _ = async { server.await; std::future::pending::<()>().await } => unreachable!("the server task never completes"),
    };
    assert_eq!(result.err(), (!is_sent).then_some(ExchangeError::Aborted));
    assert_eq!(outbound.used_connections.len(), if is_sent { stale + 1 } else { stale });
}

/// Runs `body` with the clock stopped.
async fn with_stopped_clock<T>(body: impl Future<Output = T>) -> T {
    tokio::time::pause();
    // A paused clock advances by itself when all tasks are idle, so one task is kept busy.
    let busy = async {
        loop {
            tokio::task::yield_now().await;
        }
    };
    let done = tokio::select! {
        biased;
        done = body => done,
        () = busy => unreachable!("the busy task never completes"),
    };
    tokio::time::resume();
    done
}

/// Makes the connection idle for long enough that it may be stale.
fn idle_for_long(connection: Connection) -> Connection {
    let mut connection = connection.into_idle().expect("the connection is reusable");
    connection.idle_since -= Duration::from_millis(600);
    connection.server_idle_since -= Duration::from_millis(600);
    connection
}

/// Makes the connection idle after its last response was forwarded to a slow client: the connection may have
/// been idle at the server during all that time.
fn slowly_forwarded(connection: Connection) -> Connection {
    let mut connection = connection.into_idle().expect("the connection is reusable");
    connection.server_idle_since -= Duration::from_millis(600);
    connection
}

/// A request is not sent again on a connection that it has already been sent on.
#[tokio::test]
async fn request_is_sent_once_per_connection() {
    let (state, listener) = server_and_state().await;
    let (mut outbound, mut peers) = (request_with_body(4), Vec::new());
    for attempt in 0..3 {
        let server = async {
            let mut peer = listener.accept().await.expect("a connection is accepted").0;
            read_until(&mut peer, b"\r\n\r\nxxxx").await;
            peer.write_all(RESPONSE.as_bytes()).await.expect("the bytes are written");
            peer
        };
        let sending = run_exchange(&state, &listener, &mut outbound, exchange_terms(true, Phase::Full));
        let (result, peer) = tokio::join!(sending, server);
        result.expect("the exchange succeeds").release_connection(&state);
        assert_eq!(outbound.used_connections.len(), attempt + 1);
        peers.push(peer);
    }
    assert!(state.pool.checkout(server_key(&state), true, &outbound.used_connections).is_none());
    assert!(state.pool.checkout(server_key(&state), true, &[]).is_some());
}

/// A connection whose close delimits the response is not pooled, since it would count towards the limit on
/// open connections.
#[rstest]
#[case::with_a_length(RESPONSE, true)]
#[case::until_the_close("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall", false)]
#[tokio::test]
async fn connection_of_a_response_without_length_is_not_pooled(
    #[case] response: &str, #[case] is_pooled: bool,
) {
    let (state, listener) = server_and_state().await;
    let mut outbound = request_with_body(4);
    let server = async {
        let mut peer = listener.accept().await.expect("a connection is accepted").0;
        read_until(&mut peer, b"\r\n\r\nxxxx").await;
        peer.write_all(response.as_bytes()).await.expect("the bytes are written");
        is_pooled.then_some(peer)
    };
    let sending = async {
        let mut response = run_exchange(&state, &listener, &mut outbound, exchange_terms(true, Phase::Full))
            .await
            .expect("the exchange succeeds");
        response.collect(100, Instant::now() + Duration::from_secs(3)).await.expect("the body is received");
        response.release_connection(&state);
    };
    let ((), _peer) = tokio::join!(sending, server);
    let open = std::iter::from_fn(|| state.pool.try_reserve(server_key(&state), Some(6), 1));
    assert_eq!(open.take(7).collect::<Vec<_>>().len(), if is_pooled { 5 } else { 6 });
}

#[rstest]
#[case::as_long(3, true)]
#[case::longer(2, false)]
#[tokio::test]
async fn collected_body_is_limited(#[case] max: usize, #[case] is_accepted: bool) {
    let (state, listener) = server_and_state().await;
    let mut outbound = request_with_body(4);
    let server = async {
        let mut peer = listener.accept().await.expect("a connection is accepted").0;
        read_until(&mut peer, b"\r\n\r\nxxxx").await;
        let response = RESPONSE.replace("Length: 0", "Length: 3") + "all";
        peer.write_all(response.as_bytes()).await.expect("the bytes are written");
        peer
    };
    let sending = run_exchange(&state, &listener, &mut outbound, exchange_terms(true, Phase::Full));
    let (response, _peer) = tokio::join!(sending, server);
    let body =
        response.expect("the exchange succeeds").collect(max, Instant::now() + Duration::from_secs(3)).await;
    assert_eq!(body.ok(), is_accepted.then(|| b"all".to_vec()));
}

/// Responses to other requests are discarded only on reused connections, and only up to 64 KiB.
#[rstest]
#[case::small(10, true, true)]
#[case::large(70_000, true, false)]
#[case::on_a_new_connection(10, false, false)]
#[tokio::test]
async fn response_to_another_request(
    #[case] length: usize, #[case] is_reused: bool, #[case] is_discarded: bool,
) {
    let (state, listener) = server_and_state().await;
    let mut outbound = request_with_body(4);
    let mut pooled = None;
    if is_reused {
        let (connection, peer) = open_connection(&state, &listener).await;
        state.pool.checkin(server_key(&state), connection.into_idle().expect("the connection is reusable"));
        pooled = Some(peer);
    }
    let server = async {
        let mut peer = match pooled {
            Some(peer) => peer,
            None => listener.accept().await.expect("a connection is accepted").0,
        };
        read_until(&mut peer, b"\r\n\r\nxxxx").await;
        let body = "x".repeat(length);
        let other = format!("HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: {length}\r\n\r\n{body}");
        // The proxy may close the connection before everything is written.
        drop(peer.write_all(format!("{other}{RESPONSE}").as_bytes()).await);
        peer
    };
    let sending = run_exchange(&state, &listener, &mut outbound, exchange_terms(true, Phase::Full));
    let (result, _peer) = tokio::join!(sending, server);
    assert_eq!(result.err(), (!is_discarded).then_some(ExchangeError::ConnectionBroken));
}

#[rstest]
#[case::memory(12, ExchangeError::Aborted)]
#[case::descriptors_of_the_machine(23, ExchangeError::Aborted)]
#[case::own_descriptors(24, ExchangeError::Aborted)]
#[case::addresses(99, ExchangeError::Aborted)]
#[case::buffers(105, ExchangeError::Aborted)]
#[case::reset(104, ExchangeError::Connect)]
#[case::timed_out(110, ExchangeError::Connect)]
#[case::refused(111, ExchangeError::Connect)]
#[case::no_route(113, ExchangeError::Connect)]
fn resource_exhaustion_on_this_machine_is_not_a_server_failure(
    #[case] errno: i32, #[case] expected: ExchangeError,
) {
    assert_eq!(ExchangeError::from_connect_error(&std::io::Error::from_raw_os_error(errno)), expected);
}
