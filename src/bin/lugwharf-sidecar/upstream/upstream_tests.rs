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

const LONG: Duration = Duration::from_secs(100);

fn outbound(body: &'static str) -> Arc<ForwardedRequest> {
    let body = Bytes::from_static(body.as_bytes());
    let (method, uri, headers) = (Method::POST, Uri::from_static("/api"), HeaderMap::new());
    Arc::new(ForwardedRequest { method, uri, headers, body })
}

/// Deadlines without a separate one for writing.
fn until(answer_by: Instant) -> AttemptDeadlines {
    AttemptDeadlines { answer_by, write_by: answer_by }
}

fn peer() -> (TcpListener, Pool, Arc<Endpoint>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let pool = Pool::new(4, LONG, LONG, true);
    let endpoint = pool.endpoint(listener.local_addr().expect("an address"));
    (listener, pool, endpoint)
}

fn read_until(stream: &mut impl Read, end: &[u8]) {
    let (mut seen, mut byte) = (Vec::new(), [0]);
    while !seen.ends_with(end) {
        stream.read_exact(&mut byte).expect("a byte");
        seen.push(byte[0]);
    }
}

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew";

#[tokio::test]
async fn an_abandoned_attempt_is_not_written_completely() {
    let (listener, pool, endpoint) = peer();
    let abandoned = Arc::new(Notify::new());
    let tell = abandoned.clone();
    // The last byte is withheld for a second; the client leaves before it, every time.
    let peer = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("a connection").0;
        read_until(&mut stream, b"some bod");
        tell.notify_one();
        let mut rest = Vec::new();
        drop(stream.read_to_end(&mut rest));
        rest
    });
    let mut outcome = None;
    let answer_by = Instant::now() + LONG;
    attempt(pool, endpoint, outbound("some body"), until(answer_by), abandoned, |ended, _| {
        outcome = Some(ended)
    })
    .await;
    assert_eq!(outcome, Some(Outcome::NotSent));
    let rest = tokio::task::spawn_blocking(|| peer.join()).await.expect("run").expect("an end");
    assert!(rest.is_empty(), "the last byte stays here");
}

#[tokio::test(start_paused = true)]
async fn an_abandoned_attempt_does_not_wait_for_a_connection() {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let addr = socket.local_addr().expect("an address");
    // Nobody accepts: once the backlog is full, no further connection comes up.
    let _listener = socket.listen(0).expect("listening");
    let _full: Vec<_> = (0..8).map(|_| nonblocking_connect(addr)).collect();
    let pool = Pool::new(4, LONG, LONG, true);
    let (endpoint, abandoned, answer_by) =
        (pool.endpoint(addr), Arc::new(Notify::new()), Instant::now() + LONG);
    let (tell, since) = (abandoned.clone(), Instant::now());
    let mut outcome = None;
    let left = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        tell.notify_one();
    };
    let attempt =
        attempt(pool, endpoint, outbound(""), until(answer_by), abandoned, |ended, _| outcome = Some(ended));
    tokio::join!(attempt, left);
    assert_eq!(outcome, Some(Outcome::NotSent));
    assert!(since.elapsed() < Duration::from_millis(300), "{:?}", since.elapsed());
}

#[tokio::test(start_paused = true)]
async fn an_attempt_past_its_write_deadline_does_not_wait_for_a_connection() {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let addr = socket.local_addr().expect("an address");
    // Nobody accepts: once the backlog is full, no further connection comes up.
    let _listener = socket.listen(0).expect("listening");
    let _full: Vec<_> = (0..8).map(|_| nonblocking_connect(addr)).collect();
    let pool = Pool::new(4, LONG, LONG, true);
    let (endpoint, since) = (pool.endpoint(addr), Instant::now());
    let times = AttemptDeadlines { answer_by: since + LONG, write_by: since + Duration::from_millis(50) };
    let mut outcome = None;
    attempt(pool, endpoint, outbound(""), times, Arc::default(), |ended, _| outcome = Some(ended)).await;
    assert_eq!(outcome, Some(Outcome::NotSent), "nothing ran, and the server is not to blame");
    assert!(since.elapsed() < Duration::from_millis(100), "{:?}", since.elapsed());
}

#[tokio::test]
async fn an_attempt_past_its_write_deadline_is_not_written_completely() {
    let (listener, pool, endpoint) = peer();
    // The last byte is withheld for a second, and after half of it the time is over.
    let peer = std::thread::spawn(move || {
        let mut seen = Vec::new();
        drop(listener.accept().expect("a connection").0.read_to_end(&mut seen));
        seen
    });
    let times = AttemptDeadlines {
        answer_by: Instant::now() + LONG,
        write_by: Instant::now() + Duration::from_millis(500),
    };
    let mut outcome = None;
    let answered = |ended, _: ServedBody| outcome = Some(ended);
    attempt(pool, endpoint, outbound("some body"), times, Arc::default(), answered).await;
    assert_eq!(outcome, Some(Outcome::NotSent));
    let seen = tokio::task::spawn_blocking(|| peer.join()).await.expect("run").expect("an end");
    assert!(!seen.ends_with(b"some body"), "the last byte stays here");
}

