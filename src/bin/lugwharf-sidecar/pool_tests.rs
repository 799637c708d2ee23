//! Tests of idle connections and the limit on all connections.

use super::*;
use std::io;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A time-out that no test reaches.
const LONG: Duration = Duration::from_secs(30);

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let addr = listener.local_addr().expect("cannot read the local address");
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
    let stream = accepted.expect("cannot accept a connection").0;
    let mut bytes = [0; 64];
    let read = loop {
        stream.readable().await.expect("the connection failed");
        match stream.try_read(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            read => break read,
        }
    };
    assert_eq!(read.expect("cannot read from the connection"), 0);
}

#[tokio::test]
async fn a_connect_timeout_ends_as_connect_failed() {
    let socket = TcpSocket::new_v4().expect("cannot create a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("cannot bind the socket");
    let listener = socket.listen(1).expect("cannot listen on the socket");
    let addr = listener.local_addr().expect("cannot read the local address");
    // Nobody accepts: once the backlog is full, no further connection is established.
    let mut backlog = Vec::new();
    let deadline = Duration::from_millis(200);
    while let Ok(Ok(stream)) = tokio::time::timeout(deadline, TcpStream::connect(addr)).await {
        backlog.push(stream);
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
    let first =
        pool.connection(&endpoints[0], deadline).await.expect("cannot get a connection from the pool");
    let _second =
        pool.connection(&endpoints[1], deadline).await.expect("cannot get a connection from the pool");
    assert!(pool.connection(&endpoints[2], deadline).await.is_err(), "both are in use");
    pool.put_back(&endpoints[0], first);
    assert!(pool.connection(&endpoints[2], deadline).await.is_ok(), "the idle connection is closed");
    assert_eq!(pool.open_count.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_closed_endpoint_keeps_no_idle_connection() {
    let (_listener, addr) = listener().await;
    let pool = Pool::new(2, LONG, LONG, true);
    let (old, deadline) = (pool.endpoint(addr), Instant::now() + LONG);
    let (kept, used) = (pool.connection(&old, deadline).await, pool.connection(&old, deadline).await);
    pool.put_back(&old, kept.expect("cannot get a connection from the pool"));
    old.close();
    assert_eq!(pool.open_count.load(Ordering::Relaxed), 1, "the idle connection is closed");
    pool.put_back(&old, used.expect("cannot get a connection from the pool"));
    assert_eq!(pool.open_count.load(Ordering::Relaxed), 0, "the connection that was in use is not put back");
}

#[tokio::test]
async fn a_connection_with_unread_bytes_is_not_reusable() {
    let (listener, addr) = listener().await;
    let pool = Pool::new(2, LONG, LONG, true);
    let endpoint = pool.endpoint(addr);
    let pooled = pool
        .connection(&endpoint, Instant::now() + LONG)
        .await
        .expect("cannot get a connection from the pool");
    let peer = listener.accept().await.expect("cannot accept a connection").0;
    assert!(pooled.connection.is_reusable());
    peer.writable().await.expect("the connection failed");
    assert_eq!(peer.try_write(b"H").expect("cannot write to the connection"), 1);
    // The byte is in the socket, and no other task has run since: the HTTP library cannot have read it.
    assert!(!pooled.connection.is_reusable());
}

/// The local address of a connection, which identifies it.
fn local_address(pooled: &PooledConnection) -> SocketAddr {
    pooled
        .connection
        .socket
        .upgrade()
        .expect("the socket is closed")
        .local_addr()
        .expect("cannot read the local address")
}

#[tokio::test(start_paused = true)]
async fn a_connection_in_cooldown_is_waited_for_where_a_new_one_costs_more() {
    let (_listener, addr) = listener().await;
    let instant = Duration::ZERO;
    // Whether a handshake has a price, the time to connect, the time left, and whether the idle connection is
    // waited for.
    for (has_handshake_price, connect_time, left, waits) in [
        (true, instant, LONG, true),
        (true, instant, COOLDOWN + MIN_TIME_AFTER_COOLDOWN / 2, false),
        (false, instant, LONG, false),
        (false, COOLDOWN * 2, LONG, true),
        (false, COOLDOWN * 2, COOLDOWN + MIN_TIME_AFTER_COOLDOWN / 2, false),
    ] {
        let pool = Pool::new(4, LONG, LONG, has_handshake_price);
        let (endpoint, started_at) = (pool.endpoint(addr), Instant::now());
        let mut first = pool
            .connection(&endpoint, started_at + LONG)
            .await
            .expect("cannot get a connection from the pool");
        first.connect_time = connect_time;
        let kept = local_address(&first);
        pool.put_back(&endpoint, first);
        let next = pool
            .connection(&endpoint, started_at + left)
            .await
            .expect("cannot get a connection from the pool");
        assert_eq!(local_address(&next) == kept, waits, "{has_handshake_price} {connect_time:?} {left:?}");
        assert_eq!(Instant::now(), started_at, "the request starts at once, and only its last byte waits");
        assert_eq!(next.cooldown_ends_at > started_at, waits);
        // The connection is taken only once, and one past its cooldown takes precedence.
        let other = pool
            .connection(&endpoint, started_at + LONG)
            .await
            .expect("cannot get a connection from the pool");
        assert!(local_address(&other) != local_address(&next));
        pool.put_back(&endpoint, other);
        tokio::time::advance(COOLDOWN).await;
        pool.put_back(&endpoint, next);
        let past_cooldown = pool
            .connection(&endpoint, Instant::now() + LONG)
            .await
            .expect("cannot get a connection from the pool");
        assert!(
            past_cooldown.cooldown_ends_at <= Instant::now(),
            "{has_handshake_price} {connect_time:?} {left:?}"
        );
    }
}
