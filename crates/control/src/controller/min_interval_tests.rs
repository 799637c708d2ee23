//! Tests of when an action is due.

use super::min_interval::MinInterval;
use std::time::Duration;

#[test]
fn first_action_is_due_at_once_and_the_next_ones_after_the_interval() {
    let ms = Duration::from_millis;
    let mut schedule = MinInterval::new(ms(500));
    assert!(schedule.is_due(ms(0)));
    schedule.record(ms(100));
    assert!(!schedule.is_due(ms(599)) && schedule.is_due(ms(600)));
    schedule.record(ms(600));
    assert!(!schedule.is_due(ms(1_099)) && schedule.is_due(ms(1_100)));
}
