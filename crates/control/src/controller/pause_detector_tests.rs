//! Pauses of this process and the time for which its contact is in doubt.

use super::pause_detector::PauseDetector;
use rstest::rstest;
use std::time::Duration;

const fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Looks at these moments, from a start at 0.
fn observed_at(moments: impl IntoIterator<Item = u64>) -> PauseDetector {
    let mut detector = PauseDetector::default();
    moments.into_iter().for_each(|moment| detector.observe(at(moment)));
    detector
}

#[test]
fn a_process_that_starts_is_not_in_doubt() {
    assert!(!PauseDetector::default().is_contact_in_doubt(Duration::ZERO));
}

#[test]
fn gaps_that_are_no_pauses_leave_no_doubt_however_many() {
    let mut detector = PauseDetector::default();
    for now in (0..20_000).step_by(199) {
        detector.observe(at(now));
        assert!(!detector.is_contact_in_doubt(at(now)), "{now}");
    }
}

#[rstest]
#[case::one_that_is_short(vec![699], false)]
#[case::one(vec![700], true)]
#[case::a_long_one(vec![20_000], true)]
#[case::some_that_are_short(vec![349, 698, 897, 1_096], false)]
#[case::several_in_sum(vec![300, 320, 620, 640, 940], true)]
#[case::two_that_lie_apart([600].into_iter().chain((750..=2_600).step_by(150)).chain([3_000]).collect(), false)]
fn pauses(#[case] moments: Vec<u64>, #[case] in_doubt: bool) {
    let last = moments.last().copied().unwrap_or_default();
    assert_eq!(observed_at(moments).is_contact_in_doubt(at(last)), in_doubt);
}

#[test]
fn contact_is_in_doubt_for_a_second_after_the_pause() {
    let detector = observed_at([100, 20_100, 20_120]);
    assert!(detector.is_contact_in_doubt(at(20_100)) && detector.is_contact_in_doubt(at(21_099)));
    assert!(!detector.is_contact_in_doubt(at(21_100)));
}

#[test]
fn a_second_pause_begins_the_doubt_anew() {
    let detector = observed_at([700, 1_600]);
    assert!(detector.is_contact_in_doubt(at(2_599)) && !detector.is_contact_in_doubt(at(2_600)));
}

#[test]
fn a_clock_that_is_read_out_of_order_is_no_pause() {
    let detector = observed_at([150, 100, 300, 450, 400, 600]);
    assert!(!detector.is_contact_in_doubt(at(600)));
}
