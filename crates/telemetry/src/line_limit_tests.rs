//! Lines through the limit at chosen times.

use super::{LineLimit, Permit};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_burst_goes_out_and_the_rest_is_counted() {
    let mut limit = LineLimit::new(SECOND, 3);
    let now = Duration::from_secs(100);
    let permits: Vec<_> = (0..5).map(|_| limit.ask(now)).collect();
    let whole = Some(Permit { omitted: 0 });
    assert_eq!(permits, [whole, whole, whole, None, None]);
    assert_eq!(limit.omitted(), 2);
}

#[test]
fn the_next_line_tells_how_many_were_left_out() {
    let mut limit = LineLimit::new(SECOND, 1);
    assert!(limit.ask(SECOND).is_some());
    assert!(limit.ask(SECOND).is_none());
    assert!(limit.ask(SECOND * 2 - Duration::from_millis(1)).is_none());
    assert_eq!(limit.ask(SECOND * 2), Some(Permit { omitted: 2 }));
    assert_eq!(limit.ask(SECOND * 3), Some(Permit { omitted: 0 }));
}

#[test]
fn a_quiet_time_allows_no_more_than_one_burst() {
    let mut limit = LineLimit::new(SECOND, 2);
    let later = SECOND * 1_000;
    let written = (0..10).filter(|_| limit.ask(later).is_some()).count();
    assert_eq!(written, 2);
}
