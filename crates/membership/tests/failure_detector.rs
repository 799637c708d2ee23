//! Tests of which peers the failure detector suspects, and when.

use lugwharf_membership::{FailureDetector, FailureDetectorSettings};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const SETTINGS: FailureDetectorSettings = FailureDetectorSettings {
    min_timeout: Duration::from_millis(300),
    max_timeout: Duration::from_millis(1_500),
    local_pause_threshold: Duration::from_millis(200),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_700))
}

/// Returns a detector of a peer that has sent heartbeats at these intervals in turn, and the time of the last
/// heartbeat.
fn detector_after(intervals: &[u64]) -> (FailureDetector, Duration) {
    let mut detector = FailureDetector::new(SETTINGS);
    let mut now = ms(1_000);
    detector.record_heartbeat(peer(), now);
    for interval in intervals.iter().cycle().take(40) {
        now += ms(*interval);
        detector.record_heartbeat(peer(), now);
    }
    (detector, now)
}

#[rstest]
#[case::fast_and_regular(&[100], 300)]
#[case::slow_and_regular(&[200], 500)]
#[case::irregular(&[50, 350], 800)]
#[case::never_above_the_maximum(&[900], 1_500)]
fn peer_is_suspected_after_a_timeout_that_fits_its_heartbeats(
    #[case] intervals: &[u64], #[case] timeout: u64,
) {
    let (detector, last) = detector_after(intervals);
    assert!(!detector.is_suspected(peer(), last + ms(timeout) - ms(1)));
    assert!(detector.is_suspected(peer(), last + ms(timeout) + ms(1)));
}

#[test]
fn watched_peer_without_any_heartbeat_is_suspected() {
    let mut detector = FailureDetector::new(SETTINGS);
    assert!(!detector.is_suspected(peer(), ms(9_000)));
    detector.watch(peer(), ms(1_000));
    detector.watch(peer(), ms(2_000));
    assert!(!detector.is_suspected(peer(), ms(2_500)));
    assert!(detector.is_suspected(peer(), ms(2_501)));
    detector.retain(&[]);
    assert!(!detector.is_suspected(peer(), ms(9_000)));
}

#[test]
fn local_pause_does_not_count_against_peers() {
    let (mut detector, last) = detector_after(&[100]);
    detector.tick(last);
    let resumed = last + ms(4_000);
    detector.tick(resumed);
    assert!(!detector.is_suspected(peer(), resumed));
    assert!(detector.is_suspected(peer(), resumed + ms(301)));
}

#[test]
fn number_of_watched_peers_is_bounded() {
    let mut detector = FailureDetector::new(SETTINGS);
    let peers: Vec<_> = (0..=64).map(|host| SocketAddr::from(([10, 0, 1, host], 7_700))).collect();
    peers.iter().for_each(|peer| detector.watch(*peer, ms(0)));
    let suspected = peers.iter().filter(|peer| detector.is_suspected(**peer, ms(9_000))).count();
    assert_eq!(suspected, 64);
}

#[rstest]
#[case::too_few_intervals(3, false)]
#[case::enough_intervals(4, true)]
fn timeout_adapts_once_there_are_enough_heartbeats(#[case] intervals: u64, #[case] suspected: bool) {
    let mut detector = FailureDetector::new(SETTINGS);
    (0..=intervals).for_each(|heartbeat| detector.record_heartbeat(peer(), ms(100 * heartbeat)));
    assert_eq!(detector.is_suspected(peer(), ms(100 * intervals + 301)), suspected);
}
