//! What a table remembers of its past: removed servers, and where earlier epochs ended.

use lugwharf_protocol::TablePosition;
use std::collections::VecDeque;

/// The most removed servers that are remembered. A release of the largest services removes some thousand servers. A reader
/// that is further behind gets a snapshot, which is then hardly longer than a delta.
pub const MAX_TOMBSTONES: usize = 4_096;
/// The most earlier epochs whose ends are remembered. A reader that has missed so many changes of the writer gets a
/// snapshot.
pub const MAX_EPOCH_CHANGES: usize = 32;

/// The epoch of a list that a process read for itself, before it knew any holder of the list watcher's role.
///
/// Two processes may have different lists at one position of this epoch, so that no delta starts there. Every fencing token
/// is larger.
pub const PROVISIONAL_EPOCH: u64 = 0;

/// The past of one table; its size is bounded.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// Deltas start at this position or a later one.
    floor: TablePosition,
    /// The last position of each earlier epoch, as the writer of the next one saw it; ascending.
    epoch_ends: VecDeque<TablePosition>,
    /// Removed ids and the positions of their removals; ascending.
    tombstones: VecDeque<(TablePosition, String)>,
}

impl History {
    /// A history that starts at `floor`, as after a snapshot was applied.
    pub(crate) fn starting_at(floor: TablePosition) -> Self {
        Self { floor, ..Self::default() }
    }

    /// Records that the epoch of `last` ended there and another one follows.
    pub(crate) fn record_epoch_end(&mut self, last: TablePosition) {
        // The floor stays where it is when an end is forgotten: `covers` refuses an earlier epoch whose end is not known.
        self.epoch_ends.push_back(last);
        if self.epoch_ends.len() > MAX_EPOCH_CHANGES {
            self.epoch_ends.pop_front();
        }
    }

    /// Records that the change to `position` removed `id`. The floor rises over a tombstone that is forgotten.
    pub(crate) fn record_removal(&mut self, position: TablePosition, id: String) {
        self.tombstones.push_back((position, id));
        if self.tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        if let Some((forgotten, _)) = self.tombstones.pop_front() {
            self.floor = self.floor.max(forgotten);
        }
    }

    /// The ids that were removed after `have`. An id may occur several times, and may have been added again.
    pub(crate) fn removed_after(&self, have: TablePosition) -> impl Iterator<Item = &String> {
        self.tombstones.iter().filter(move |(position, _)| *position > have).map(|(_, id)| id)
    }

    /// Whether this table's content went through `have` and a delta can start there.
    ///
    /// A position of an earlier epoch beyond the end of that epoch belongs to a change that the next writer never saw.
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
