//! What the outcome of an interrupted write proves about execution. The peer determines how much it reads and
//! what it sends.

use crate::outbound::connection::Connection;
use crate::outbound::fixtures::{open_connection, outbound_request, start_listener, state_with_server};
use crate::outbound::request::{MAX_INLINE_BODY_BYTES, OutboundRequest};
use crate::outbound::request_writer::{RequestWriter, WriteOutcome};
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The length of a body that exceeds the socket buffers, so that the writer waits until the peer reads more.
const LONG_BODY_BYTES: usize = 32 << 20;
/// A delay that is longer than any test, so that only the peer's action ends the wait.
const UNLIMITED_DELAY: Option<Duration> = Some(Duration::from_secs(3_600));
const HEAD: &[u8] = b"HEAD\r\n\r\n";
const RESPONSE: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";
const UNMATCHED_RESPONSE: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n";
const INTERIM_RESPONSE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

async fn connect_to_peer(is_reused: bool) -> (Connection, TcpStream) {
    let listener = start_listener().await;
    let state = state_with_server(listener.local_addr().expect("the listener has a local address"));
    let (mut connection, peer) = open_connection(&state, &listener).await;
    connection.is_reused = is_reused;
    (connection, peer)
}

fn request_with_body(length: usize) -> OutboundRequest {
    outbound_request("POST", "Request-Id: r1\r\n", vec![b'x'; length])
}

/// Reads `reads` bytes as the peer, then sends `sends`. Dropping the peer resets the connection if it has
/// unread bytes.
async fn read_then_send(peer: &mut TcpStream, reads: usize, sends: &str) {
    let mut bytes = vec![0; reads];
    peer.read_exact(&mut bytes).await.expect("the peer receives enough bytes");
    peer.write_all(sends.as_bytes()).await.expect("the bytes are written");
}

/// Input before the last byte of the request was sent: if it is, or may be, part of a response to the
/// request, the request may have been executed. If there is none, the request was not executed.
#[rstest]
#[case::response(false, RESPONSE, false, Some(WriteOutcome::EarlyResponse))]
#[case::response_and_close(false, RESPONSE, true, Some(WriteOutcome::EarlyResponse))]
#[case::partial_response_and_close(false, "HTTP/1.1 2", true, Some(WriteOutcome::EarlyResponse))]
#[case::invalid_response(false, "\u{1}\u{2}\r\n\r\n", false, Some(WriteOutcome::EarlyResponse))]
#[case::unmatched_response_on_a_new_connection(
    false,
    UNMATCHED_RESPONSE,
    false,
    Some(WriteOutcome::EarlyResponse)
)]
#[case::close_without_response(false, "", true, None)]
#[case::response_on_a_reused_connection(true, RESPONSE, false, Some(WriteOutcome::EarlyResponse))]
#[case::final_response_after_an_interim_one(
    false,
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n",
    false,
    Some(WriteOutcome::EarlyResponse)
)]
#[tokio::test]
async fn input_before_the_last_byte_ends_the_write(
    #[case] is_reused: bool, #[case] received: &str, #[case] closes: bool,
    #[case] expected: Option<WriteOutcome>, #[values(4, LONG_BODY_BYTES)] length: usize,
) {
    let (mut connection, mut peer) = connect_to_peer(is_reused).await;
    let request = request_with_body(length);
    let server = async {
        read_then_send(&mut peer, HEAD.len() + 3, received).await;
        (!closes).then_some(peer)
    };
    let mut writer = RequestWriter::new(&mut connection, &request);
    let (written, _peer) = tokio::join!(writer.write(HEAD.to_vec(), UNLIMITED_DELAY), server);
    assert_eq!(written.ok(), expected);
    assert_eq!(connection.must_close, expected.is_some(), "the rest of the request was not sent on it");
}

/// Interim responses, incomplete responses, and unmatched responses on a reused connection do not end a
/// write.
#[rstest]
#[case::interim(false, INTERIM_RESPONSE)]
#[case::unmatched_response(true, UNMATCHED_RESPONSE)]
#[case::partial_response(false, "HTTP/1.1 2")]
#[tokio::test]
async fn input_that_does_not_end_the_write(
    #[case] is_reused: bool, #[case] received: &str,
    #[values(4, MAX_INLINE_BODY_BYTES, MAX_INLINE_BODY_BYTES + 1, LONG_BODY_BYTES)] length: usize,
    #[values(None, Some(Duration::from_millis(1)))] last_byte_delay: Option<Duration>,
) {
    let (mut connection, mut peer) = connect_to_peer(is_reused).await;
    let request = request_with_body(length);
    let server = async {
        read_then_send(&mut peer, HEAD.len() + 3, received).await;
        read_then_send(&mut peer, length - 3, "").await;
        let mut more = [0];
        assert!(peer.try_read(&mut more).is_err(), "no byte is sent twice");
        peer
    };
    let mut writer = RequestWriter::new(&mut connection, &request);
    let (written, _peer) = tokio::join!(writer.write(HEAD.to_vec(), last_byte_delay), server);
    assert_eq!(written.ok(), Some(WriteOutcome::Complete));
    assert!(!connection.must_close);
}

#[tokio::test]
async fn all_but_the_last_byte_are_sent_at_once() {
    let (mut connection, mut peer) = connect_to_peer(false).await;
    let request = request_with_body(4);
    let mut writer = RequestWriter::new(&mut connection, &request);
    let server = async {
        read_then_send(&mut peer, HEAD.len() + 3, "").await;
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert!(peer.try_read(&mut [0]).is_err(), "the last byte is withheld");
        drop(peer);
    };
    let (written, ()) = tokio::join!(writer.write(HEAD.to_vec(), UNLIMITED_DELAY), server);
    assert!(written.is_err());
}

#[tokio::test]
async fn last_byte_of_a_head_is_withheld_without_a_body() {
    let (mut connection, mut peer) = connect_to_peer(false).await;
    let request = request_with_body(0);
    let mut writer = RequestWriter::new(&mut connection, &request);
    let server = async {
        read_then_send(&mut peer, HEAD.len() - 1, "").await;
        drop(peer);
    };
    let (written, ()) = tokio::join!(writer.write(HEAD.to_vec(), UNLIMITED_DELAY), server);
    assert!(written.is_err());
}

/// The response and a reset arrive between two polls of the socket, so that the write fails before the
/// response is read.
#[rstest]
#[case::response(RESPONSE, Some(WriteOutcome::EarlyResponse))]
#[case::partial_response("HTTP/1.1 2", Some(WriteOutcome::EarlyResponse))]
#[case::nothing("", None)]
#[tokio::test]
async fn response_before_a_reset_is_detected(#[case] received: &str, #[case] expected: Option<WriteOutcome>) {
    let (mut connection, peer) = connect_to_peer(false).await;
    // The runtime considers the socket writable, and does not poll it again before the peer has finished.
    let mut peer = peer.into_std().expect("the stream can be converted");
    peer.set_nonblocking(false).expect("the option is set");
    std::io::Write::write_all(&mut peer, received.as_bytes()).expect("the bytes are written");
    socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("the option is set");
    drop(peer);
    let request = request_with_body(4);
    let written = RequestWriter::new(&mut connection, &request).write(HEAD.to_vec(), None).await;
    assert_eq!(written.ok(), expected);
}
