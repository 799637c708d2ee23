//! Which connections rest, and which are given out.

use crate::outbound::connection::Connection;
use crate::outbound::fixtures::{connected, entry, key, list, listener, state};
use crate::state::ProxyState;
use rstest::rstest;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

async fn world() -> (Rc<ProxyState>, TcpListener) {
    let listener = listener().await;
    (state(listener.local_addr().expect("an address")), listener)
}

async fn resting(state: &ProxyState, listener: &TcpListener) -> (Connection, TcpStream) {
    let (connection, peer) = connected(state, listener).await;
    (connection.into_idle().expect("clean"), peer)
}

#[tokio::test]
async fn the_one_used_last_that_may_be_used_comes_first() {
    let (state, listener) = world().await;
    let (mut ids, mut peers) = (Vec::new(), Vec::new());
    for _ in 0..3 {
        let (connection, peer) = resting(&state, &listener).await;
        ids.push(connection.id());
        state.pool.checkin(key(&state), connection);
        peers.push(peer);
    }
    assert!(ids[0] != ids[1] && ids[1] != ids[2]);
    let accepted = state.pool.checkout(key(&state), true, &[ids[2]]).expect("one");
    assert_eq!(accepted.id(), ids[1]);
    // Those that were passed over are still there.
    let accepted = state.pool.checkout(key(&state), true, &[]).expect("one");
    assert_eq!(accepted.id(), ids[2]);
    assert!(state.pool.checkout(key(&state), true, &ids).is_none());
}

#[rstest]
#[case::surplus(false)]
#[case::ended(true)]
#[tokio::test]
async fn one_on_which_something_has_come_is_not_given_out(#[case] ends: bool) {
    let (state, listener) = world().await;
    let (connection, mut peer) = resting(&state, &listener).await;
    state.pool.checkin(key(&state), connection);
    if ends {
        drop(peer);
    } else {
        peer.write_all(b"surplus").await.expect("said");
    }
    assert!(state.pool.checkout(key(&state), true, &[]).is_none());
}

#[tokio::test]
async fn one_that_must_close_does_not_rest() {
    let (state, listener) = world().await;
    let (mut connection, _peer) = connected(&state, &listener).await;
    connection.must_close = true;
    assert!(connection.into_idle().is_none());
}

/// Ages in ms at which a connection is not given out, by what its server told and whether the request may be repeated.
#[rstest]
#[case::safe(true, None, 3_999, true)]
#[case::safe_old(true, None, 4_000, false)]
#[case::not_safe(false, None, 2_499, true)]
#[case::not_safe_old(false, None, 2_500, false)]
#[case::before_its_time(true, Some(1_000), 599, true)]
#[case::near_its_time(true, Some(1_000), 600, false)]
#[tokio::test]
async fn the_age_of_one_that_is_given_out(
    #[case] idempotent: bool, #[case] closes: Option<u64>, #[case] age: u64, #[case] is_given: bool,
) {
    let (state, listener) = world().await;
    tokio::time::pause();
    let (mut connection, _peer) = resting(&state, &listener).await;
    connection.server_closes_at = closes.map(|closes| Instant::now() + Duration::from_millis(closes));
    state.pool.checkin(key(&state), connection);
    tokio::time::advance(Duration::from_millis(age)).await;
    assert_eq!(state.pool.checkout(key(&state), idempotent, &[]).is_some(), is_given);
}

#[tokio::test]
async fn old_ones_are_swept_away() {
    let (state, listener) = world().await;
    tokio::time::pause();
    let (connection, peer) = resting(&state, &listener).await;
    state.pool.checkin(key(&state), connection);
    state.pool.close_expired();
    assert!(peer.try_read(&mut [0]).is_err(), "it is open");
    tokio::time::advance(Duration::from_secs(4)).await;
    state.pool.close_expired();
    peer.readable().await.expect("its end");
    assert_eq!(peer.try_read(&mut [0]).expect("its end"), 0);
}

/// Nothing at its address inherits a connection of a server that is gone, also one that comes back late.
#[tokio::test]
async fn those_to_a_server_that_is_gone_are_closed() {
    let (state, listener) = world().await;
    let gone = key(&state);
    let (connection, peer) = resting(&state, &listener).await;
    let (late, _late_peer) = resting(&state, &listener).await;
    state.pool.checkin(gone, connection);
    list(&state, 2, Vec::new());
    peer.readable().await.expect("its end");
    assert_eq!(peer.try_read(&mut [0]).expect("its end"), 0);
    state.pool.checkin(gone, late);
    list(&state, 3, vec![entry(listener.local_addr().expect("an address"))]);
    assert_ne!(key(&state), gone, "the same id in another life of the list");
    assert!(state.pool.checkout(gone, true, &[]).is_none());
    assert!(state.pool.checkout(key(&state), true, &[]).is_none());
}

#[tokio::test]
async fn few_rest_to_one_server() {
    let (state, listener) = world().await;
    let mut peers = Vec::new();
    for _ in 0..17 {
        let (connection, peer) = resting(&state, &listener).await;
        state.pool.checkin(key(&state), connection);
        peers.push(peer);
    }
    let accepted = (0..17).filter_map(|_| state.pool.checkout(key(&state), true, &[])).count();
    assert_eq!(accepted, 16);
}

/// A server's connections are state by all proxies, with a floor.
#[rstest]
#[case::share(Some(100), 10, 10)]
#[case::floor(Some(30), 10, 6)]
#[case::one_proxy(Some(12), 0, 12)]
#[tokio::test]
async fn open_connections_are_bounded(
    #[case] most: Option<u32>, #[case] proxies: u32, #[case] expected: usize,
) {
    let (state, _listener) = world().await;
    let mut open = Vec::new();
    while let Some(count) = state.pool.try_reserve(key(&state), most, proxies) {
        open.push(count);
        assert!(open.len() <= expected);
    }
    assert_eq!(open.len(), expected);
    open.pop();
    assert!(state.pool.try_reserve(key(&state), most, proxies).is_some(), "one was closed");
}

#[tokio::test]
async fn without_a_bound_there_is_room() {
    let (state, _listener) = world().await;
    let open: Vec<_> = (0..500).filter_map(|_| state.pool.try_reserve(key(&state), None, 300)).collect();
    assert_eq!(open.len(), 500);
}
