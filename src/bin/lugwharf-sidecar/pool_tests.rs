//! Tests of idle connections and the limit on all of them.

use super::*;
use std::io;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const LONG: Duration = Duration::from_secs(30);

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

#[tokio::test]
async fn an_endpoint_closed_while_its_connection_opens_gets_no_request() {
    let (listener, addr) = listener().await;
    let pool = Pool::new(4, LONG, LONG, true);
    let endpoint = pool.endpoint(addr);
    endpoint.close();
    let (result, accepted) =
        tokio::join!(pool.connection(&endpoint, Instant::now() + LONG), listener.accept());
    assert_eq!(result.err(), Some(Outcome::NotSent));
    let stream = accepted.expect("a connection").0;
    let mut bytes = [0; 64];
    let read = loop {
        stream.readable().await.expect("an end");
        match stream.try_read(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            read => break read,
        }
    };
    assert_eq!(read.expect("an end"), 0);
}

#[tokio::test]
async fn a_connect_timeout_ends_as_connect_failed() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let listener = socket.listen(1).expect("listening");
    let addr = listener.local_addr().expect("an address");
    // Nobody accepts: once the backlog is full, no further connection comes up.
    let mut waiting = Vec::new();
    let deadline = Duration::from_millis(200);
    while let Ok(Ok(stream)) = tokio::time::timeout(deadline, TcpStream::connect(addr)).await {
        waiting.push(stream);
    }
    let pool = Pool::new(4, LONG, Duration::from_millis(50), true);
    let result = pool.connection(&pool.endpoint(addr), Instant::now() + LONG).await;
    assert_eq!(result.err(), Some(Outcome::ConnectFailed));
}

#[tokio::test]
async fn the_longest_idle_connection_is_evicted_at_the_limit() {
    let pool = Pool::new(2, LONG, LONG, true);
    let (mut listeners, mut endpoints) = (Vec::new(), Vec::new());
    for _ in 0..3 {
        let (listener, addr) = listener().await;
        listeners.push(listener);
        endpoints.push(pool.endpoint(addr));
    }
    let deadline = Instant::now() + LONG;
    let first = pool.connection(&endpoints[0], deadline).await.expect("room");
    let _second = pool.connection(&endpoints[1], deadline).await.expect("room");
    assert!(pool.connection(&endpoints[2], deadline).await.is_err(), "both are in use");
    pool.put_back(&endpoints[0], first);
    assert!(pool.connection(&endpoints[2], deadline).await.is_ok(), "the idle one gave way");
    assert_eq!(pool.open.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_closed_endpoint_keeps_no_idle_connection() {
    let (_listener, addr) = listener().await;
    let pool = Pool::new(2, LONG, LONG, true);
    let (old, deadline) = (pool.endpoint(addr), Instant::now() + LONG);
    let (kept, used) = (pool.connection(&old, deadline).await, pool.connection(&old, deadline).await);
    pool.put_back(&old, kept.expect("room"));
    old.close();
    assert_eq!(pool.open.load(Ordering::Relaxed), 1, "the idle one is closed");
    pool.put_back(&old, used.expect("room"));
    assert_eq!(pool.open.load(Ordering::Relaxed), 0, "and the one that was in use is not put back");
}

#[tokio::test]
async fn a_connection_with_unread_bytes_is_not_clean() {
    let (listener, addr) = listener().await;
    let pool = Pool::new(2, LONG, LONG, true);
    let endpoint = pool.endpoint(addr);
    let pooled = pool.connection(&endpoint, Instant::now() + LONG).await.expect("room");
    let peer = listener.accept().await.expect("a connection").0;
    assert!(pooled.connection.is_clean());
    peer.writable().await.expect("room to write");
    assert_eq!(peer.try_write(b"H").expect("written"), 1);
    // The byte is in the socket and no other task has run since: HTTP cannot have read it.
    assert!(!pooled.connection.is_clean());
}

fn local(pooled: &PooledConnection) -> SocketAddr {
    pooled.connection.socket.upgrade().expect("open").local_addr().expect("an address")
}

#[tokio::test(start_paused = true)]
async fn a_resting_connection_is_waited_for_where_a_new_one_costs_more() {
    let (_listener, addr) = listener().await;
    let instant = Duration::ZERO;
    // Whether a handshake has a price, the time to connect, the time left, and whether the idle connection is waited for.
    for (has_handshake_price, took, left, waits) in [
        (true, instant, LONG, true),
        (true, instant, REST_TIME + MIN_TIME_AFTER_REST / 2, false),
        (false, instant, LONG, false),
        (false, REST_TIME * 2, LONG, true),
        (false, REST_TIME * 2, REST_TIME + MIN_TIME_AFTER_REST / 2, false),
    ] {
        let pool = Pool::new(4, LONG, LONG, has_handshake_price);
        let (endpoint, begun) = (pool.endpoint(addr), Instant::now());
        let mut first = pool.connection(&endpoint, begun + LONG).await.expect("room");
        first.connect_time = took;
        let kept = local(&first);
        pool.put_back(&endpoint, first);
        let next = pool.connection(&endpoint, begun + left).await.expect("room");
        assert_eq!(local(&next) == kept, waits, "{has_handshake_price} {took:?} {left:?}");
        assert_eq!(Instant::now(), begun, "its request begins at once, and only ends later");
        assert_eq!(next.rested_at > begun, waits);
        // It is taken once only, and one that has rested comes first.
        let other = pool.connection(&endpoint, begun + LONG).await.expect("room");
        assert!(local(&other) != local(&next));
        pool.put_back(&endpoint, other);
        tokio::time::advance(REST_TIME).await;
        pool.put_back(&endpoint, next);
        let rested = pool.connection(&endpoint, Instant::now() + LONG).await.expect("room");
        assert!(rested.rested_at <= Instant::now(), "{has_handshake_price} {took:?} {left:?}");
    }
}