fn nonblocking_connect(addr: std::net::SocketAddr) -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    socket.set_nonblocking(true).expect("set");
    drop(socket.connect(&addr.into()));
    socket
}

#[tokio::test]
async fn an_attempt_that_may_have_run_is_awaited_after_its_client_disconnected() {
    let (listener, pool, endpoint) = peer();
    let abandoned = Arc::new(Notify::new());
    let tell = abandoned.clone();
    let peer = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("a connection").0;
        read_until(&mut stream, b"some body");
        tell.notify_one();
        stream.write_all(ANSWER).expect("written");
        stream
    });
    let mut outcome = None;
    let answer_by = Instant::now() + LONG;
    attempt(pool, endpoint, outbound("some body"), until(answer_by), abandoned, |ended, _| {
        outcome = Some(ended)
    })
    .await;
    assert_eq!(outcome, Some(Outcome::Ok), "its time counts for the server's average");
    drop(peer.join());
}

#[tokio::test(start_paused = true)]
async fn nothing_is_written_to_an_idle_connection_after_the_deadline() {
    let (listener, pool, endpoint) = peer();
    let answer_by = Instant::now();
    let kept = pool.connection(&endpoint, answer_by + LONG).await.expect("room");
    pool.put_back(&endpoint, kept);
    // It has rested and is usable.
    tokio::time::advance(Duration::from_secs(1)).await;
    let mut outcome = None;
    let abandoned = Arc::default();
    attempt(pool, endpoint, outbound("x"), until(answer_by), abandoned, |ended, _| outcome = Some(ended))
        .await;
    assert!(outcome.is_some_and(Outcome::never_ran), "{outcome:?}");
    let seen = tokio::task::spawn_blocking(move || {
        let mut seen = Vec::new();
        drop(listener.accept().expect("a connection").0.read_to_end(&mut seen));
        seen
    });
    assert_eq!(String::from_utf8_lossy(&seen.await.expect("run")), "");
}

#[tokio::test(start_paused = true)]
async fn an_answer_beats_the_timeout_of_the_same_moment() {
    let (listener, pool, endpoint) = peer();
    // With so little time that no byte is held back.
    let time = MIN_TIME_FOR_HOLD_BACK / 2;
    let (to, result) = tokio::sync::oneshot::channel();
    let answered = |ended, served: ServedBody| drop(to.send((ended, served.body)));
    let (answer_by, abandoned) = (Instant::now() + time, Arc::default());
    tokio::spawn(attempt(pool, endpoint, outbound("some body"), until(answer_by), abandoned, answered));
    // The request is read and answered while the runtime does not run, and then the clock passes the deadline.
    listener.set_nonblocking(true).expect("set");
    let mut stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    stream.set_nonblocking(true).expect("set");
    let mut seen = Vec::new();
    while !seen.ends_with(b"some body") {
        let mut bytes = [0; 512];
        match stream.read(&mut bytes) {
            Ok(length) => seen.extend_from_slice(&bytes[..length]),
            Err(_) => tokio::task::yield_now().await,
        }
    }
    stream.write_all(ANSWER).expect("written");
    tokio::time::advance(time * 2).await;
    assert_eq!(result.await.expect("an outcome"), (Outcome::Ok, Bytes::from_static(b"new")));
}

/// How an attempt ends whose first `breaks` connections break at their first byte, and how many were opened.
async fn after_breaks(breaks: usize, body: &'static str, time: Duration) -> (Option<Outcome>, usize) {
    let (listener, pool, endpoint) = peer();
    let made = Arc::new(AtomicUsize::new(0));
    let counted = made.clone();
    // Ends with the tests.
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let (mut seen, mut byte) = (Vec::new(), [0]);
            let breaks = counted.fetch_add(1, Ordering::SeqCst) < breaks;
            let read_complete = format!("\r\n\r\n{body}").into_bytes();
            let enough = |seen: &[u8]| if breaks { !seen.is_empty() } else { seen.ends_with(&read_complete) };
            while !enough(&seen) {
                stream.read_exact(&mut byte).expect("a byte");
                seen.push(byte[0]);
            }
            if !breaks {
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("written");
            }
        }
    });
    let mut outcome = None;
    let (answer_by, abandoned) = (Instant::now() + time, Arc::default());
    attempt(pool, endpoint, outbound(body), until(answer_by), abandoned, |ended, _| outcome = Some(ended))
        .await;
    (outcome, made.load(Ordering::SeqCst))
}

