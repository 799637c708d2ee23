//! Tests of the log rate limiter at chosen times.

use super::{LogPermit, LogRateLimiter};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn admits_a_burst_and_counts_the_other_lines() {
    let mut limiter = LogRateLimiter::new(SECOND, 3);
    let now = Duration::from_secs(100);
    let permits: Vec<_> = (0..5).map(|_| limiter.try_acquire(now)).collect();
    let admitted = Some(LogPermit { omitted: 0 });
    assert_eq!(permits, [admitted, admitted, admitted, None, None]);
    assert_eq!(limiter.omitted(), 2);
}

#[test]
fn the_next_permit_carries_the_count_of_suppressed_lines() {
    let mut limiter = LogRateLimiter::new(SECOND, 1);
    assert!(limiter.try_acquire(SECOND).is_some());
    assert!(limiter.try_acquire(SECOND).is_none());
    assert!(limiter.try_acquire(SECOND * 2 - Duration::from_millis(1)).is_none());
    assert_eq!(limiter.try_acquire(SECOND * 2), Some(LogPermit { omitted: 2 }));
    assert_eq!(limiter.try_acquire(SECOND * 3), Some(LogPermit { omitted: 0 }));
}

#[test]
fn a_long_quiet_time_admits_no_more_than_one_burst() {
    let mut limiter = LogRateLimiter::new(SECOND, 2);
    let later = SECOND * 1_000;
    let admitted = (0..10).filter(|_| limiter.try_acquire(later).is_some()).count();
    assert_eq!(admitted, 2);
}
