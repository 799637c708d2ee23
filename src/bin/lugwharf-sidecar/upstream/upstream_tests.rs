//! Tests of attempts and probes.

use super::attempt::MIN_TIME_FOR_HOLD_BACK;
use super::exchange::MAX_CONNECTIONS;
use super::probe::ProbeResult;
use super::*;
use crate::pool::{Endpoint, Pool};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use lugwharf_sidecar::api::Outcome;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A time-out that no test reaches. It exceeds [`MIN_TIME_FOR_HOLD_BACK`], so that last bytes are held back.
const LONG: Duration = Duration::from_secs(100);

/// A request as it is forwarded.
fn request(body: &'static str) -> Arc<ForwardedRequest> {
    let body = Bytes::from_static(body.as_bytes());
    let (method, uri, headers) = (Method::POST, Uri::from_static("/api"), HeaderMap::new());
    Arc::new(ForwardedRequest { method, uri, headers, body })
}

/// Deadlines without a separate deadline for writing.
fn until(answer_by: Instant) -> AttemptDeadlines {
    AttemptDeadlines { answer_by, write_by: answer_by }
}

/// The listener of an upstream whose answers the test writes, a pool, and the upstream's endpoint.
fn upstream() -> (TcpListener, Pool, Arc<Endpoint>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a listener");
    let pool = Pool::new(4, LONG, LONG, true);
    let endpoint = pool.endpoint(listener.local_addr().expect("cannot read the local address"));
    (listener, pool, endpoint)
}

fn read_until(stream: &mut impl Read, end: &[u8]) {
    let (mut seen, mut byte) = (Vec::new(), [0]);
    while !seen.ends_with(end) {
        stream.read_exact(&mut byte).expect("cannot read from the connection");
        seen.push(byte[0]);
    }
}

/// A complete answer with the body `new`.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew";

#[tokio::test]
async fn an_abandoned_attempt_is_not_written_completely() {
    let (listener, pool, endpoint) = upstream();
    let abandoned = Arc::new(Notify::new());
    let abandon = abandoned.clone();
    // The last byte is held back for a second in tests, so the client always disconnects before it is
    // written.
    let peer = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("cannot accept a connection").0;
        read_until(&mut stream, b"some bod");
        abandon.notify_one();
        let mut rest = Vec::new();
        drop(stream.read_to_end(&mut rest));
        rest
    });
    let mut outcome = None;
    let answer_by = Instant::now() + LONG;
    attempt(pool, endpoint, request("some body"), until(answer_by), abandoned, |ended, _| {
        outcome = Some(ended)
    })
    .await;
    assert_eq!(outcome, Some(Outcome::NotSent));
    let rest = tokio::task::spawn_blocking(|| peer.join())
        .await
        .expect("the blocking task panicked")
        .expect("the upstream thread panicked");
    assert!(rest.is_empty(), "the last byte is never written");
}

#[tokio::test(start_paused = true)]
async fn an_abandoned_attempt_does_not_wait_for_a_connection() {
    let socket = tokio::net::TcpSocket::new_v4().expect("cannot create a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("cannot bind the socket");
    let addr = socket.local_addr().expect("cannot read the local address");
    // Nobody accepts: once the backlog is full, no further connection is established.
    let _listener = socket.listen(0).expect("cannot listen on the socket");
    let _backlog: Vec<_> = (0..8).map(|_| nonblocking_connect(addr)).collect();
    let pool = Pool::new(4, LONG, LONG, true);
    let (endpoint, abandoned, answer_by) =
        (pool.endpoint(addr), Arc::new(Notify::new()), Instant::now() + LONG);
    let (abandon, since) = (abandoned.clone(), Instant::now());
    let mut outcome = None;
    let disconnect = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        abandon.notify_one();
    };
    let attempt =
        attempt(pool, endpoint, request(""), until(answer_by), abandoned, |ended, _| outcome = Some(ended));
    tokio::join!(attempt, disconnect);
    assert_eq!(outcome, Some(Outcome::NotSent));
    assert!(since.elapsed() < Duration::from_millis(300), "{:?}", since.elapsed());
}

