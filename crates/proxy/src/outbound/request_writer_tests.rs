//! What a broken or early answered send proves. The peer decides how far it reads and what it says.

use crate::outbound::connection::Connection;
use crate::outbound::fixtures::{connected, listener, outbound, state};
use crate::outbound::request::{INLINE_BODY, OutboundRequest};
use crate::outbound::request_writer::{RequestWriter, WriteOutcome};
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// More than the buffers of a connection hold: the writer waits until the peer reads on.
const LONG: usize = 32 << 20;
/// The peer's doing ends the wait, not the time.
const FOR_EVER: Option<Duration> = Some(Duration::from_secs(3_600));
const HEAD: &[u8] = b"HEAD\r\n\r\n";
const OWN: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n";
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

/// The peer's part: reads `reads` bytes, says something, and then closes, with a reset if bytes are left unread.
async fn act(peer: &mut TcpStream, reads: usize, says: &str) {
    let mut bytes = vec![0; reads];
    peer.read_exact(&mut bytes).await.expect("that much");
    peer.write_all(says.as_bytes()).await.expect("said");
}

/// Before its last byte is out, a request has not run if nothing of an answer to it has come; else it may have.
#[rstest]
#[case::an_answer(false, OWN, false, Some(WriteOutcome::EarlyResponse))]
#[case::an_answer_and_the_end(false, OWN, true, Some(WriteOutcome::EarlyResponse))]
#[case::half_an_answer_and_the_end(false, "HTTP/1.1 2", true, Some(WriteOutcome::EarlyResponse))]
#[case::no_answer(false, "\u{1}\u{2}\r\n\r\n", false, Some(WriteOutcome::EarlyResponse))]
#[case::anothers_on_a_new_connection(false, FOREIGN, false, Some(WriteOutcome::EarlyResponse))]
#[case::nothing_and_the_end(false, "", true, None)]
#[case::an_answer_on_a_kept_connection(true, OWN, false, Some(WriteOutcome::EarlyResponse))]
#[case::a_final_answer_behind_an_interim_one(
    false,
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n",
    false,
    Some(WriteOutcome::EarlyResponse)
)]
#[tokio::test]
async fn what_comes_before_the_last_byte(
    #[case] is_reused: bool, #[case] says: &str, #[case] ends: bool, #[case] expected: Option<WriteOutcome>,
    #[values(4, LONG)] length: usize,
) {
    let (mut connection, mut peer) = pair(is_reused).await;
    let request = request(length);
    let script = async {
        act(&mut peer, HEAD.len() + 3, says).await;
        (!ends).then_some(peer)
    };
    let mut writer = RequestWriter::new(&mut connection, &request);
    let (written, _peer) = tokio::join!(writer.write(HEAD.to_vec(), FOR_EVER), script);
    assert_eq!(written.ok(), expected);
    assert_eq!(connection.must_close, expected.is_some(), "the rest is due on it");
}

/// Interim answers, and late copies of other requests' answers on a kept connection, leave the send as it is.
#[rstest]
#[case::interim(false, INTERIM)]
#[case::another_requests(true, FOREIGN)]
#[case::begun(false, "HTTP/1.1 2")]
#[tokio::test]
async fn what_does_not_end_a_send(
    #[case] is_reused: bool, #[case] says: &str,
    #[values(4, INLINE_BODY, INLINE_BODY + 1, LONG)] length: usize,
    #[values(None, Some(Duration::from_millis(1)))] last_byte_delay: Option<Duration>,
) {
    let (mut connection, mut peer) = pair(is_reused).await;
    let request = request(length);
    let script = async {
        act(&mut peer, HEAD.len() + 3, says).await;
        act(&mut peer, length - 3, "").await;
        let mut more = [0];
        assert!(peer.try_read(&mut more).is_err(), "no byte twice");
        peer
    };
    let mut writer = RequestWriter::new(&mut connection, &request);
    let (written, _peer) = tokio::join!(writer.write(HEAD.to_vec(), last_byte_delay), script);
    assert_eq!(written.ok(), Some(WriteOutcome::Complete));
    assert!(!connection.must_close);
}

/// The last byte waits; all others don't.
#[tokio::test]
async fn all_but_the_last_byte_go_out_at_once() {
    let (mut connection, mut peer) = pair(false).await;
    let request = request(4);
    let mut writer = RequestWriter::new(&mut connection, &request);
    let script = async {
        act(&mut peer, HEAD.len() + 3, "").await;
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert!(peer.try_read(&mut [0]).is_err(), "held back");
        drop(peer);
    };
    let (written, ()) = tokio::join!(writer.write(HEAD.to_vec(), FOR_EVER), script);
    assert!(written.is_err());
}

#[tokio::test]
async fn a_request_without_a_body_is_held_back_too() {
    let (mut connection, mut peer) = pair(false).await;
    let request = request(0);
    let mut writer = RequestWriter::new(&mut connection, &request);
    let script = async {
        act(&mut peer, HEAD.len() - 1, "").await;
        drop(peer);
    };
    let (written, ()) = tokio::join!(writer.write(HEAD.to_vec(), FOR_EVER), script);
    assert!(written.is_err());
}

/// The answer and the reset come between two looks at the connection, so that the write meets the reset first.
#[rstest]
#[case::an_answer(OWN, Some(WriteOutcome::EarlyResponse))]
#[case::half_an_answer("HTTP/1.1 2", Some(WriteOutcome::EarlyResponse))]
#[case::nothing("", None)]
#[tokio::test]
async fn an_answer_in_front_of_a_reset_is_found(#[case] says: &str, #[case] expected: Option<WriteOutcome>) {
    let (mut connection, peer) = pair(false).await;
    // The runtime has seen that it can be written to, and does not look again before the peer is done.
    let mut peer = peer.into_std().expect("a socket");
    peer.set_nonblocking(false).expect("set");
    std::io::Write::write_all(&mut peer, says.as_bytes()).expect("said");
    socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("set");
    drop(peer);
    let request = request(4);
    let written = RequestWriter::new(&mut connection, &request).write(HEAD.to_vec(), None).await;
    assert_eq!(written.ok(), expected);
}
