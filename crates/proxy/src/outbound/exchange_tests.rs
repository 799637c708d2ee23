//! What one send tells of whether the request may have run.

use crate::outbound::connection::Connection;
use crate::outbound::exchange::{ExchangeError, ExchangeTerms, connect_error, exchange, last_byte_delay};
use crate::outbound::fixtures::{choice, connected, entry, key, list, listener, outbound, state};
use crate::outbound::request::{AttemptHeaders, OutboundRequest};
use crate::outbound::response::ServerResponse;
use crate::state::ProxyState;
use lugwharf_routing::Phase;
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

const LONG: usize = 32 << 20;
const OWN: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";

fn terms(is_idempotent: bool, phase: Phase) -> ExchangeTerms {
    ExchangeTerms {
        phase,
        deadline: Instant::now() + Duration::from_secs(3),
        objective: Duration::from_millis(300),
        is_idempotent,
        max_connections: None,
    }
}

fn request(length: usize) -> OutboundRequest {
    outbound("POST", "Request-Id: r1\r\n", vec![b'x'; length])
}

async fn send(
    state: &ProxyState, listener: &TcpListener, outbound: &mut OutboundRequest, terms: ExchangeTerms,
) -> Result<ServerResponse, ExchangeError> {
    let choice = choice(state, listener.local_addr().expect("an address"));
    exchange(state, &choice, outbound, &AttemptHeaders::default(), terms).await
}

async fn world() -> (std::rc::Rc<ProxyState>, TcpListener) {
    let listener = listener().await;
    (state(listener.local_addr().expect("an address")), listener)
}

async fn read(peer: &mut TcpStream, end: &[u8]) {
    let (mut seen, mut byte) = (Vec::new(), [0]);
    while !seen.ends_with(end) {
        peer.read_exact(&mut byte).await.expect("a byte");
        seen.push(byte[0]);
    }
}

/// Held back is what can't be repeated, where the connection may be dead.
#[rstest]
#[case::new(false, Phase::Full, false, 0, true)]
#[case::new_decode(false, Phase::Decode, false, 0, true)]
#[case::rested(false, Phase::Full, true, 250, true)]
#[case::just_used(false, Phase::Full, true, 249, false)]
#[case::may_repeat(true, Phase::Full, false, 0, false)]
#[case::may_repeat_rested(true, Phase::Full, true, 250, true)]
#[case::may_repeat_just_used(true, Phase::Full, true, 249, false)]
#[case::a_reading(false, Phase::Prefill, false, 0, false)]
#[case::a_reading_rested(false, Phase::Prefill, true, 250, true)]
#[tokio::test]
async fn what_is_held_back(
    #[case] idempotent: bool, #[case] part: Phase, #[case] is_reused: bool, #[case] rested: u64,
    #[case] is_held: bool,
) {
    let rested = Duration::from_millis(rested);
    assert_eq!(last_byte_delay(&terms(idempotent, part), is_reused, rested).is_some(), is_held);
}

/// The time is over while the body is still due: a server that has begun to answer may have begun to work.
#[rstest]
#[case::silent("", ExchangeError::TooLate)]
#[case::begun("HTTP/1.1 2", ExchangeError::Timeout)]
#[tokio::test]
async fn time_over_before_the_last_byte(#[case] says: &str, #[case] expected: ExchangeError) {
    let (state, listener) = world().await;
    let mut outbound = request(LONG);
    let script = async {
        let mut peer = listener.accept().await.expect("a connection").0;
        read(&mut peer, b"\r\n\r\n").await;
        peer.write_all(says.as_bytes()).await.expect("said");
        tokio::time::pause();
        peer
    };
    let (result, _peer) =
        tokio::join!(send(&state, &listener, &mut outbound, terms(false, Phase::Full)), script);
    assert_eq!(result.err(), Some(expected));
}

#[rstest]
#[case::nothing_is_sent_when_the_time_is_over(19, true)]
#[case::there_is_time(200, false)]
#[tokio::test]
async fn little_time_left(#[case] left: u64, #[case] is_late: bool, #[values(true, false)] is_kept: bool) {
    let (state, listener) = world().await;
    tokio::time::pause();
    let mut kept = None;
    if is_kept {
        let (connection, peer) = connected(&state, &listener).await;
        state.pool.checkin(key(&state), connection.into_idle().expect("clean"));
        kept = Some(peer);
    }
    let mut outbound = request(4);
    let by = Instant::now() + Duration::from_millis(left);
    let result =
        send(&state, &listener, &mut outbound, ExchangeTerms { deadline: by, ..terms(true, Phase::Full) })
            .await;
    let expected = if is_late { ExchangeError::TooLate } else { ExchangeError::Timeout };
    assert_eq!(result.err(), Some(expected));
    assert_eq!(outbound.used_connections.is_empty(), is_late);
    drop(kept);
}

