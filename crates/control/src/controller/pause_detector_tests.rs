//! Tests of which pauses make contact uncertain, and for how long.

use super::pause_detector::PauseDetector;
use rstest::rstest;
use std::time::Duration;

const fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A detector that observed the clock at these times, in ms from the start.
fn observed_at(times: impl IntoIterator<Item = u64>) -> PauseDetector {
    let mut detector = PauseDetector::default();
    times.into_iter().for_each(|time| detector.observe(at(time)));
    detector
}

#[test]
fn contact_is_not_uncertain_at_the_start() {
    assert!(!PauseDetector::default().is_contact_uncertain(Duration::ZERO));
}

#[test]
fn gaps_below_the_minimum_never_make_contact_uncertain() {
    let mut detector = PauseDetector::default();
    for now in (0..20_000).step_by(199) {
        detector.observe(at(now));
        assert!(!detector.is_contact_uncertain(at(now)), "{now}");
    }
}

#[rstest]
#[case::one_below_the_total(vec![699], false)]
#[case::one(vec![700], true)]
#[case::long_one(vec![20_000], true)]
#[case::several_below_the_total(vec![349, 698, 897, 1_096], false)]
#[case::several_that_reach_the_total(vec![300, 320, 620, 640, 940], true)]
#[case::two_in_different_windows([600].into_iter().chain((750..=2_600).step_by(150)).chain([3_000]).collect(), false)]
fn total_of_recent_pauses_decides(#[case] times: Vec<u64>, #[case] is_uncertain: bool) {
    let last = times.last().copied().unwrap_or_default();
    assert_eq!(observed_at(times).is_contact_uncertain(at(last)), is_uncertain);
}

#[test]
fn contact_stays_uncertain_for_a_second_after_the_pause() {
    let detector = observed_at([100, 20_100, 20_120]);
    assert!(detector.is_contact_uncertain(at(20_100)) && detector.is_contact_uncertain(at(21_099)));
    assert!(!detector.is_contact_uncertain(at(21_100)));
}

#[test]
fn second_pause_extends_the_uncertainty() {
    let detector = observed_at([700, 1_600]);
    assert!(detector.is_contact_uncertain(at(2_599)) && !detector.is_contact_uncertain(at(2_600)));
}

#[test]
fn clock_read_out_of_order_is_no_pause() {
    let detector = observed_at([150, 100, 300, 450, 400, 600]);
    assert!(!detector.is_contact_uncertain(at(600)));
}
