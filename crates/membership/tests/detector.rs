//! Whom to suspect.

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

/// A peer that has beaten with these pauses in turn, and the time of its last beat.
fn beaten(pauses: &[u64]) -> (FailureDetector, Duration) {
    let mut detector = FailureDetector::new(SETTINGS);
    let mut now = ms(1_000);
    detector.record_heartbeat(peer(), now);
    for pause in pauses.iter().cycle().take(40) {
        now += ms(*pause);
        detector.record_heartbeat(peer(), now);
    }
    (detector, now)
}

#[rstest]
#[case::fast_and_regular(&[100], 300)]
#[case::slow_and_regular(&[200], 500)]
#[case::irregular(&[50, 350], 800)]
#[case::never_beyond_the_longest(&[900], 1_500)]
fn suspects_after_a_silence_that_fits_the_beats(#[case] pauses: &[u64], #[case] silence: u64) {
    let (detector, last) = beaten(pauses);
    assert!(!detector.is_suspected(peer(), last + ms(silence) - ms(1)));
    assert!(detector.is_suspected(peer(), last + ms(silence) + ms(1)));
}

#[test]
fn suspects_a_watched_peer_that_never_beats() {
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
fn blames_no_peer_for_its_own_pause() {
    let (mut detector, last) = beaten(&[100]);
    detector.tick(last);
    let thawed = last + ms(4_000);
    detector.tick(thawed);
    assert!(!detector.is_suspected(peer(), thawed));
    assert!(detector.is_suspected(peer(), thawed + ms(301)));
}

#[test]
fn watches_a_bounded_number_of_peers() {
    let mut detector = FailureDetector::new(SETTINGS);
    let peers: Vec<_> = (0..=64).map(|host| SocketAddr::from(([10, 0, 1, host], 7_700))).collect();
    peers.iter().for_each(|peer| detector.watch(*peer, ms(0)));
    let suspected = peers.iter().filter(|peer| detector.is_suspected(**peer, ms(9_000))).count();
    assert_eq!(suspected, 64);
}

#[rstest]
#[case::too_few_to_tell(3, false)]
#[case::enough(4, true)]
fn judges_by_the_beats_once_there_are_some(#[case] intervals: u64, #[case] suspected: bool) {
    let mut detector = FailureDetector::new(SETTINGS);
    (0..=intervals).for_each(|beat| detector.record_heartbeat(peer(), ms(100 * beat)));
    assert_eq!(detector.is_suspected(peer(), ms(100 * intervals + 301)), suspected);
}
