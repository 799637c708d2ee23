//! Which client connections are asked to close, and how a request is served that arrives at the same time.

use crate::inbound::connection;
use crate::inbound::connections::ClientConnections;
use crate::outbound::fixtures::{start_listener, state_with_server};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::advance;

const MIN_IDLE: Duration = Duration::from_secs(5);

#[tokio::test(start_paused = true)]
async fn connections_idle_for_the_minimum_time_are_asked_to_close() {
    let connections = ClientConnections::new(0);
    let (_, first) = connections.register();
    let (_, busy) = connections.register();
    busy.idle_since.set(None);
    advance(MIN_IDLE - Duration::from_millis(1)).await;
    let (_, fresh) = connections.register();
    connections.close_idle(MIN_IDLE);
    assert!(!first.is_close_requested(), "one millisecond too early");
    advance(Duration::from_millis(1)).await;
    connections.close_idle(MIN_IDLE);
    assert!(first.is_close_requested());
    advance(Duration::from_millis(1)).await;
    assert!(!busy.is_close_requested() && !fresh.is_close_requested());
}

#[tokio::test(start_paused = true)]
async fn idle_connections_are_evicted_once_each_longest_idle_first() {
    let connections = ClientConnections::new(0);
    let (_, first) = connections.register();
    advance(Duration::from_millis(1)).await;
    let (_, second) = connections.register();
    assert!(connections.evict_longest_idle());
    assert!(first.is_close_requested() && !second.is_close_requested());
    assert!(connections.evict_longest_idle());
    assert!(second.is_close_requested());
    assert!(!connections.evict_longest_idle(), "no other connection is idle");
}

/// The request is already in the socket's receive buffer when its connection is evicted. It must be served,
/// and the response must announce the close, since a further request on this connection would fail.
#[tokio::test]
async fn request_received_during_eviction_is_served_and_its_response_announces_the_close() {
    let listener = start_listener().await;
    let address = listener.local_addr().expect("the listener has a local address");
    let mut client = TcpStream::connect(address).await.expect("the connection is established");
    let (stream, _) = listener.accept().await.expect("a connection is accepted");
    let connections = ClientConnections::new(0);
    let (_, slot) = connections.register();
    client
        .write_all(b"GET /ping HTTP/1.1\r\nHost: x\r\nRequest-Id: r1\r\n\r\n")
        .await
        .expect("the bytes are written");
    stream.readable().await.expect("the request arrives");
    assert!(connections.evict_longest_idle());
    let state = state_with_server(address);
    let mut received = String::new();
    let (_, read) =
        tokio::join!(connection::serve(&state, stream, &slot), client.read_to_string(&mut received));
    read.expect("the response is read to its end");
    assert!(received.starts_with("HTTP/1.1 "), "{received}");
    assert!(received.to_ascii_lowercase().contains("connection: close\r\n"), "{received}");
}

/// Guards against a connection without a request that counts as busy: it could not make room for another one.
#[tokio::test]
async fn connection_that_has_sent_nothing_is_evicted() {
    let listener = start_listener().await;
    let address = listener.local_addr().expect("the listener has a local address");
    let mut client = TcpStream::connect(address).await.expect("the connection is established");
    let (stream, _) = listener.accept().await.expect("a connection is accepted");
    let connections = ClientConnections::new(0);
    let (_, slot) = connections.register();
    let state = state_with_server(address);
    let evict = async {
        tokio::task::yield_now().await;
        assert!(connections.evict_longest_idle());
        client.read(&mut [0]).await.expect("the connection is closed in an orderly way")
    };
    let ((), length) = tokio::join!(connection::serve(&state, stream, &slot), evict);
    assert_eq!(length, 0);
}