/// A server that left the list while the connection came up gets nothing, and a kept connection stays as old as it is.
#[tokio::test]
async fn a_server_that_has_left_meanwhile_gets_nothing() {
    let (state, listener) = world().await;
    let choice = choice(&state, listener.local_addr().expect("an address"));
    list(&state, 2, Vec::new());
    let mut outbound = request(4);
    let result =
        exchange(&state, &choice, &mut outbound, &AttemptHeaders::default(), terms(true, Phase::Full)).await;
    assert_eq!((result.err(), outbound.used_connections.len()), (Some(ExchangeError::Aborted), 0));
}

#[tokio::test]
async fn a_kept_connection_that_was_not_used_is_as_old_as_before() {
    let (state, listener) = world().await;
    tokio::time::pause();
    let (connection, _peer) = connected(&state, &listener).await;
    let connection = connection.into_idle().expect("clean");
    let (id, since) = (connection.id(), connection.idle_since);
    state.pool.checkin(key(&state), connection);
    tokio::time::advance(Duration::from_millis(900)).await;
    let mut draining = entry(listener.local_addr().expect("an address"));
    draining.state = lugwharf_protocol::ServerState::Draining;
    list(&state, 2, vec![draining]);
    let mut outbound = request(4);
    let result = send(&state, &listener, &mut outbound, terms(true, Phase::Full)).await;
    assert_eq!(result.err(), Some(ExchangeError::Aborted));
    let connection = state.pool.checkout(key(&state), true, &[]).expect("kept");
    assert_eq!((connection.id(), connection.idle_since), (id, since));
}

/// Kept connections that turn out dead are left, one after the other, for a new one in the end.
#[rstest]
#[case::some(3, true)]
#[case::too_many(4, false)]
#[tokio::test]
async fn dead_connections_are_left_for_others(
    #[case] dead: usize, #[case] is_sent: bool,
    #[values(rested, slowly_relayed)] age: fn(Connection) -> Connection,
) {
    let (state, listener) = world().await;
    let mut peers = Vec::new();
    for _ in 0..dead {
        let (connection, peer) = connected(&state, &listener).await;
        state.pool.checkin(key(&state), age(connection));
        peers.push(peer);
    }
    let mut outbound = request(4);
    let script = async {
        // Each one ends while the last byte is held back: no time passes until the next connection is used.
        let ends = async {
            for mut peer in peers.into_iter().rev() {
                read(&mut peer, b"\r\n\r\nxxx").await;
            }
            listener.accept().await.expect("a connection").0
        };
        let mut peer = frozen(ends).await;
        read(&mut peer, b"\r\n\r\nxxxx").await;
        peer.write_all(OWN.as_bytes()).await.expect("said");
        peer
    };
    let sending = send(&state, &listener, &mut outbound, terms(false, Phase::Full));
    let result = tokio::select! {
        result = sending => result,
        _ = async { script.await; std::future::pending::<()>().await } => unreachable!("it never ends"),
    };
    assert_eq!(result.err(), (!is_sent).then_some(ExchangeError::Aborted));
    assert_eq!(outbound.used_connections.len(), if is_sent { dead + 1 } else { dead });
}

/// Runs `body` while no time passes.
async fn frozen<T>(body: impl Future<Output = T>) -> T {
    tokio::time::pause();
    // A paused clock jumps ahead when nothing is left to do.
    let busy = async {
        loop {
            tokio::task::yield_now().await;
        }
    };
    let done = tokio::select! {
        biased;
        done = body => done,
        () = busy => unreachable!("it never ends"),
    };
    tokio::time::resume();
    done
}

/// A connection that has rested for long enough to be doubted.
fn rested(connection: Connection) -> Connection {
    let mut connection = connection.into_idle().expect("clean");
    connection.idle_since -= Duration::from_millis(600);
    connection.maybe_closed_since -= Duration::from_millis(600);
    connection
}

/// One whose last answer took its client as long to take: its server may have been done with it all the while.
fn slowly_relayed(connection: Connection) -> Connection {
    let mut connection = connection.into_idle().expect("clean");
    connection.maybe_closed_since -= Duration::from_millis(600);
    connection
}

