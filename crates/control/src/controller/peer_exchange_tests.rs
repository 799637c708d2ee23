//! Tests of when a report is due.

use super::peer_exchange::ReportSchedule;
use std::time::Duration;

#[test]
fn first_report_is_due_at_once_and_the_next_ones_every_500_ms() {
    let ms = Duration::from_millis;
    let mut schedule = ReportSchedule::default();
    assert!(schedule.is_due(ms(0)));
    schedule.record(ms(100));
    assert!(!schedule.is_due(ms(599)) && schedule.is_due(ms(600)));
    schedule.record(ms(600));
    assert!(!schedule.is_due(ms(1_099)) && schedule.is_due(ms(1_100)));
}
