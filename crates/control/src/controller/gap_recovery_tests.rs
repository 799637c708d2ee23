//! Tests of what a process reports after a gap in the server list.

use super::gap_recovery::GapRecovery;
use lugwharf_protocol::TablePosition;
use std::time::Duration;

const HAVE: TablePosition = TablePosition { epoch: 7, sequence: 4 };

#[test]
fn missing_changes_are_requested_by_position_at_most_every_50_ms() {
    let ms = Duration::from_millis;
    let mut recovery = GapRecovery::default();
    assert!(recovery.record_gap(ms(10), Some(HAVE)));
    assert!(!recovery.record_gap(ms(59), Some(HAVE)));
    assert!(recovery.record_gap(ms(60), Some(HAVE)));
    assert_eq!(recovery.reported_position(HAVE), HAVE);
}

#[test]
fn full_list_is_requested_after_a_gap_in_deltas_of_an_earlier_version() {
    let mut recovery = GapRecovery::default();
    recovery.record_gap(Duration::ZERO, None);
    recovery.record_gap(Duration::ZERO, Some(HAVE));
    assert_eq!(recovery.reported_position(HAVE), TablePosition::default());
    recovery.record_advance();
    assert_eq!(recovery.reported_position(HAVE), HAVE);
}
