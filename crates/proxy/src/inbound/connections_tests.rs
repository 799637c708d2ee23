//! Which connections of clients are asked to close, and what becomes of a request that crosses this.

use crate::inbound::connection;
use crate::inbound::connections::ClientConnections;
use crate::outbound::fixtures::{listener, state};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::advance;

const MIN_IDLE: Duration = Duration::from_secs(5);

#[tokio::test(start_paused = true)]
async fn connections_that_were_idle_for_the_least_time_are_asked_to_close() {
    let connections = ClientConnections::new(0);
    let (_, first) = connections.register();
    let (_, busy) = connections.register();
    busy.idle_since.set(None);
    advance(MIN_IDLE - Duration::from_millis(1)).await;
    let (_, fresh) = connections.register();
    connections.close_idle(MIN_IDLE);
    assert!(!first.is_closing(), "a millisecond too soon");
    advance(Duration::from_millis(1)).await;
    connections.close_idle(MIN_IDLE);
    assert!(first.is_closing());
    advance(Duration::from_millis(1)).await;
    assert!(!busy.is_closing() && !fresh.is_closing());
}

#[tokio::test(start_paused = true)]
async fn each_idle_connection_is_evicted_once_the_idlest_first() {
    let connections = ClientConnections::new(0);
    let (_, first) = connections.register();
    advance(Duration::from_millis(1)).await;
    let (_, second) = connections.register();
    assert!(connections.evict_idlest());
    assert!(first.is_closing() && !second.is_closing());
    assert!(connections.evict_idlest());
    assert!(second.is_closing());
    assert!(!connections.evict_idlest(), "nobody else is idle");
}

/// The request is in the buffer of the socket when its connection is evicted. It is served, and its client learns that it must
/// not send another one: that would meet the close.
#[tokio::test]
async fn request_that_crosses_an_eviction_is_answered_with_the_close() {
    let listener = listener().await;
    let address = listener.local_addr().expect("an address");
    let mut client = TcpStream::connect(address).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    let connections = ClientConnections::new(0);
    let (_, slot) = connections.register();
    client.write_all(b"GET /ping HTTP/1.1\r\nHost: x\r\nRequest-Id: r1\r\n\r\n").await.expect("a write");
    stream.readable().await.expect("the request");
    assert!(connections.evict_idlest());
    let state = state(address);
    let mut received = String::new();
    let (_, read) =
        tokio::join!(connection::serve(&state, stream, &slot), client.read_to_string(&mut received));
    read.expect("a complete response");
    assert!(received.starts_with("HTTP/1.1 "), "{received}");
    assert!(received.to_ascii_lowercase().contains("connection: close\r\n"), "{received}");
}
