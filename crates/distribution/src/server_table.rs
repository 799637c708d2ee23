//! The list of servers with enough history to send differences.

use crate::history::History;
use lugwharf_protocol::{ServerDelta, ServerEntry, ServerState, TablePosition};
use std::collections::BTreeMap;

/// A listing was read under a fencing token that is no longer the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a listing of epoch {listing} after one of epoch {table}")]
pub struct StaleEpoch {
    /// The epoch of the listing.
    pub listing: u64,
    /// The epoch of the table.
    pub table: u64,
}

/// Why a delta was not taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// Differences came to a table that holds nothing. Ask again with the default position, for the whole.
    #[error("differences up to {to:?} do not follow {have:?}")]
    Gap {
        /// Where the table is.
        have: TablePosition,
        /// Where the delta leads.
        to: TablePosition,
    },
}

#[derive(Clone, Debug)]
struct Held {
    entry: ServerEntry,
    /// The position at which it took its present form; for a table that takes deltas over, the position after the delta.
    changed: TablePosition,
}

/// The list of servers with enough history to send differences.
///
/// Positions are ordered by epoch, then sequence. A new epoch continues the content that its writer held, so that a
/// holder of an earlier epoch's position is still served with differences if the content went through that position.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    position: TablePosition,
    held: BTreeMap<String, Held>,
    history: History,
}

impl ServerTable {
    /// An empty table at the default position.
    pub fn new() -> Self {
        Self::default()
    }

    /// The position of the last change.
    pub fn position(&self) -> TablePosition {
        self.position
    }

    /// Servers in the list.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether the list has no server.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// All servers, by id.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.held.values().map(|held| &held.entry)
    }

    /// The server with this id.
    pub fn get(&self, id: &str) -> Option<&ServerEntry> {
        self.held.get(id).map(|held| &held.entry)
    }

    /// Takes over a whole listing that the holder of the reader role has read under the fencing token `epoch`. Returns
    /// whether the position moved: at any difference, and at the first listing of an epoch also without one, so that
    /// every holder refuses what an earlier writer may still send. One table writes under one epoch: a process that was
    /// started anew needs a new token.
    ///
    /// A different `warmup_remaining_ms` alone is no change: it counts down from reading to reading, so that each reading
    /// would change every young server. The latest value is kept for those who ask later.
    ///
    /// An id listed twice, as when the list shifts between two pages, counts as draining if either line says so; else
    /// the later line stands.
    pub fn replace(&mut self, epoch: u64, listing: Vec<ServerEntry>) -> Result<bool, StaleEpoch> {
        if epoch < self.position.epoch {
            return Err(StaleEpoch { listing: epoch, table: self.position.epoch });
        }
        let next = self.next_position(epoch);
        let listing = by_id(listing);
        let gone: Vec<String> = self.held.keys().filter(|id| !listing.contains_key(*id)).cloned().collect();
        let mut changed = epoch > self.position.epoch || !gone.is_empty();
        self.remove(gone, next);
        for (id, entry) in listing {
            changed |= self.put(id, entry, next);
        }
        if changed {
            self.move_to(next);
        }
        Ok(changed)
    }

    /// Takes over a delta that another process made by [`ServerTable::delta_since`] for a position that this table had
    /// reached. Returns whether the table moved; a delta that leads to its own position or an older one does not move
    /// it.
    pub fn apply(&mut self, delta: &ServerDelta) -> Result<bool, ApplyError> {
        if delta.position <= self.position {
            return Ok(false);
        }
        if delta.is_full {
            self.take_whole(delta);
            return Ok(true);
        }
        if self.position == TablePosition::default() {
            return Err(ApplyError::Gap { have: self.position, to: delta.position });
        }
        // Removals and entries are noted also where they make no difference here: a server that left and came back
        // since this table's position may be missing at one that asks this table.
        self.remove(delta.removed.clone(), delta.position);
        for entry in &delta.entries {
            self.held.insert(entry.id.clone(), Held { entry: entry.clone(), changed: delta.position });
        }
        self.move_to(delta.position);
        Ok(true)
    }

    /// What a holder of `have` is missing. `None` if it has the same or is ahead of this table; differences if the
    /// history reaches back to `have`, else the whole list.
    pub fn delta_since(&self, have: TablePosition) -> Option<ServerDelta> {
        if have >= self.position {
            return None;
        }
        if !self.history.reaches(have, self.position) {
            return Some(self.whole());
        }
        let changed = self.held.values().filter(|held| held.changed > have);
        let entries = changed.map(|held| held.entry.clone()).collect();
        let removed = self.history.removed_after(have).filter(|id| !self.held.contains_key(*id));
        let mut removed: Vec<String> = removed.cloned().collect();
        removed.sort_unstable();
        removed.dedup();
        Some(ServerDelta { position: self.position, is_full: false, entries, removed })
    }

    fn whole(&self) -> ServerDelta {
        let entries = self.entries().cloned().collect();
        ServerDelta { position: self.position, is_full: true, entries, removed: Vec::new() }
    }

    fn next_position(&self, epoch: u64) -> TablePosition {
        let sequence =
            if epoch == self.position.epoch { self.position.sequence.saturating_add(1) } else { 1 };
        TablePosition { epoch, sequence }
    }

    fn take_whole(&mut self, delta: &ServerDelta) {
        let changed = delta.position;
        let entries = delta.entries.iter().cloned();
        self.held = entries.map(|entry| (entry.id.clone(), Held { entry, changed })).collect();
        self.history = History::starting_at(delta.position);
        self.position = delta.position;
    }

    /// Stores a listed entry; returns whether it differs from what was held.
    fn put(&mut self, id: String, entry: ServerEntry, changed: TablePosition) -> bool {
        match self.held.get_mut(&id) {
            Some(held) if is_same(&held.entry, &entry) => {
                held.entry.warmup_remaining_ms = entry.warmup_remaining_ms;
                false
            }
            _ => {
                self.held.insert(id, Held { entry, changed });
                true
            }
        }
    }

    fn remove(&mut self, ids: Vec<String>, position: TablePosition) {
        for id in ids {
            self.held.remove(&id);
            self.history.bury(position, id);
        }
    }

    fn move_to(&mut self, next: TablePosition) {
        if next.epoch != self.position.epoch && self.position != TablePosition::default() {
            self.history.end_epoch(self.position);
        }
        self.position = next;
    }
}

/// Whether two entries are alike apart from the time for which the server is still slow.
fn is_same(held: &ServerEntry, listed: &ServerEntry) -> bool {
    held.id == listed.id
        && held.service == listed.service
        && held.address == listed.address
        && held.zone == listed.zone
        && held.slots == listed.slots
        && held.state == listed.state
        && held.stage == listed.stage
        && held.models == listed.models
}

fn by_id(listing: Vec<ServerEntry>) -> BTreeMap<String, ServerEntry> {
    let mut entries: BTreeMap<String, ServerEntry> = BTreeMap::new();
    for mut entry in listing {
        let listed_as = entries.get(&entry.id).map(|earlier| earlier.state);
        if listed_as == Some(ServerState::Draining) {
            entry.state = ServerState::Draining;
        }
        entries.insert(entry.id.clone(), entry);
    }
    entries
}
