//! Orders are sent under a lease that runs, and not under one that has ended.

use super::{AuthorizedOrder, run};
use crate::command::Command;
use crate::lease::HeldLease;
use lugwharf_protocol::Stage;
use lugwharf_stages::{Order, OrderOutcome};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Longer than any test.
const LONG: Duration = Duration::from_secs(600);

/// Sends one order under a lease that ends at `until`; returns how it ended.
async fn send_order(address: SocketAddr, until: Instant) -> OrderOutcome {
    let (orders, queue) = mpsc::channel(1);
    let (commands, mut done) = mpsc::channel(1);
    tokio::spawn(run(queue, commands));
    let order = Order { id: "i-1".to_owned(), address, stage: Stage::Decode };
    let lease = HeldLease { token: 7, expires_at: until };
    let authorized = AuthorizedOrder { order, holder: "core-1".to_owned(), lease };
    orders.send(authorized).await.expect("a queue");
    match done.recv().await {
        Some(Command::OrderCompleted { id, outcome }) if id == "i-1" => outcome,
        _ => panic!("no end of the order"),
    }
}

#[tokio::test]
async fn order_names_its_server_its_holder_and_its_token() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = Vec::new();
        while !received.ends_with(b"}") {
            assert!(stream.read_buf(&mut received).await.expect("bytes") > 0, "it ends early");
        }
        stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").await.expect("an answer");
        String::from_utf8(received).expect("text")
    });
    assert_eq!(send_order(address, Instant::now() + LONG).await, OrderOutcome::Accepted);
    let received = server.await.expect("a request");
    assert!(received.starts_with("POST /order HTTP/1.1\r\n"), "{received}");
    assert!(received.to_ascii_lowercase().contains("expect-instance: i-1\r\n"), "{received}");
    let body = r#"{"Op":"Stage","Stage":"decode","Holder":"core-1","Fence":7}"#;
    assert!(received.ends_with(body), "{received}");
}

#[tokio::test]
async fn no_order_is_sent_after_the_lease_has_ended() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received).await;
        received
    });
    assert_eq!(send_order(address, Instant::now()).await, OrderOutcome::Rejected);
    assert_eq!(server.await.expect("a connection"), b"");
}

/// The server accepts the connection and does not respond. The next holder may act as soon as the lease is over.
#[tokio::test(start_paused = true)]
async fn order_in_flight_is_aborted_at_the_end_of_the_lease() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let started_at = Instant::now();
    let left = Duration::from_millis(100);
    assert_eq!(send_order(address, started_at + left).await, OrderOutcome::Unknown);
    assert!(started_at.elapsed() <= left + Duration::from_millis(1), "{:?}", started_at.elapsed());
}
