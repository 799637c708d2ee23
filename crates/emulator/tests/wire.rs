//! Tests of parsing complete and invalid messages, events and stamps.

use lugwharf_emulator::events::EventParser;
use lugwharf_emulator::stamp::{ExpectedBody, Stamp};
use lugwharf_emulator::wire::{Connection, Request, Response, WireError};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// A connection that receives these bytes and is then closed by the sender.
async fn connection_receiving(bytes: &[u8]) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the listener is bound");
    let address = listener.local_addr().expect("the listener has an address");
    let mut sender = TcpStream::connect(address).await.expect("the sender connects");
    let (receiver, _) = listener.accept().await.expect("the connection is accepted");
    sender.write_all(bytes).await.expect("the bytes are written");
    sender.shutdown().await.expect("the sender closes the connection");
    Connection::new(receiver)
}

#[rstest]
#[case::length(b"POST /a?b=c HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", b"hello")]
#[case::chunks(
    b"POST /a?b=c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nT: 1\r\n\r\n",
    b"hello"
)]
#[case::none(b"GET /a?b=c HTTP/1.1\r\n\r\n", b"")]
#[tokio::test]
async fn request_is_parsed(#[case] bytes: &[u8], #[case] body: &[u8]) {
    let mut connection = connection_receiving(bytes).await;
    let request =
        connection.read_request().await.expect("the request is valid").expect("a request precedes the end");
    assert_eq!((request.path(), request.query("b"), request.body.as_slice()), ("/a", Some("c"), body));
    assert!(matches!(connection.read_request().await, Ok(None)));
}

#[rstest]
#[case::in_the_head(b"HTTP/1.1 200 OK\r\nContent-Le")]
#[case::in_the_body(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel")]
#[case::in_a_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel")]
#[case::without_the_last_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n")]
#[tokio::test]
async fn truncated_response_is_an_error(#[case] bytes: &[u8]) {
    let mut connection = connection_receiving(bytes).await;
    assert!(matches!(connection.read_response().await, Err(WireError::EndedEarly)));
}

#[rstest]
#[case::garbage(b"\x00\x01\x02\r\n\r\n")]
#[case::bad_length(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n")]
#[case::bad_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")]
#[case::bytes_behind_a_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n")]
#[case::status_below_the_range(
    b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)]
#[case::status_above_the_range(b"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n")]
#[case::blank_in_a_name(b"HTTP/1.1 200 OK\r\nX Y: v\r\nContent-Length: 0\r\n\r\n")]
#[case::control_byte_in_a_name(b"HTTP/1.1 200 OK\r\nX\x01: v\r\nContent-Length: 0\r\n\r\n")]
#[case::newline_before_a_name(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\nX: v\r\n\r\n")]
#[case::newline_after_a_value(b"HTTP/1.1 200 OK\r\nX: v\n\r\nContent-Length: 0\r\n\r\n")]
#[case::other_encoding(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n")]
#[tokio::test]
async fn malformed_response_is_an_error(#[case] bytes: &[u8]) {
    let mut connection = connection_receiving(bytes).await;
    assert!(matches!(connection.read_response().await, Err(WireError::Malformed(_))));
}

#[tokio::test]
async fn encoded_messages_are_parsed_back() {
    let mut request = Request::new("PUT", "/config");
    request.headers.push("If-Match", "5");
    request.body = b"{}".to_vec();
    let mut connection = connection_receiving(&request.encode()).await;
    let read =
        connection.read_request().await.expect("the request is valid").expect("a request precedes the end");
    assert_eq!((read.headers.get("if-match"), read.body), (Some("5"), b"{}".to_vec()));

    let response = Response::json(200, &serde_json::json!({"A": 1})).with("X", "y");
    let mut connection = connection_receiving(&response.encode()).await;
    let read = connection.read_response().await.expect("the response is valid");
    assert_eq!((read.status, read.headers.get("x"), read.body), (200, Some("y"), b"{\"A\":1}".to_vec()));
}

#[test]
fn events_are_parsed_incrementally() {
    let mut parser = EventParser::default();
    assert_eq!(parser.push(b"id: 1\nda"), []);
    let events = parser.push(b"ta: a\n\nversions: 4\nid: 2\ndata: b\ndata: c\n\nid: 3");
    assert_eq!(events.iter().map(|event| event.id).collect::<Vec<_>>(), [Some(1), Some(2)]);
    assert_eq!((events[1].data.as_str(), events[1].versions), ("b\nc", Some(4)));
    assert!(parser.has_partial_event());
}

#[rstest]
#[case(ExpectedBody::Bytes { length: 800, hash: 0xabc })]
#[case(ExpectedBody::Events { last: 7, event_bytes: 32, seed: 0xdef })]
fn stamp_is_parsed_back(#[case] expected_body: ExpectedBody) {
    let stamp = Stamp { instance: "i-7f3a".to_owned(), execution: 18, status: 200, expected_body };
    assert_eq!(stamp.to_string().parse(), Ok(stamp));
}

#[rstest]
#[case("")]
#[case("3e1b.07.5a2.600.0.c9f2a4d1")]
#[case("i.1.200.x.1.0.0")]
fn invalid_stamp_is_an_error(#[case] text: &str) {
    assert!(text.parse::<Stamp>().is_err());
}