#[tokio::test(start_paused = true)]
async fn an_attempt_past_its_write_deadline_does_not_wait_for_a_connection() {
    let socket = tokio::net::TcpSocket::new_v4().expect("cannot create a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("cannot bind the socket");
    let addr = socket.local_addr().expect("cannot read the local address");
    // Nobody accepts: once the backlog is full, no further connection is established.
    let _listener = socket.listen(0).expect("cannot listen on the socket");
    let _backlog: Vec<_> = (0..8).map(|_| nonblocking_connect(addr)).collect();
    let pool = Pool::new(4, LONG, LONG, true);
    let (endpoint, since) = (pool.endpoint(addr), Instant::now());
    let deadlines = AttemptDeadlines { answer_by: since + LONG, write_by: since + Duration::from_millis(50) };
    let mut outcome = None;
    attempt(pool, endpoint, request(""), deadlines, Arc::default(), |ended, _| outcome = Some(ended)).await;
    assert_eq!(outcome, Some(Outcome::NotSent), "the request did not run, and the server is not at fault");
    assert!(since.elapsed() < Duration::from_millis(100), "{:?}", since.elapsed());
}

#[tokio::test]
async fn an_attempt_past_its_write_deadline_is_not_written_completely() {
    let (listener, pool, endpoint) = upstream();
    // The last byte is held back for a second in tests, and the write deadline is half a second away.
    let peer = std::thread::spawn(move || {
        let mut seen = Vec::new();
        drop(listener.accept().expect("cannot accept a connection").0.read_to_end(&mut seen));
        seen
    });
    let deadlines = AttemptDeadlines {
        answer_by: Instant::now() + LONG,
        write_by: Instant::now() + Duration::from_millis(500),
    };
    let mut outcome = None;
    let on_end = |ended, _: ServedBody| outcome = Some(ended);
    attempt(pool, endpoint, request("some body"), deadlines, Arc::default(), on_end).await;
    assert_eq!(outcome, Some(Outcome::NotSent));
    let seen = tokio::task::spawn_blocking(|| peer.join())
        .await
        .expect("the blocking task panicked")
        .expect("the upstream thread panicked");
    assert!(!seen.ends_with(b"some body"), "the last byte is never written");
}

fn nonblocking_connect(addr: std::net::SocketAddr) -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("cannot create a socket");
    socket.set_nonblocking(true).expect("cannot set the socket to non-blocking mode");
    drop(socket.connect(&addr.into()));
    socket
}

#[tokio::test]
async fn an_attempt_that_may_have_run_is_awaited_after_its_client_disconnected() {
    let (listener, pool, endpoint) = upstream();
    let abandoned = Arc::new(Notify::new());
    let abandon = abandoned.clone();
    let peer = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("cannot accept a connection").0;
        read_until(&mut stream, b"some body");
        abandon.notify_one();
        stream.write_all(ANSWER).expect("cannot write to the connection");
        stream
    });
    let mut outcome = None;
    let answer_by = Instant::now() + LONG;
    attempt(pool, endpoint, request("some body"), until(answer_by), abandoned, |ended, _| {
        outcome = Some(ended)
    })
    .await;
    assert_eq!(outcome, Some(Outcome::Ok), "the server's average latency needs its time");
    drop(peer.join());
}

#[tokio::test(start_paused = true)]
async fn nothing_is_written_to_an_idle_connection_after_the_deadline() {
    let (listener, pool, endpoint) = upstream();
    let answer_by = Instant::now();
    let kept =
        pool.connection(&endpoint, answer_by + LONG).await.expect("cannot get a connection from the pool");
    pool.put_back(&endpoint, kept);
    // The connection is past its cooldown and usable.
    tokio::time::advance(Duration::from_secs(1)).await;
    let mut outcome = None;
    let abandoned = Arc::default();
    attempt(pool, endpoint, request("x"), until(answer_by), abandoned, |ended, _| outcome = Some(ended))
        .await;
    assert!(outcome.is_some_and(Outcome::never_ran), "{outcome:?}");
    let seen = tokio::task::spawn_blocking(move || {
        let mut seen = Vec::new();
        drop(listener.accept().expect("cannot accept a connection").0.read_to_end(&mut seen));
        seen
    });
    assert_eq!(String::from_utf8_lossy(&seen.await.expect("the blocking task panicked")), "");
}

