//! The idle deadline of a connection across changes of the timeout.

use super::IdleDeadline;
use lugwharf_config::Limits;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

/// Each change is the time since the connection became idle, in seconds, and the timeout from then on.
#[rstest]
#[case::unchanged(10, &[], 15)]
#[case::same_timeout(10, &[(4, 10), (14, 10)], 15)]
#[case::raised(10, &[(4, 60)], 65)]
#[case::lowered_at_once(60, &[(1, 10)], 15)]
#[case::lowered_after_the_new_timeout(60, &[(30, 10)], 35)]
#[case::lowered_just_before_the_end(60, &[(63, 10)], 65)]
#[case::lowered_and_raised(60, &[(30, 10), (32, 60)], 65)]
#[case::lowered_repeatedly(60, &[(30, 10), (33, 9), (34, 8)], 35)]
#[case::below_the_minimum(0, &[], 7)]
fn deadline_follows_the_timeout(
    #[case] timeout_s: u64, #[case] changes: &[(u64, u64)], #[case] expected_s: u64,
) {
    let limits = |seconds| Limits { idle_timeout_ms: seconds * 1_000, ..Limits::default() };
    let idle_since = Instant::now();
    let after = |seconds| idle_since + Duration::from_secs(seconds);
    let mut deadline = IdleDeadline::new(idle_since, &limits(timeout_s));
    for (at, timeout_s) in changes {
        deadline.set_limits(&limits(*timeout_s), after(*at));
    }
    assert_eq!(deadline.at(), after(expected_s));
}
