//! Change history of a table: removed servers, and the ends of earlier epochs.

use lugwharf_protocol::TablePosition;
use std::collections::VecDeque;

/// The maximum number of removed servers that are recorded. A release of the largest services removes
/// thousands of servers. A reader that is further behind gets a full delta, which is then hardly larger than
/// an incremental one.
pub const MAX_TOMBSTONES: usize = 4_096;
/// The maximum number of earlier epochs whose ends are recorded. A reader that has missed more changes of the
/// writer gets a full delta.
pub const MAX_EPOCH_CHANGES: usize = 32;

/// The epoch of a list that a process read itself before it knew any holder of the list watcher's role.
///
/// Two processes may have different lists at one position of this epoch, so no incremental delta starts
/// there. Every fencing token is larger.
pub const PROVISIONAL_EPOCH: u64 = 0;

/// The change history of one table; its size is bounded.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// The first position at which an incremental delta may start.
    floor: TablePosition,
    /// The last position of each earlier epoch, as seen by the writer of the next one; ascending.
    epoch_ends: VecDeque<TablePosition>,
    /// The positions of removals and the removed ids; ascending.
    tombstones: VecDeque<(TablePosition, String)>,
}

impl History {
    /// Creates a history that starts at `floor`, for example after a full delta was applied.
    pub(crate) fn starting_at(floor: TablePosition) -> Self {
        Self { floor, ..Self::default() }
    }

    /// Records that the epoch of `last` ended at that position and another epoch follows.
    pub(crate) fn record_epoch_end(&mut self, last: TablePosition) {
        // The floor does not rise when an end is dropped: `covers` rejects an earlier epoch whose end is
        // unknown.
        self.epoch_ends.push_back(last);
        if self.epoch_ends.len() > MAX_EPOCH_CHANGES {
            self.epoch_ends.pop_front();
        }
    }

    /// Records that the change to `position` removed `id`. When the oldest tombstone is dropped, the floor
    /// rises to its position.
    pub(crate) fn record_removal(&mut self, position: TablePosition, id: String) {
        self.tombstones.push_back((position, id));
        if self.tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        if let Some((forgotten, _)) = self.tombstones.pop_front() {
            self.floor = self.floor.max(forgotten);
        }
    }

    /// Returns the ids that were removed after `have`. An id may occur several times, and may have been added
    /// again.
    pub(crate) fn removed_after(&self, have: TablePosition) -> impl Iterator<Item = &String> {
        self.tombstones.iter().filter(move |(position, _)| *position > have).map(|(_, id)| id)
    }

    /// Returns whether this table's content passed through `have`, so that an incremental delta can start
    /// there.
    ///
    /// A position of an earlier epoch beyond the recorded end of that epoch belongs to a change that the next
    /// writer never saw.
    pub(crate) fn covers(&self, have: TablePosition, current: TablePosition) -> bool {
        if have.epoch == PROVISIONAL_EPOCH || have < self.floor {
            return false;
        }
        if have.epoch == current.epoch {
            return have.sequence <= current.sequence;
        }
        self.epoch_ends.iter().any(|end| end.epoch == have.epoch && have.sequence <= end.sequence)
    }
}
