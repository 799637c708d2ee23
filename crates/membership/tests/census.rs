//! How many nodes live.

use lugwharf_membership::{Census, CensusSettings, MAX_NODES, MAX_PEERS};
use std::net::SocketAddr;
use std::time::Duration;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn census() -> Census {
    Census::new(CensusSettings::default(), Duration::ZERO)
}

fn peer(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_700))
}

fn beat(census: &mut Census, nodes: std::ops::Range<u32>, now: Duration) {
    nodes.for_each(|node| {
        census.record_heartbeat(&format!("n{node}"), 1, now);
    });
}

#[test]
fn counts_nodes_heard_within_the_timeout() {
    let mut census = census();
    beat(&mut census, 0..5, seconds(0.0));
    beat(&mut census, 0..2, seconds(2.0));
    assert_eq!(census.live_count(seconds(3.0)), 5);
    assert_eq!(census.live_count(seconds(3.1)), 2);
    census.forget("n0");
    assert_eq!(census.live_count(seconds(3.1)), 1);
}

#[test]
fn tells_new_starts_apart() {
    let mut census = census();
    assert!(census.record_heartbeat("a", 5, seconds(0.0)));
    assert!(!census.record_heartbeat("a", 5, seconds(0.1)));
    assert!(census.record_heartbeat("a", 2, seconds(0.2)));
    assert_eq!(census.live_count(seconds(0.2)), 1);
}

#[test]
fn knows_no_total_before_each_node_could_beat() {
    let mut census = census();
    beat(&mut census, 0..1, seconds(0.5));
    assert_eq!(census.total(seconds(0.5)), 0);
    beat(&mut census, 0..40, seconds(2.9));
    assert_eq!(census.total(seconds(3.0)), 40);
}

#[test]
fn grows_at_once_and_shrinks_late() {
    let mut census = census();
    beat(&mut census, 0..10, seconds(4.0));
    assert_eq!(census.total(seconds(4.0)), 10);
    beat(&mut census, 0..30, seconds(5.0));
    assert_eq!(census.total(seconds(5.0)), 30);
    for tick in 6..=15 {
        beat(&mut census, 0..10, seconds(f64::from(tick)));
        assert_eq!(census.total(seconds(f64::from(tick))), 30, "at {tick} s");
    }
    for tick in 16..=20 {
        beat(&mut census, 0..10, seconds(f64::from(tick)));
        census.total(seconds(f64::from(tick)));
    }
    assert_eq!(census.total(seconds(20.0)), 10);
}

#[test]
fn adds_the_counts_of_other_monitors_while_they_are_fresh() {
    let mut census = census();
    beat(&mut census, 0..10, seconds(4.0));
    census.record_peer_count(peer(1), 7, seconds(4.0));
    census.record_peer_count(peer(2), 5, seconds(4.0));
    census.record_peer_count(peer(2), 6, seconds(4.5));
    assert_eq!(census.total(seconds(4.5)), 23);
    for tick in 5..=30 {
        beat(&mut census, 0..10, seconds(f64::from(tick)));
        census.record_peer_count(peer(1), 7, seconds(f64::from(tick)));
        census.total(seconds(f64::from(tick)));
    }
    assert_eq!(census.total(seconds(30.0)), 17);
}

#[test]
fn counts_a_node_that_moved_twice_for_a_timeout_at_most() {
    let (mut old, mut new) = (census(), census());
    beat(&mut old, 0..10, seconds(4.0));
    for tick in 5..=9 {
        beat(&mut new, 0..10, seconds(f64::from(tick)));
    }
    assert_eq!(old.live_count(seconds(7.0)) + new.live_count(seconds(7.0)), 20);
    assert_eq!(old.live_count(seconds(7.1)) + new.live_count(seconds(7.1)), 10);
}

#[test]
fn takes_up_a_bounded_number_of_names() {
    let mut census = census();
    beat(&mut census, 0..MAX_NODES as u32 + 10, seconds(0.0));
    assert_eq!(census.live_count(seconds(0.0)), MAX_NODES as u32);
    assert!(census.record_heartbeat("late", 1, seconds(4.0)));
    assert_eq!(census.live_count(seconds(4.0)), 1);
}

#[test]
fn takes_the_counts_of_a_bounded_number_of_monitors() {
    let mut census = census();
    (0..MAX_PEERS as u8 + 1).for_each(|host| census.record_peer_count(peer(host), 1, seconds(3.0)));
    census.record_peer_count(peer(0), 2, seconds(3.0));
    assert_eq!(census.total(seconds(3.0)), MAX_PEERS as u32 + 1);
}

#[test]
fn shrinks_also_where_nobody_asked_at_the_end_of_the_hold() {
    let mut census = census();
    beat(&mut census, 0..30, seconds(4.0));
    assert_eq!(census.total(seconds(4.0)), 30);
    beat(&mut census, 0..10, seconds(13.9));
    assert_eq!(census.total(seconds(13.9)), 30);
    beat(&mut census, 0..10, seconds(14.0));
    assert_eq!(census.total(seconds(14.0)), 30, "as long as the hold");
    beat(&mut census, 0..10, seconds(14.6));
    assert_eq!(census.total(seconds(14.6)), 10);
}
