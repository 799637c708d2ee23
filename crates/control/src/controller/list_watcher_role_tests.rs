//! Tests of when tasks that act under the lease are woken, and of the holder in the status.

use super::list_watcher_role::ListWatcherRole;
use crate::lease::HeldLease;
use lugwharf_election::{FencingToken, LeaseHolder};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

fn holder(host: u8, token: u64) -> Option<LeaseHolder> {
    Some(LeaseHolder { address: SocketAddr::from(([10, 0, 0, host], 7_700)), token: FencingToken(token) })
}

#[test]
fn tasks_are_woken_by_a_new_lease_and_its_loss_but_not_by_a_renewal() {
    let (role, mut lease) = ListWatcherRole::new();
    let now = Instant::now();
    let first = HeldLease { token: FencingToken(7), expires_at: now };
    let renewed = HeldLease { token: FencingToken(7), expires_at: now + Duration::from_secs(1) };
    let next = HeldLease { token: FencingToken(8), ..renewed };
    let mut is_woken_by = |published| {
        role.publish(published);
        let is_woken = lease.has_changed().expect("the sender of the lease was dropped");
        assert_eq!(*lease.borrow_and_update(), published);
        is_woken
    };
    assert!(!is_woken_by(None));
    assert!(is_woken_by(Some(first)));
    assert!(!is_woken_by(Some(renewed)));
    assert!(is_woken_by(Some(next)));
    assert!(is_woken_by(None));
}

#[test]
fn status_reports_how_long_a_holder_has_been_known_with_its_token() {
    let (mut role, _lease) = ListWatcherRole::new();
    let ms = Duration::from_millis;
    role.record_holder(ms(100), holder(1, 7));
    role.record_holder(ms(300), holder(1, 7));
    let status = role.status(ms(500), holder(1, 7), false);
    assert_eq!((status.token, status.held_ms, status.held_here), (Some(7), Some(400), false));
    role.record_holder(ms(600), holder(1, 8));
    let status = role.status(ms(700), holder(1, 8), true);
    assert_eq!((status.token, status.held_ms, status.held_here), (Some(8), Some(100), true));
}

#[test]
fn status_without_a_known_holder_contains_only_the_role() {
    let (role, _lease) = ListWatcherRole::new();
    let status = role.status(Duration::from_secs(9), None, false);
    assert_eq!((status.role, status.holder), ("list_reader", None));
    assert_eq!((status.token, status.held_ms, status.held_here), (None, None, false));
}
