//! Tests of answers that are not valid HTTP/1.1, and of valid ones that look unusual.

use super::attempt::MIN_TIME_FOR_HOLD_BACK;
use super::*;
use crate::pool::Pool;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use lugwharf_sidecar::api::Outcome;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A time-out that no test reaches.
const LONG: Duration = Duration::from_secs(100);
const CONTENT_LENGTH: &str = "Content-Length: 2\r\n";

/// How an upstream ends its connection after an answer.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Close,
    Reset,
}

/// Makes an attempt at an upstream that sends `answer` and ends the connection. Returns its outcome and the
/// served body.
async fn attempt_answered_by(answer: &str, end: End) -> (Outcome, Bytes) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a listener");
    let pool = Pool::new(4, LONG, LONG, true);
    let endpoint = pool.endpoint(listener.local_addr().expect("cannot read the local address"));
    let answer = answer.to_owned();
    let peer = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("cannot accept a connection").0;
        let (mut seen, mut byte) = (Vec::new(), [0]);
        while !seen.ends_with(b"some body") {
            stream.read_exact(&mut byte).expect("cannot read from the connection");
            seen.push(byte[0]);
        }
        stream.write_all(answer.as_bytes()).expect("cannot write to the connection");
        if end == End::Reset {
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("cannot set the linger option of the socket");
        }
    });
    let (method, uri, headers) = (Method::POST, Uri::from_static("/api"), HeaderMap::new());
    let body = Bytes::from_static(b"some body");
    let forwarded = Arc::new(ForwardedRequest { method, uri, headers, body });
    // So little time is left that no byte is held back.
    let deadline = Instant::now() + MIN_TIME_FOR_HOLD_BACK / 2;
    let deadlines = AttemptDeadlines { answer_by: deadline, write_by: deadline };
    let mut result = None;
    let on_end = |ended, served: ServedBody| result = Some((ended, served.body));
    attempt(pool, endpoint, forwarded, deadlines, Arc::default(), on_end).await;
    let joined = tokio::task::spawn_blocking(|| peer.join()).await.expect("the blocking task panicked");
    joined.expect("the upstream thread panicked");
    result.expect("the attempt ended without an outcome")
}

async fn expect_outcome(answer: &str, end: End, expected: Outcome) {
    assert_eq!(attempt_answered_by(answer, end).await, (expected, Bytes::new()), "{answer:?}");
}

#[tokio::test]
async fn an_answer_with_an_invalid_status_is_not_served() {
    for (status, expected) in
        [("000", Outcome::Reset), ("099", Outcome::Reset), ("600", Outcome::Error), ("999", Outcome::Error)]
    {
        let answer = format!("HTTP/1.1 {status} X\r\n{CONTENT_LENGTH}\r\nno");
        expect_outcome(&answer, End::Close, expected).await;
    }
}

#[tokio::test]
async fn an_answer_with_an_invalid_field_is_not_served() {
    for line in ["X Y: v", " X: v", "X : v", "X\u{0}Y: v", "\u{7f}X: v", "\nX: v", "X: v\n\r\nY: v"] {
        for before in ["", "HTTP/1.1 100 Continue\r\n\r\n"] {
            let answer = format!("{before}HTTP/1.1 200 OK\r\n{CONTENT_LENGTH}{line}\r\n\r\nno");
            expect_outcome(&answer, End::Close, Outcome::Reset).await;
            let answer = format!("{before}HTTP/1.1 200 OK\r\n{line}\r\n{CONTENT_LENGTH}\r\nno");
            expect_outcome(&answer, End::Close, Outcome::Reset).await;
        }
    }
}

/// An answer without a length is never served, since its end can't be told from a failure.
#[tokio::test]
async fn an_answer_that_is_not_complete_is_not_served() {
    let framings =
        [("", "no"), ("Content-Length: 3\r\n", "no"), ("Transfer-Encoding: chunked\r\n", "2\r\nno\r\n")];
    for (framing, body) in framings {
        for end in [End::Close, End::Reset] {
            expect_outcome(&format!("HTTP/1.1 200 OK\r\n{framing}\r\n{body}"), end, Outcome::Reset).await;
        }
    }
}

#[tokio::test]
async fn a_valid_answer_that_looks_unusual_is_served() {
    for head in [
        "HTTP/1.1 200\r\n",
        "HTTP/1.1 200 \r\nX-Empty:\r\n",
        "HTTP/1.1 200 OK\r\nX-Place: Jyv\u{e4}skyl\u{e4}\r\n",
        "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: v\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
    ] {
        let answers = [
            format!("{head}{CONTENT_LENGTH}\r\n\n\n"),
            format!("{head}{CONTENT_LENGTH}\r\n\n\n").replace("\r\n", "\n"),
            format!("{head}Transfer-Encoding: chunked\r\n\r\n2\r\n\n\n\r\n0\r\n\r\n"),
        ];
        for answer in answers {
            let served = attempt_answered_by(&answer, End::Close).await;
            assert_eq!(served, (Outcome::Ok, Bytes::from_static(b"\n\n")), "{answer:?}");
        }
    }
}