/// Each request remembers what has carried it, and gets none of these again.
#[tokio::test]
async fn a_request_gets_no_connection_twice() {
    let (state, listener) = world().await;
    let (mut outbound, mut peers) = (request(4), Vec::new());
    for round in 0..3 {
        let script = async {
            let mut peer = listener.accept().await.expect("a connection").0;
            read(&mut peer, b"\r\n\r\nxxxx").await;
            peer.write_all(OWN.as_bytes()).await.expect("said");
            peer
        };
        let sending = send(&state, &listener, &mut outbound, terms(true, Phase::Full));
        let (result, peer) = tokio::join!(sending, script);
        result.expect("an answer").finish(&state);
        assert_eq!(outbound.used_connections.len(), round + 1);
        peers.push(peer);
    }
    assert!(state.pool.checkout(key(&state), true, &outbound.used_connections).is_none());
    assert!(state.pool.checkout(key(&state), true, &[]).is_some());
}

/// The connection that ended with its answer does not rest: it would take the place of one that could be opened.
#[rstest]
#[case::with_a_length(OWN, true)]
#[case::until_its_end("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall", false)]
#[tokio::test]
async fn an_answer_without_a_length_is_its_connections_last(#[case] says: &str, #[case] rests: bool) {
    let (state, listener) = world().await;
    let mut outbound = request(4);
    let script = async {
        let mut peer = listener.accept().await.expect("a connection").0;
        read(&mut peer, b"\r\n\r\nxxxx").await;
        peer.write_all(says.as_bytes()).await.expect("said");
        rests.then_some(peer)
    };
    let sending = async {
        let mut answered =
            send(&state, &listener, &mut outbound, terms(true, Phase::Full)).await.expect("an answer");
        answered.collect(100, Instant::now() + Duration::from_secs(3)).await.expect("a body");
        answered.finish(&state);
    };
    let ((), _peer) = tokio::join!(sending, script);
    let open = std::iter::from_fn(|| state.pool.try_reserve(key(&state), Some(6), 1));
    assert_eq!(open.take(7).collect::<Vec<_>>().len(), if rests { 5 } else { 6 });
}

/// A body that is larger than asked for is no body.
#[rstest]
#[case::as_long(3, true)]
#[case::longer(2, false)]
#[tokio::test]
async fn a_collected_body_is_bounded(#[case] most: usize, #[case] is_taken: bool) {
    let (state, listener) = world().await;
    let mut outbound = request(4);
    let script = async {
        let mut peer = listener.accept().await.expect("a connection").0;
        read(&mut peer, b"\r\n\r\nxxxx").await;
        let said = OWN.replace("Length: 0", "Length: 3") + "all";
        peer.write_all(said.as_bytes()).await.expect("said");
        peer
    };
    let sending = send(&state, &listener, &mut outbound, terms(true, Phase::Full));
    let (answered, _peer) = tokio::join!(sending, script);
    let body = answered.expect("an answer").collect(most, Instant::now() + Duration::from_secs(3)).await;
    assert_eq!(body.ok(), is_taken.then(|| b"all".to_vec()));
}

/// Answers to other requests are read over up to a bound, on connections that were used before only.
#[rstest]
#[case::little(10, true, true)]
#[case::much(70_000, true, false)]
#[case::on_a_new_connection(10, false, false)]
#[tokio::test]
async fn another_requests_answer(#[case] length: usize, #[case] is_kept: bool, #[case] is_passed: bool) {
    let (state, listener) = world().await;
    let mut outbound = request(4);
    let mut kept = None;
    if is_kept {
        let (connection, peer) = connected(&state, &listener).await;
        state.pool.checkin(key(&state), connection.into_idle().expect("clean"));
        kept = Some(peer);
    }
    let script = async {
        let mut peer = match kept {
            Some(peer) => peer,
            None => listener.accept().await.expect("a connection").0,
        };
        read(&mut peer, b"\r\n\r\nxxxx").await;
        let body = "x".repeat(length);
        let other = format!("HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: {length}\r\n\r\n{body}");
        // The reader may be gone before all is written.
        drop(peer.write_all(format!("{other}{OWN}").as_bytes()).await);
        peer
    };
    let sending = send(&state, &listener, &mut outbound, terms(true, Phase::Full));
    let (result, _peer) = tokio::join!(sending, script);
    assert_eq!(result.err(), (!is_passed).then_some(ExchangeError::ConnectionBroken));
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
fn a_shortage_of_its_own_is_no_failure_of_the_server(#[case] error: i32, #[case] fault: ExchangeError) {
    assert_eq!(connect_error(&std::io::Error::from_raw_os_error(error)), fault);
}
