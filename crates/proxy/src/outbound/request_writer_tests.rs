//! What an interrupted write proves. The peer decides how far it reads and what it sends.

use crate::outbound::connection::Connection;
use crate::outbound::fixtures::{connected, listener, outbound, state};
use crate::outbound::request::{INLINE_BODY, OutboundRequest};
use crate::outbound::request_writer::{RequestWriter, WriteOutcome};
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// More than the buffers of a connection take: the writer waits until the peer reads on.
const LONG: usize = 32 << 20;
/// Longer than any test: only the peer ends the wait.
const UNTIL_THE_PEER_ACTS: Option<Duration> = Some(Duration::from_secs(3_600));
const HEAD: &[u8] = b"HEAD\r\n\r\n";
const RESPONSE: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";
const STRAY_RESPONSE: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n";
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";

async fn pair(is_reused: bool) -> (Connection, TcpStream) {
    let listener = listener().await;
    let state = state(listener.local_addr().expect("an address"));
    let (mut connection, peer) = connected(&state, &listener).await;
    connection.is_reused = is_reused;
    (connection, peer)
}

fn request(length: usize) -> OutboundRequest {
    outbound("POST", "Request-Id: r1\r\n", vec![b'x'; length])
}

/// Reads `reads` bytes as the peer, then sends `sends`. The peer's drop resets the connection if bytes are left unread.
async fn act(peer: &mut TcpStream, reads: usize, sends: &str) {
    let mut bytes = vec![0; reads];
    peer.read_exact(&mut bytes).await.expect("that much");
    peer.write_all(sends.as_bytes()).await.expect("sent");
}

/// Before its last byte was sent, a request was not executed if no byte of a response to it was received; else it may have been.
#[rstest]
#[case::response(false, RESPONSE, false, Some(WriteOutcome::EarlyResponse))]
#[case::response_and_close(false, RESPONSE, true, Some(WriteOutcome::EarlyResponse))]
#[case::partial_response_and_close(false, "HTTP/1.1 2", true, Some(WriteOutcome::EarlyResponse))]
#[case::invalid_response(false, "\u{1}\u{2}\r\n\r\n", false, Some(WriteOutcome::EarlyResponse))]
#[case::stray_response_on_a_new_connection(false, STRAY_RESPONSE, false, Some(WriteOutcome::EarlyResponse))]
#[case::close_without_response(false, "", true, None)]
#[case::response_on_a_reused_connection(true, RESPONSE, false, Some(WriteOutcome::EarlyResponse))]
#[case::final_response_behind_an_interim_one(
    false,
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n",
    false,
    Some(WriteOutcome::EarlyResponse)
)]
#[tokio::test]
async fn received_before_the_last_byte(
    #[case] is_reused: bool, #[case] received: &str, #[case] closes: bool,
    #[case] expected: Option<WriteOutcome>, #[values(4, LONG)] length: usize,
) {
    let (mut connection, mut peer) = pair(is_reused).await;
    let request = request(length);
    let server = async {
        act(&mut peer, HEAD.len() + 3, received).await;
        (!closes).then_some(peer)
    };
    let mut writer = RequestWriter::new(&mut connection, &request);
    let (written, _peer) = tokio::join!(writer.write(HEAD.to_vec(), UNTIL_THE_PEER_ACTS), server);
    assert_eq!(written.ok(), expected);
    assert_eq!(connection.must_close, expected.is_some(), "the rest of the request was not sent on it");
}

/// Interim responses, partial ones, and stray ones on a reused connection don't end a write.
#[rstest]
#[case::interim(false, INTERIM)]
#[case::stray_response(true, STRAY_RESPONSE)]
#[case::partial_response(false, "HTTP/1.1 2")]
#[tokio::test]
async fn received_without_end_of_the_write(
    #[case] is_reused: bool, #[case] received: &str,
    #[values(4, INLINE_BODY, INLINE_BODY + 1, LONG)] length: usize,
    #[values(None, Some(Duration::from_millis(1)))] last_byte_delay: Option<Duration>,
) {
    let (mut connection, mut peer) = pair(is_reused).await;
    let request = request(length);
    let server = async {
        act(&mut peer, HEAD.len() + 3, received).await;
        act(&mut peer, length - 3, "").await;
        let mut more = [0];
        assert!(peer.try_read(&mut more).is_err(), "no byte twice");
        peer
    };
    let mut writer = RequestWriter::new(&mut connection, &request);
    let (written, _peer) = tokio::join!(writer.write(HEAD.to_vec(), last_byte_delay), server);
    assert_eq!(written.ok(), Some(WriteOutcome::Complete));
    assert!(!connection.must_close);
}

#[tokio::test]
async fn all_but_the_last_byte_are_sent_at_once() {
    let (mut connection, mut peer) = pair(false).await;
    let request = request(4);
    let mut writer = RequestWriter::new(&mut connection, &request);
    let server = async {
        act(&mut peer, HEAD.len() + 3, "").await;
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert!(peer.try_read(&mut [0]).is_err(), "the last byte is withheld");
        drop(peer);
    };
    let (written, ()) = tokio::join!(writer.write(HEAD.to_vec(), UNTIL_THE_PEER_ACTS), server);
    assert!(written.is_err());
}

#[tokio::test]
async fn last_byte_of_a_head_is_withheld_without_a_body() {
    let (mut connection, mut peer) = pair(false).await;
    let request = request(0);
    let mut writer = RequestWriter::new(&mut connection, &request);
    let server = async {
        act(&mut peer, HEAD.len() - 1, "").await;
        drop(peer);
    };
    let (written, ()) = tokio::join!(writer.write(HEAD.to_vec(), UNTIL_THE_PEER_ACTS), server);
    assert!(written.is_err());
}

/// Response and reset arrive between two polls of the socket, so that the write fails first.
#[rstest]
#[case::response(RESPONSE, Some(WriteOutcome::EarlyResponse))]
#[case::partial_response("HTTP/1.1 2", Some(WriteOutcome::EarlyResponse))]
#[case::nothing("", None)]
#[tokio::test]
async fn response_in_front_of_a_reset_is_found(
    #[case] received: &str, #[case] expected: Option<WriteOutcome>,
) {
    let (mut connection, peer) = pair(false).await;
    // The runtime knows that the socket is writable, and does not poll it again before the peer is done.
    let mut peer = peer.into_std().expect("a socket");
    peer.set_nonblocking(false).expect("set");
    std::io::Write::write_all(&mut peer, received.as_bytes()).expect("sent");
    socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("set");
    drop(peer);
    let request = request(4);
    let written = RequestWriter::new(&mut connection, &request).write(HEAD.to_vec(), None).await;
    assert_eq!(written.ok(), expected);
}