#[tokio::test]
async fn a_connection_closed_before_the_last_byte_is_replaced() {
    for body in ["", "some body"] {
        assert_eq!(after_breaks(2, body, LONG).await, (Some(Outcome::Ok), 3), "another is taken");
        assert_eq!(after_breaks(9, body, LONG).await, (Some(Outcome::ConnectFailed), MAX_CONNECTIONS));
    }
}

#[tokio::test]
async fn an_answer_before_the_requests_last_byte_is_discarded() {
    for early in ["200 OK", "503 X\r\nX-Rejected: 1", "500 X"] {
        let (listener, pool, endpoint) = peer();
        let peer = std::thread::spawn(move || {
            let answer =
                |status, body| format!("HTTP/1.1 {status}\r\nContent-Length: 3\r\n\r\n{body}").into_bytes();
            // The last byte is withheld for a second: this answer comes before it every time.
            let mut first = listener.accept().expect("a connection").0;
            first.read_exact(&mut [0; 8]).expect("the start");
            first.write_all(&answer(early, "old")).expect("written");
            let mut second = listener.accept().expect("another connection").0;
            read_until(&mut second, b"some body");
            second.write_all(&answer("200 OK", "new")).expect("written");
            let mut all = Vec::new();
            // A reset ends it as well.
            drop(first.read_to_end(&mut all));
            (second, all)
        });
        let outbound = outbound("some body");
        let mut result = None;
        let answer_by = Instant::now() + LONG;
        let answered = |ended, served: ServedBody| result = Some((ended, served.body));
        attempt(pool, endpoint, outbound, until(answer_by), Arc::default(), answered).await;
        assert_eq!(result, Some((Outcome::Ok, Bytes::from_static(b"new"))), "{early}");
        let (_second, rest) =
            tokio::task::spawn_blocking(|| peer.join()).await.expect("run").expect("an end");
        assert!(!rest.ends_with(b"some body"), "the request never ran on the first connection");
    }
}

/// Answers the first request, then once more in the middle of the second on the same connection, and gives the right answer
/// on the next connection.
fn answers_twice(
    listener: TcpListener, end: &'static [u8], bodies: [&'static str; 2],
) -> std::thread::JoinHandle<Vec<u8>> {
    std::thread::spawn(move || {
        let [old, new] = bodies.map(|body| {
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
        });
        let mut first = listener.accept().expect("a connection").0;
        first.set_read_timeout(Some(LONG)).expect("set");
        read_until(&mut first, end);
        first.write_all(&old).expect("written");
        first.read_exact(&mut [0; 8]).expect("the next one's start");
        first.write_all(&old).expect("written");
        let mut second = listener.accept().expect("another connection").0;
        read_until(&mut second, end);
        second.write_all(&new).expect("written");
        let mut rest = Vec::new();
        // A reset ends it as well.
        drop(first.read_to_end(&mut rest));
        rest
    })
}

#[tokio::test]
async fn a_duplicate_answer_is_not_taken_for_the_next_requests() {
    let (listener, pool, endpoint) = peer();
    let peer = answers_twice(listener, b"some body", ["old", "new"]);
    // With so little time that only the connection's rest holds the last byte back.
    let answer_by = Instant::now() + MIN_TIME_FOR_HOLD_BACK / 2;
    for body in ["old", "new"] {
        let (to, result) = tokio::sync::oneshot::channel();
        let answered = |ended, served: ServedBody| drop(to.send((ended, served.body)));
        attempt(
            pool.clone(),
            endpoint.clone(),
            outbound("some body"),
            until(answer_by),
            Arc::default(),
            answered,
        )
        .await;
        assert_eq!(result.await, Ok((Outcome::Ok, Bytes::from(body))), "not what belongs to another");
    }
    let rest = tokio::task::spawn_blocking(|| peer.join()).await.expect("run").expect("an end");
    assert!(!rest.ends_with(b"some body"), "the request never ran on the first connection");
}

#[tokio::test]
async fn a_duplicate_answer_is_not_taken_for_the_next_probes() {
    let (listener, pool, endpoint) = peer();
    let peer = answers_twice(listener, b"\r\n\r\n", ["{\"held\":1}", "{\"held\":2}"]);
    for held in [1.0, 2.0] {
        let probed = probe(pool.clone(), endpoint.clone(), Instant::now() + LONG, Some("held")).await;
        assert_eq!(
            probed,
            ProbeResult { outcome: Outcome::Ok, reported_load: Some(held) },
            "not what belongs to another"
        );
    }
    let rest = tokio::task::spawn_blocking(|| peer.join()).await.expect("run").expect("an end");
    assert!(!rest.ends_with(b"\r\n\r\n"), "the probe was not written completely there");
}

#[tokio::test]
async fn a_request_with_little_time_left_holds_no_byte_back() {
    // Its last byte is out before the connection breaks, so that it may have run.
    assert_eq!(after_breaks(1, "some body", MIN_TIME_FOR_HOLD_BACK / 2).await, (Some(Outcome::Reset), 1));
}
