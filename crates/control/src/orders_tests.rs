//! Tests that orders are sent only under a held lease, and not under one that has expired or was resigned.

use super::{AuthorizedOrder, run};
use crate::command::Command;
use crate::lease::{HeldLease, LeaseWatch};
use lugwharf_election::FencingToken;
use lugwharf_protocol::Stage;
use lugwharf_stages::{Order, OrderOutcome};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Longer than any test runs.
const LONG: Duration = Duration::from_secs(600);

/// The fencing token of the orders.
const TOKEN: FencingToken = FencingToken(7);

fn lease_until(expires_at: Instant) -> Option<HeldLease> {
    Some(HeldLease { token: TOKEN, expires_at })
}

/// Sends one order under a lease that expires at `expires_at`, and returns its outcome.
async fn send_order(address: SocketAddr, expires_at: Instant) -> OrderOutcome {
    let (_lease_sender, lease) = watch::channel(lease_until(expires_at));
    send_order_under(address, lease).await
}

/// Sends one order under a lease, and returns its outcome.
async fn send_order_under(address: SocketAddr, lease: watch::Receiver<Option<HeldLease>>) -> OrderOutcome {
    let (orders, queue) = mpsc::channel(1);
    let (commands, mut done) = mpsc::channel(1);
    tokio::spawn(run(queue, LeaseWatch::new(lease), commands));
    let order = Order { id: "i-1".to_owned(), address, stage: Stage::Decode, if_revision: None };
    let authorized = AuthorizedOrder { order, holder: "core-1".to_owned(), token: TOKEN };
    orders.send(authorized).await.expect("the queue is closed");
    match done.recv().await {
        Some(Command::OrderCompleted { id, token: TOKEN, outcome }) if id == "i-1" => outcome,
        _ => panic!("no OrderCompleted command was sent for the order"),
    }
}

/// Accepts a connection and returns the bytes that arrive on it until its end.
async fn receive_until_end(listener: TcpListener) -> Vec<u8> {
    let (mut stream, _) = listener.accept().await.expect("cannot accept a connection");
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;
    received
}

#[tokio::test]
async fn order_contains_its_server_its_holder_and_its_token() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("cannot accept a connection");
        let mut received = Vec::new();
        while !received.ends_with(b"}") {
            assert!(
                stream.read_buf(&mut received).await.expect("cannot read from the connection") > 0,
                "the request ended early"
            );
        }
        stream
            .write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            .await
            .expect("cannot write the response");
        String::from_utf8(received).expect("the received text is not UTF-8")
    });
    assert_eq!(send_order(address, Instant::now() + LONG).await, OrderOutcome::Accepted);
    let received = server.await.expect("the server task panicked");
    assert!(received.starts_with("POST /order HTTP/1.1\r\n"), "{received}");
    assert!(received.to_ascii_lowercase().contains("expect-instance: i-1\r\n"), "{received}");
    let body = r#"{"Op":"Stage","Stage":"decode","Holder":"core-1","Fence":7}"#;
    assert!(received.ends_with(body), "{received}");
}

#[tokio::test]
async fn no_order_is_sent_after_the_lease_has_ended() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let server = tokio::spawn(receive_until_end(listener));
    assert_eq!(send_order(address, Instant::now()).await, OrderOutcome::Rejected);
    assert_eq!(server.await.expect("the server task panicked"), b"");
}

/// The server accepts the connection and does not respond. The order must be aborted when the lease expires,
/// because the next holder may act from then on.
#[tokio::test(start_paused = true)]
async fn order_in_flight_is_aborted_at_the_end_of_the_lease() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let started_at = Instant::now();
    let remaining = Duration::from_millis(100);
    assert_eq!(send_order(address, started_at + remaining).await, OrderOutcome::Unknown);
    assert!(started_at.elapsed() <= remaining + Duration::from_millis(1), "{:?}", started_at.elapsed());
}

