//! Recovery from a gap in the server list: an incremental delta arrived that does not contain all changes
//! that this process is missing, because an earlier update was lost.
//!
//! The process reports its position, and the sender of the delta replies with everything after it. A sender
//! of an earlier version does not state the base of its deltas, so its reply could not be told from another
//! delta with a gap. The process then reports that it has no list, to be sent the full one.

use super::min_interval::MinInterval;
use lugwharf_protocol::TablePosition;
use std::time::Duration;

/// The minimum time between two reports because of a gap.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Which position this process reports after a gap, and when.
#[derive(Debug)]
pub struct GapRecovery {
    needs_full_list: bool,
    requests: MinInterval,
}

impl Default for GapRecovery {
    fn default() -> Self {
        GapRecovery { needs_full_list: false, requests: MinInterval::new(MIN_REQUEST_INTERVAL) }
    }
}

impl GapRecovery {
    /// Records a delta with this base that was not applied because of a gap. Returns whether the missing
    /// changes must be requested at once; otherwise the next regular report requests them.
    pub fn record_gap(&mut self, now: Duration, base: Option<TablePosition>) -> bool {
        self.needs_full_list |= base.is_none();
        let is_due = self.requests.is_due(now);
        if is_due {
            self.requests.record(now);
        }
        is_due
    }

    /// Records that the server list has advanced.
    pub fn record_advance(&mut self) {
        self.needs_full_list = false;
    }

    /// Returns the position to report for a list at position `have`.
    pub fn reported_position(&self, have: TablePosition) -> TablePosition {
        if self.needs_full_list { TablePosition::default() } else { have }
    }
}