#[tokio::test(start_paused = true)]
async fn an_answer_takes_precedence_over_a_simultaneous_timeout() {
    let (listener, pool, endpoint) = upstream();
    // So little time is left that no byte is held back.
    let time = MIN_TIME_FOR_HOLD_BACK / 2;
    let (sender, result) = tokio::sync::oneshot::channel();
    let on_end = |ended, served: ServedBody| drop(sender.send((ended, served.body)));
    let (answer_by, abandoned) = (Instant::now() + time, Arc::default());
    tokio::spawn(attempt(pool, endpoint, request("some body"), until(answer_by), abandoned, on_end));
    // The request is read and answered while the runtime does not run, and then the clock passes the
    // deadline.
    listener.set_nonblocking(true).expect("cannot set the socket to non-blocking mode");
    let mut stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    stream.set_nonblocking(true).expect("cannot set the socket to non-blocking mode");
    let mut seen = Vec::new();
    while !seen.ends_with(b"some body") {
        let mut bytes = [0; 512];
        match stream.read(&mut bytes) {
            Ok(length) => seen.extend_from_slice(&bytes[..length]),
            Err(_) => tokio::task::yield_now().await,
        }
    }
    stream.write_all(ANSWER).expect("cannot write to the connection");
    tokio::time::advance(time * 2).await;
    assert_eq!(
        result.await.expect("the attempt ended without an outcome"),
        (Outcome::Ok, Bytes::from_static(b"new"))
    );
}

/// Makes an attempt whose first `broken_count` connections break at their first byte. Returns its outcome and
/// the number of connections that were opened.
async fn attempt_with_broken_connections(
    broken_count: usize, body: &'static str, time: Duration,
) -> (Option<Outcome>, usize) {
    let (listener, pool, endpoint) = upstream();
    let opened = Arc::new(AtomicUsize::new(0));
    let counter = opened.clone();
    // The thread ends with the test process.
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("cannot accept a connection");
            let (mut seen, mut byte) = (Vec::new(), [0]);
            let is_broken = counter.fetch_add(1, Ordering::SeqCst) < broken_count;
            let complete_request = format!("\r\n\r\n{body}").into_bytes();
            let enough =
                |seen: &[u8]| if is_broken { !seen.is_empty() } else { seen.ends_with(&complete_request) };
            while !enough(&seen) {
                stream.read_exact(&mut byte).expect("cannot read from the connection");
                seen.push(byte[0]);
            }
            if !is_broken {
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    .expect("cannot write to the connection");
            }
        }
    });
    let mut outcome = None;
    let (answer_by, abandoned) = (Instant::now() + time, Arc::default());
    attempt(pool, endpoint, request(body), until(answer_by), abandoned, |ended, _| outcome = Some(ended))
        .await;
    (outcome, opened.load(Ordering::SeqCst))
}

#[tokio::test]
async fn a_connection_closed_before_the_last_byte_is_replaced() {
    for body in ["", "some body"] {
        assert_eq!(
            attempt_with_broken_connections(2, body, LONG).await,
            (Some(Outcome::Ok), 3),
            "another connection is used"
        );
        assert_eq!(
            attempt_with_broken_connections(9, body, LONG).await,
            (Some(Outcome::ConnectFailed), MAX_CONNECTIONS)
        );
    }
}

#[tokio::test]
async fn an_answer_before_the_requests_last_byte_is_discarded() {
    for early in ["200 OK", "503 X\r\nX-Rejected: 1", "500 X"] {
        let (listener, pool, endpoint) = upstream();
        let peer = std::thread::spawn(move || {
            let answer =
                |status, body| format!("HTTP/1.1 {status}\r\nContent-Length: 3\r\n\r\n{body}").into_bytes();
            // The last byte is held back for a second in tests, so this answer always comes before it.
            let mut first = listener.accept().expect("cannot accept a connection").0;
            first.read_exact(&mut [0; 8]).expect("cannot read the start of the request");
            first.write_all(&answer(early, "old")).expect("cannot write to the connection");
            let mut second = listener.accept().expect("cannot accept another connection").0;
            read_until(&mut second, b"some body");
            second.write_all(&answer("200 OK", "new")).expect("cannot write to the connection");
            let mut all = Vec::new();
            // A reset ends the connection as well.
            drop(first.read_to_end(&mut all));
            (second, all)
        });
        let forwarded = request("some body");
        let mut result = None;
        let answer_by = Instant::now() + LONG;
        let on_end = |ended, served: ServedBody| result = Some((ended, served.body));
        attempt(pool, endpoint, forwarded, until(answer_by), Arc::default(), on_end).await;
        assert_eq!(result, Some((Outcome::Ok, Bytes::from_static(b"new"))), "{early}");
        let (_second, rest) = tokio::task::spawn_blocking(|| peer.join())
            .await
            .expect("the blocking task panicked")
            .expect("the upstream thread panicked");
        assert!(!rest.ends_with(b"some body"), "the request never ran on the first connection");
    }
}

