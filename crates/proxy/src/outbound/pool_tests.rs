//! Which connections the pool keeps and hands out, and how many may be open.

use crate::outbound::connection::Connection;
use crate::outbound::fixtures::{
    apply_server_list, open_connection, server_and_state, server_entry, server_key,
};
use crate::state::ProxyState;
use rstest::rstest;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

async fn open_idle_connection(state: &ProxyState, listener: &TcpListener) -> (Connection, TcpStream) {
    let (connection, peer) = open_connection(state, listener).await;
    (connection.into_idle().expect("the connection is reusable"), peer)
}

#[tokio::test]
async fn checkout_takes_the_most_recently_used_connection() {
    let (state, listener) = server_and_state().await;
    let (mut ids, mut peers) = (Vec::new(), Vec::new());
    for _ in 0..3 {
        let (connection, peer) = open_idle_connection(&state, &listener).await;
        ids.push(connection.id());
        state.pool.checkin(server_key(&state), connection);
        peers.push(peer);
    }
    assert!(ids[0] != ids[1] && ids[1] != ids[2]);
    let taken =
        state.pool.checkout(server_key(&state), true, &[ids[2]]).expect("the pool has a usable connection");
    assert_eq!(taken.id(), ids[1]);
    // Excluded connections stay in the pool.
    let taken = state.pool.checkout(server_key(&state), true, &[]).expect("the pool has a usable connection");
    assert_eq!(taken.id(), ids[2]);
    assert!(state.pool.checkout(server_key(&state), true, &ids).is_none());
}

#[rstest]
#[case::unexpected_bytes(false)]
#[case::closed(true)]
#[tokio::test]
async fn idle_connection_with_pending_input_is_not_checked_out(#[case] closes: bool) {
    let (state, listener) = server_and_state().await;
    let (connection, mut peer) = open_idle_connection(&state, &listener).await;
    state.pool.checkin(server_key(&state), connection);
    if closes {
        drop(peer);
    } else {
        peer.write_all(b"surplus").await.expect("the bytes are written");
    }
    assert!(state.pool.checkout(server_key(&state), true, &[]).is_none());
}

#[tokio::test]
async fn connection_that_must_close_does_not_become_idle() {
    let (state, listener) = server_and_state().await;
    let (mut connection, _peer) = open_connection(&state, &listener).await;
    connection.must_close = true;
    assert!(connection.into_idle().is_none());
}

/// The idle time in milliseconds from which a connection is no longer checked out, for idempotent and other
/// requests, and depending on the `Keep-Alive` timeout of the server.
#[rstest]
#[case::idempotent(true, None, 3_999, true)]
#[case::idempotent_expired(true, None, 4_000, false)]
#[case::not_idempotent(false, None, 2_499, true)]
#[case::not_idempotent_expired(false, None, 2_500, false)]
#[case::before_the_server_closes(true, Some(1_000), 599, true)]
#[case::near_the_server_close(true, Some(1_000), 600, false)]
#[tokio::test]
async fn expired_connections_are_not_checked_out(
    #[case] is_idempotent: bool, #[case] closes_ms: Option<u64>, #[case] idle_ms: u64,
    #[case] is_checked_out: bool,
) {
    let (state, listener) = server_and_state().await;
    tokio::time::pause();
    let (mut connection, _peer) = open_idle_connection(&state, &listener).await;
    connection.server_closes_at = closes_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
    state.pool.checkin(server_key(&state), connection);
    tokio::time::advance(Duration::from_millis(idle_ms)).await;
    assert_eq!(state.pool.checkout(server_key(&state), is_idempotent, &[]).is_some(), is_checked_out);
}

#[tokio::test]
async fn expired_connections_are_closed() {
    let (state, listener) = server_and_state().await;
    tokio::time::pause();
    let (connection, peer) = open_idle_connection(&state, &listener).await;
    state.pool.checkin(server_key(&state), connection);
    state.pool.close_expired();
    assert!(peer.try_read(&mut [0]).is_err(), "the connection is open");
    tokio::time::advance(Duration::from_secs(4)).await;
    state.pool.close_expired();
    peer.readable().await.expect("the end of the connection");
    assert_eq!(peer.try_read(&mut [0]).expect("the end of the connection"), 0);
}

/// A server that is listed again at the same address does not inherit connections, not even one that is
/// returned to the pool after the new listing.
#[tokio::test]
async fn connections_to_a_removed_server_are_closed() {
    let (state, listener) = server_and_state().await;
    let removed = server_key(&state);
    let (connection, peer) = open_idle_connection(&state, &listener).await;
    let (late, _late_peer) = open_idle_connection(&state, &listener).await;
    state.pool.checkin(removed, connection);
    apply_server_list(&state, 2, Vec::new());
    peer.readable().await.expect("the end of the connection");
    assert_eq!(peer.try_read(&mut [0]).expect("the end of the connection"), 0);
    state.pool.checkin(removed, late);
    apply_server_list(
        &state,
        3,
        vec![server_entry(listener.local_addr().expect("the listener has a local address"))],
    );
    assert_ne!(server_key(&state), removed, "the same id, listed again");
    assert!(state.pool.checkout(removed, true, &[]).is_none());
    assert!(state.pool.checkout(server_key(&state), true, &[]).is_none());
}

#[tokio::test]
async fn idle_connections_to_one_server_are_limited() {
    let (state, listener) = server_and_state().await;
    let mut peers = Vec::new();
    for _ in 0..17 {
        let (connection, peer) = open_idle_connection(&state, &listener).await;
        state.pool.checkin(server_key(&state), connection);
        peers.push(peer);
    }
    let taken = (0..17).filter_map(|_| state.pool.checkout(server_key(&state), true, &[])).count();
    assert_eq!(taken, 16);
}

/// The connections that a server accepts are divided among all proxies, with a minimum for each proxy.
#[rstest]
#[case::share(Some(100), 10, 10)]
#[case::minimum(Some(30), 10, 6)]
#[case::one_proxy(Some(12), 0, 12)]
#[tokio::test]
async fn open_connections_are_limited(
    #[case] max: Option<u32>, #[case] proxies: u32, #[case] expected: usize,
) {
    let (state, _listener) = server_and_state().await;
    let mut open = Vec::new();
    while let Some(permit) = state.pool.try_reserve(server_key(&state), max, proxies) {
        open.push(permit);
        assert!(open.len() <= expected);
    }
    assert_eq!(open.len(), expected);
    open.pop();
    assert!(state.pool.try_reserve(server_key(&state), max, proxies).is_some(), "one was closed");
}

#[tokio::test]
async fn open_connections_are_unlimited_without_a_limit() {
    let (state, _listener) = server_and_state().await;
    let open: Vec<_> =
        (0..500).filter_map(|_| state.pool.try_reserve(server_key(&state), None, 300)).collect();
    assert_eq!(open.len(), 500);
}
