//! What one send tells of whether the request may have run.

use crate::state::Shared;
use crate::upstream::connection::Connection;
use crate::upstream::exchange::{Answered, Fault, Terms, connect_fault, exchange, hold_back};
use crate::upstream::fixtures::{choice, connected, entry, key, list, listener, outbound, shared};
use crate::upstream::outbound::{Extra, Outbound};
use lugwharf_routing::Phase;
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

const LONG: usize = 32 << 20;
const OWN: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";

fn terms(idempotent: bool, part: Phase) -> Terms {
    Terms {
        part,
        by: Instant::now() + Duration::from_secs(3),
        objective: Duration::from_millis(300),
        idempotent,
        max_connections: None,
    }
}

fn request(length: usize) -> Outbound {
    outbound("POST", "Request-Id: r1\r\n", vec![b'x'; length])
}

async fn send(
    shared: &Shared, listener: &TcpListener, outbound: &mut Outbound, terms: Terms,
) -> Result<Answered, Fault> {
    let choice = choice(shared, listener.local_addr().expect("an address"));
    exchange(shared, &choice, outbound, &Extra::default(), terms).await
}

async fn world() -> (std::rc::Rc<Shared>, TcpListener) {
    let listener = listener().await;
    (shared(listener.local_addr().expect("an address")), listener)
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
    assert_eq!(hold_back(&terms(idempotent, part), is_reused, rested).is_some(), is_held);
}

/// The time is over while the body is still due: a server that has begun to answer may have begun to work.
#[rstest]
#[case::silent("", Fault::Late)]
#[case::begun("HTTP/1.1 2", Fault::Timeout)]
#[tokio::test]
async fn time_over_before_the_last_byte(#[case] says: &str, #[case] expected: Fault) {
    let (shared, listener) = world().await;
    let mut outbound = request(LONG);
    let script = async {
        let mut peer = listener.accept().await.expect("a connection").0;
        read(&mut peer, b"\r\n\r\n").await;
        peer.write_all(says.as_bytes()).await.expect("said");
        tokio::time::pause();
        peer
    };
    let (result, _peer) =
        tokio::join!(send(&shared, &listener, &mut outbound, terms(false, Phase::Full)), script);
    assert_eq!(result.err(), Some(expected));
}

#[rstest]
#[case::nothing_is_sent_when_the_time_is_over(19, true)]
#[case::there_is_time(200, false)]
#[tokio::test]
async fn little_time_left(#[case] left: u64, #[case] is_late: bool, #[values(true, false)] is_kept: bool) {
    let (shared, listener) = world().await;
    tokio::time::pause();
    let mut kept = None;
    if is_kept {
        let (connection, peer) = connected(&shared, &listener).await;
        shared.pool.put(key(&shared), connection.rest().expect("clean"));
        kept = Some(peer);
    }
    let mut outbound = request(4);
    let by = Instant::now() + Duration::from_millis(left);
    let result = send(&shared, &listener, &mut outbound, Terms { by, ..terms(true, Phase::Full) }).await;
    let expected = if is_late { Fault::Late } else { Fault::Timeout };
    assert_eq!(result.err(), Some(expected));
    assert_eq!(outbound.carriers.is_empty(), is_late);
    drop(kept);
}

/// A server that left the list while the connection came up gets nothing, and a kept connection stays as old as it is.
#[tokio::test]
async fn a_server_that_has_left_meanwhile_gets_nothing() {
    let (shared, listener) = world().await;
    let choice = choice(&shared, listener.local_addr().expect("an address"));
    list(&shared, 2, Vec::new());
    let mut outbound = request(4);
    let result = exchange(&shared, &choice, &mut outbound, &Extra::default(), terms(true, Phase::Full)).await;
    assert_eq!((result.err(), outbound.carriers.len()), (Some(Fault::Moot), 0));
}