/// A server that has seen a higher token (412) rejects all orders of the sender, so that status has an
/// outcome of its own.
#[rstest]
#[case::accepted(202, OrderOutcome::Accepted)]
#[case::has_the_stage(200, OrderOutcome::Accepted)]
#[case::no_such_order(400, OrderOutcome::Rejected)]
#[case::another_order(409, OrderOutcome::Rejected)]
#[case::higher_token_was_seen(412, OrderOutcome::StaleToken)]
#[case::another_incarnation(421, OrderOutcome::Rejected)]
#[case::failed(500, OrderOutcome::Unknown)]
#[tokio::test]
async fn outcome_follows_from_the_status(#[case] status: u16, #[case] expected: OrderOutcome) {
    let response = format!("HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(send_order_answered_by(response).await, expected);
}

/// A response that is not valid HTTP/1.1 says nothing about the order.
#[rstest]
#[case::status_below_the_range("HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n")]
#[case::status_above_the_range("HTTP/1.1 999 x\r\nContent-Length: 0\r\n\r\n")]
#[case::blank_in_a_name("HTTP/1.1 202 x\r\nX Y: v\r\nContent-Length: 0\r\n\r\n")]
#[case::control_byte_in_a_name("HTTP/1.1 202 x\r\nX\u{1}: v\r\nContent-Length: 0\r\n\r\n")]
#[case::newline_before_a_name("HTTP/1.1 202 x\r\n\nX: v\r\nContent-Length: 0\r\n\r\n")]
#[case::newline_after_an_interim_response("HTTP/1.1 100 x\r\n\r\nHTTP/1.1 202 x\r\n\nX: v\r\n\r\n")]
#[case::newline_after_a_value("HTTP/1.1 202 x\r\nX: v\n\r\nContent-Length: 0\r\n\r\n")]
#[tokio::test]
async fn invalid_response_to_an_order_leaves_its_outcome_unknown(#[case] response: &str) {
    assert_eq!(send_order_answered_by(response.to_owned()).await, OrderOutcome::Unknown);
}

/// Sends an order to a server that responds with these bytes, and returns its outcome.
async fn send_order_answered_by(response: String) -> OrderOutcome {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("cannot accept a connection");
        let mut received = Vec::new();
        while !received.ends_with(b"}") {
            assert!(
                stream.read_buf(&mut received).await.expect("cannot read from the connection") > 0,
                "the request ended early"
            );
        }
        stream.write_all(response.as_bytes()).await.expect("cannot write the response");
        stream.read_to_end(&mut received).await
    });
    send_order(address, Instant::now() + LONG).await
}

/// An order must not be sent if its lease was resigned while the order was queued, although the lease would
/// not have expired yet.
#[rstest]
#[case::no_lease(None)]
#[case::a_later_token(Some(HeldLease { token: FencingToken(TOKEN.0 + 1), expires_at: Instant::now() + LONG }))]
#[tokio::test]
async fn queued_order_is_withheld_after_the_lease_was_resigned(#[case] lease: Option<HeldLease>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let server = tokio::spawn(receive_until_end(listener));
    let (_lease_sender, lease) = watch::channel(lease);
    assert_eq!(send_order_under(address, lease).await, OrderOutcome::Rejected);
    assert_eq!(server.await.expect("the server task panicked"), b"");
}

/// The server has read the order and has not responded when the lease is resigned: the connection must be
/// reset immediately.
#[tokio::test]
async fn order_in_flight_is_aborted_when_the_lease_is_resigned() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let (lease_sender, lease) = watch::channel(lease_until(Instant::now() + LONG));
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("cannot accept a connection");
        let mut received = Vec::new();
        while !received.ends_with(b"}") {
            assert!(
                stream.read_buf(&mut received).await.expect("cannot read from the connection") > 0,
                "the request ended early"
            );
        }
        lease_sender.send_replace(None);
        stream.read_buf(&mut received).await.map_err(|error| error.kind())
    });
    assert_eq!(send_order_under(address, lease).await, OrderOutcome::Unknown);
    assert_eq!(server.await.expect("the server task panicked"), Err(std::io::ErrorKind::ConnectionReset));
}

/// A renewal changes the expiry of the lease without waking a task. An order in flight must not be aborted at
/// the earlier expiry.
#[tokio::test(start_paused = true)]
async fn order_in_flight_continues_past_the_first_expiry_of_a_renewed_lease() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let started_at = Instant::now();
    let (lease_sender, lease) = watch::channel(lease_until(started_at + Duration::from_millis(100)));
    lease_sender.send_if_modified(|lease| {
        *lease = lease_until(started_at + LONG);
        false
    });
    assert_eq!(send_order_under(address, lease).await, OrderOutcome::Unknown);
    assert!(started_at.elapsed() >= Duration::from_millis(700), "{:?}", started_at.elapsed());
}
