//! Tests of the count of live nodes.

use lugwharf_membership::{LiveNodeCounter, LiveNodeCounterSettings, MAX_NODES, MAX_PEERS};
use std::net::SocketAddr;
use std::time::Duration;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn counter() -> LiveNodeCounter {
    LiveNodeCounter::new(LiveNodeCounterSettings::default(), Duration::ZERO)
}

fn peer(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_700))
}

fn send_heartbeats(counter: &mut LiveNodeCounter, nodes: std::ops::Range<u32>, now: Duration) {
    nodes.for_each(|node| {
        counter.record_heartbeat(&format!("n{node}"), 1, now);
    });
}

#[test]
fn nodes_with_a_heartbeat_within_the_timeout_are_counted() {
    let mut counter = counter();
    send_heartbeats(&mut counter, 0..5, seconds(0.0));
    send_heartbeats(&mut counter, 0..2, seconds(2.0));
    assert_eq!(counter.live_count(seconds(3.0)), 5);
    assert_eq!(counter.live_count(seconds(3.1)), 2);
    counter.remove_node("n0");
    assert_eq!(counter.live_count(seconds(3.1)), 1);
}

#[test]
fn new_and_restarted_nodes_are_reported() {
    let mut counter = counter();
    assert!(counter.record_heartbeat("a", 5, seconds(0.0)));
    assert!(!counter.record_heartbeat("a", 5, seconds(0.1)));
    assert!(counter.record_heartbeat("a", 2, seconds(0.2)));
    assert_eq!(counter.live_count(seconds(0.2)), 1);
}

#[test]
fn total_is_unknown_before_each_node_could_send_a_heartbeat() {
    let mut counter = counter();
    send_heartbeats(&mut counter, 0..1, seconds(0.5));
    assert_eq!(counter.total(seconds(0.5)), 0);
    send_heartbeats(&mut counter, 0..40, seconds(2.9));
    assert_eq!(counter.total(seconds(3.0)), 40);
}

#[test]
fn total_increases_at_once_and_decreases_late() {
    let mut counter = counter();
    send_heartbeats(&mut counter, 0..10, seconds(4.0));
    assert_eq!(counter.total(seconds(4.0)), 10);
    send_heartbeats(&mut counter, 0..30, seconds(5.0));
    assert_eq!(counter.total(seconds(5.0)), 30);
    for tick in 6..=15 {
        send_heartbeats(&mut counter, 0..10, seconds(f64::from(tick)));
        assert_eq!(counter.total(seconds(f64::from(tick))), 30, "at {tick} s");
    }
    for tick in 16..=20 {
        send_heartbeats(&mut counter, 0..10, seconds(f64::from(tick)));
        counter.total(seconds(f64::from(tick)));
    }
    assert_eq!(counter.total(seconds(20.0)), 10);
}

#[test]
fn fresh_counts_of_other_monitors_are_added() {
    let mut counter = counter();
    send_heartbeats(&mut counter, 0..10, seconds(4.0));
    counter.record_peer_count(peer(1), 7, seconds(4.0));
    counter.record_peer_count(peer(2), 5, seconds(4.0));
    counter.record_peer_count(peer(2), 6, seconds(4.5));
    assert_eq!(counter.total(seconds(4.5)), 23);
    for tick in 5..=30 {
        send_heartbeats(&mut counter, 0..10, seconds(f64::from(tick)));
        counter.record_peer_count(peer(1), 7, seconds(f64::from(tick)));
        counter.total(seconds(f64::from(tick)));
    }
    assert_eq!(counter.total(seconds(30.0)), 17);
}

#[test]
fn moved_node_is_counted_twice_for_a_timeout_at_most() {
    let (mut old, mut new) = (counter(), counter());
    send_heartbeats(&mut old, 0..10, seconds(4.0));
    for tick in 5..=9 {
        send_heartbeats(&mut new, 0..10, seconds(f64::from(tick)));
    }
    assert_eq!(old.live_count(seconds(7.0)) + new.live_count(seconds(7.0)), 20);
    assert_eq!(old.live_count(seconds(7.1)) + new.live_count(seconds(7.1)), 10);
}

#[test]
fn number_of_counted_nodes_is_bounded() {
    let mut counter = counter();
    send_heartbeats(&mut counter, 0..MAX_NODES as u32 + 10, seconds(0.0));
    assert_eq!(counter.live_count(seconds(0.0)), MAX_NODES as u32);
    assert!(counter.record_heartbeat("late", 1, seconds(4.0)));
    assert_eq!(counter.live_count(seconds(4.0)), 1);
}

#[test]
fn number_of_counted_monitors_is_bounded() {
    let mut counter = counter();
    (0..MAX_PEERS as u8 + 1).for_each(|host| counter.record_peer_count(peer(host), 1, seconds(3.0)));
    counter.record_peer_count(peer(0), 2, seconds(3.0));
    assert_eq!(counter.total(seconds(3.0)), MAX_PEERS as u32 + 1);
}

#[test]
fn total_decreases_also_if_not_read_at_the_end_of_the_delay() {
    let mut counter = counter();
    send_heartbeats(&mut counter, 0..30, seconds(4.0));
    assert_eq!(counter.total(seconds(4.0)), 30);
    send_heartbeats(&mut counter, 0..10, seconds(13.9));
    assert_eq!(counter.total(seconds(13.9)), 30);
    send_heartbeats(&mut counter, 0..10, seconds(14.0));
    assert_eq!(counter.total(seconds(14.0)), 30, "the lower count has not yet lasted for the delay");
    send_heartbeats(&mut counter, 0..10, seconds(14.6));
    assert_eq!(counter.total(seconds(14.6)), 10);
}