#[tokio::test]
async fn a_kept_connection_that_was_not_used_is_as_old_as_before() {
    let (shared, listener) = world().await;
    tokio::time::pause();
    let (connection, _peer) = connected(&shared, &listener).await;
    let connection = connection.rest().expect("clean");
    let (id, since) = (connection.id(), connection.idle_since);
    shared.pool.put(key(&shared), connection);
    tokio::time::advance(Duration::from_millis(900)).await;
    let mut draining = entry(listener.local_addr().expect("an address"));
    draining.state = lugwharf_protocol::ServerState::Draining;
    list(&shared, 2, vec![draining]);
    let mut outbound = request(4);
    let result = send(&shared, &listener, &mut outbound, terms(true, Phase::Full)).await;
    assert_eq!(result.err(), Some(Fault::Moot));
    let connection = shared.pool.take(key(&shared), true, &[]).expect("kept");
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
    let (shared, listener) = world().await;
    let mut peers = Vec::new();
    for _ in 0..dead {
        let (connection, peer) = connected(&shared, &listener).await;
        shared.pool.put(key(&shared), age(connection));
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
    let sending = send(&shared, &listener, &mut outbound, terms(false, Phase::Full));
    let result = tokio::select! {
        result = sending => result,
        _ = async { script.await; std::future::pending::<()>().await } => unreachable!("it never ends"),
    };
    assert_eq!(result.err(), (!is_sent).then_some(Fault::Moot));
    assert_eq!(outbound.carriers.len(), if is_sent { dead + 1 } else { dead });
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
    let mut connection = connection.rest().expect("clean");
    connection.idle_since -= Duration::from_millis(600);
    connection.doubtful_since -= Duration::from_millis(600);
    connection
}

/// One whose last answer took its client as long to take: its server may have been done with it all the while.
fn slowly_relayed(connection: Connection) -> Connection {
    let mut connection = connection.rest().expect("clean");
    connection.doubtful_since -= Duration::from_millis(600);
    connection
}

/// Each request remembers what has carried it, and gets none of these again.
#[tokio::test]
async fn a_request_gets_no_connection_twice() {
    let (shared, listener) = world().await;
    let (mut outbound, mut peers) = (request(4), Vec::new());
    for round in 0..3 {
        let script = async {
            let mut peer = listener.accept().await.expect("a connection").0;
            read(&mut peer, b"\r\n\r\nxxxx").await;
            peer.write_all(OWN.as_bytes()).await.expect("said");
            peer
        };
        let sending = send(&shared, &listener, &mut outbound, terms(true, Phase::Full));
        let (result, peer) = tokio::join!(sending, script);
        result.expect("an answer").finish(&shared);
        assert_eq!(outbound.carriers.len(), round + 1);
        peers.push(peer);
    }
    assert!(shared.pool.take(key(&shared), true, &outbound.carriers).is_none());
    assert!(shared.pool.take(key(&shared), true, &[]).is_some());
}

/// The connection that ended with its answer does not rest: it would take the place of one that could be opened.
#[rstest]
#[case::with_a_length(OWN, true)]
#[case::until_its_end("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall", false)]
#[tokio::test]
async fn an_answer_without_a_length_is_its_connections_last(#[case] says: &str, #[case] rests: bool) {
    let (shared, listener) = world().await;
    let mut outbound = request(4);
    let script = async {
        let mut peer = listener.accept().await.expect("a connection").0;
        read(&mut peer, b"\r\n\r\nxxxx").await;
        peer.write_all(says.as_bytes()).await.expect("said");
        rests.then_some(peer)
    };
    let sending = async {
        let mut answered =
            send(&shared, &listener, &mut outbound, terms(true, Phase::Full)).await.expect("an answer");
        answered.collect(100, Instant::now() + Duration::from_secs(3)).await.expect("a body");
        answered.finish(&shared);
    };
    let ((), _peer) = tokio::join!(sending, script);
    let open = std::iter::from_fn(|| shared.pool.open_count(key(&shared), Some(6), 1));
    assert_eq!(open.take(7).collect::<Vec<_>>().len(), if rests { 5 } else { 6 });
}

/// A body that is larger than asked for is no body.
#[rstest]
#[case::as_long(3, true)]
#[case::longer(2, false)]
#[tokio::test]
async fn a_collected_body_is_bounded(#[case] most: usize, #[case] is_taken: bool) {
    let (shared, listener) = world().await;
    let mut outbound = request(4);
    let script = async {
        let mut peer = listener.accept().await.expect("a connection").0;
        read(&mut peer, b"\r\n\r\nxxxx").await;
        let said = OWN.replace("Length: 0", "Length: 3") + "all";
        peer.write_all(said.as_bytes()).await.expect("said");
        peer
    };
    let sending = send(&shared, &listener, &mut outbound, terms(true, Phase::Full));
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
    let (shared, listener) = world().await;
    let mut outbound = request(4);
    let mut kept = None;
    if is_kept {
        let (connection, peer) = connected(&shared, &listener).await;
        shared.pool.put(key(&shared), connection.rest().expect("clean"));
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
    let sending = send(&shared, &listener, &mut outbound, terms(true, Phase::Full));
    let (result, _peer) = tokio::join!(sending, script);
    assert_eq!(result.err(), (!is_passed).then_some(Fault::Broken));
}

#[rstest]
#[case::memory(12, Fault::Moot)]
#[case::descriptors_of_the_machine(23, Fault::Moot)]
#[case::own_descriptors(24, Fault::Moot)]
#[case::addresses(99, Fault::Moot)]
#[case::buffers(105, Fault::Moot)]
#[case::reset(104, Fault::Connect)]
#[case::timed_out(110, Fault::Connect)]
#[case::refused(111, Fault::Connect)]
#[case::no_route(113, Fault::Connect)]
fn a_shortage_of_its_own_is_no_failure_of_the_server(#[case] error: i32, #[case] fault: Fault) {
    assert_eq!(connect_fault(&std::io::Error::from_raw_os_error(error)), fault);
}