/// Answers the first request, sends the same answer again in the middle of the second request on the same
/// connection, and answers that request on the next connection. Returns the bytes of the second request that
/// arrived on the first connection.
fn answers_twice(
    listener: TcpListener, end: &'static [u8], bodies: [&'static str; 2],
) -> std::thread::JoinHandle<Vec<u8>> {
    std::thread::spawn(move || {
        let [old, new] = bodies.map(|body| {
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
        });
        let mut first = listener.accept().expect("cannot accept a connection").0;
        first.set_read_timeout(Some(LONG)).expect("cannot set the read time-out of the socket");
        read_until(&mut first, end);
        first.write_all(&old).expect("cannot write to the connection");
        first.read_exact(&mut [0; 8]).expect("cannot read the start of the next request");
        first.write_all(&old).expect("cannot write to the connection");
        let mut second = listener.accept().expect("cannot accept another connection").0;
        read_until(&mut second, end);
        second.write_all(&new).expect("cannot write to the connection");
        let mut rest = Vec::new();
        // A reset ends the connection as well.
        drop(first.read_to_end(&mut rest));
        rest
    })
}

#[tokio::test]
async fn a_duplicate_answer_is_not_taken_for_the_next_requests_answer() {
    let (listener, pool, endpoint) = upstream();
    let peer = answers_twice(listener, b"some body", ["old", "new"]);
    // So little time is left that only the cooldown of the connection holds the last byte back.
    let answer_by = Instant::now() + MIN_TIME_FOR_HOLD_BACK / 2;
    for body in ["old", "new"] {
        let (sender, result) = tokio::sync::oneshot::channel();
        let on_end = |ended, served: ServedBody| drop(sender.send((ended, served.body)));
        attempt(
            pool.clone(),
            endpoint.clone(),
            request("some body"),
            until(answer_by),
            Arc::default(),
            on_end,
        )
        .await;
        assert_eq!(
            result.await,
            Ok((Outcome::Ok, Bytes::from(body))),
            "the answer does not belong to another request"
        );
    }
    let rest = tokio::task::spawn_blocking(|| peer.join())
        .await
        .expect("the blocking task panicked")
        .expect("the upstream thread panicked");
    assert!(!rest.ends_with(b"some body"), "the request never ran on the first connection");
}

#[tokio::test]
async fn a_duplicate_answer_is_not_taken_for_the_next_probes_answer() {
    let (listener, pool, endpoint) = upstream();
    let peer = answers_twice(listener, b"\r\n\r\n", ["{\"held\":1}", "{\"held\":2}"]);
    for held in [1.0, 2.0] {
        let probed = probe(pool.clone(), endpoint.clone(), Instant::now() + LONG, Some("held")).await;
        assert_eq!(
            probed,
            ProbeResult { outcome: Outcome::Ok, reported_load: Some(held) },
            "the answer does not belong to another request"
        );
    }
    let rest = tokio::task::spawn_blocking(|| peer.join())
        .await
        .expect("the blocking task panicked")
        .expect("the upstream thread panicked");
    assert!(!rest.ends_with(b"\r\n\r\n"), "the probe was not written completely on the first connection");
}

#[tokio::test]
async fn a_request_with_little_time_left_holds_no_byte_back() {
    // The last byte is written before the connection breaks, so the request may have run.
    assert_eq!(
        attempt_with_broken_connections(1, "some body", MIN_TIME_FOR_HOLD_BACK / 2).await,
        (Some(Outcome::Reset), 1)
    );
}
