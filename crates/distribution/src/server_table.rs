//! Server table, with the history needed to compute deltas.

use crate::content_digest::ContentDigest;
use crate::error::{ApplyError, StaleEpoch};
use crate::history::History;
use lugwharf_protocol::{ServerDelta, ServerEntry, ServerState, TablePosition};
use std::collections::BTreeMap;

/// An entry and the position of its last change.
#[derive(Clone, Debug)]
struct VersionedEntry {
    entry: ServerEntry,
    /// The position at which the entry got its current content. In a table that applies deltas, this is the
    /// position after the delta.
    changed_at: TablePosition,
}

/// The server table: the servers listed by the platform, with the history needed to compute deltas.
///
/// Positions are ordered by epoch, then by sequence. A new epoch continues with the content of its writer, so
/// a reader at a position of an earlier epoch still gets an incremental delta if that content passed through
/// the position.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    position: TablePosition,
    /// The entries by server id.
    servers: BTreeMap<String, VersionedEntry>,
    /// The digest of the entries in `servers`.
    digest: ContentDigest,
    history: History,
}

impl ServerTable {
    /// Creates an empty table at the default position.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the position of the last change.
    pub fn position(&self) -> TablePosition {
        self.position
    }

    /// Returns the digest of the content. Tables at the same position of an epoch other than
    /// [`crate::PROVISIONAL_EPOCH`] have the same digest.
    pub fn digest(&self) -> u64 {
        self.digest.value()
    }

    /// Returns the number of servers in the table.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether the table has no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns all servers, ordered by id.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values().map(|versioned| &versioned.entry)
    }

    /// Returns the server with this id.
    pub fn get(&self, id: &str) -> Option<&ServerEntry> {
        self.servers.get(id).map(|versioned| &versioned.entry)
    }

    /// Replaces the content by a complete list that the holder of the list watcher's role read under the
    /// fencing token `epoch`; returns whether the position advanced.
    ///
    /// The position advances on any difference, and on the first list of an epoch even without one, so that
    /// every reader rejects late updates from an earlier writer. Only one table may write under an epoch: a
    /// process that has restarted needs a new token.
    ///
    /// A different `warmup_remaining_ms` alone is not a change: the value decreases from read to read, so
    /// each read would change every server that is warming up. The latest value is stored for later pulls.
    ///
    /// An id that is listed twice, for example because the list shifted between two pages, is draining if
    /// either entry is; otherwise the later entry is used.
    ///
    /// # Errors
    ///
    /// [`StaleEpoch`] if the table has content of a later epoch; the table is then unchanged.
    pub fn replace(&mut self, epoch: u64, listing: Vec<ServerEntry>) -> Result<bool, StaleEpoch> {
        if epoch < self.position.epoch {
            return Err(StaleEpoch { listing: epoch, table: self.position.epoch });
        }
        let next = self.next_position(epoch);
        let listing = merge_by_id(listing);
        let removed: Vec<String> =
            self.servers.keys().filter(|id| !listing.contains_key(*id)).cloned().collect();
        let mut has_changed = epoch > self.position.epoch || !removed.is_empty();
        self.remove(removed, next);
        for (id, entry) in listing {
            has_changed |= self.upsert(id, entry, next);
        }
        if has_changed {
            self.advance_to(next);
        }
        Ok(has_changed)
    }

    /// Advances the position without a change of the content, and forgets the history, so that every reader
    /// gets the full list. This repairs readers whose content is not that of their position. Only the writer
    /// of the table's epoch may call it.
    pub fn restate(&mut self) {
        self.position = self.next_position(self.position.epoch);
        self.history = History::starting_at(self.position);
    }

    /// Applies a delta that another process computed with [`ServerTable::delta_since`]; returns whether the
    /// position advanced. A delta to the table's own position or an earlier one has no effect.
    ///
    /// # Errors
    ///
    /// [`ApplyError::Gap`] if changes between this table and the delta may be missing, so that the table
    /// would not have the content of the position; the table is then unchanged.
    pub fn apply(&mut self, delta: &ServerDelta) -> Result<bool, ApplyError> {
        if delta.position <= self.position {
            return Ok(false);
        }
        if delta.is_full {
            self.apply_full(delta);
            return Ok(true);
        }
        if !delta.completes(self.position) {
            return Err(ApplyError::Gap { have: self.position, base: delta.base, to: delta.position });
        }
        // Removals and entries are recorded even if they change nothing here: a server that was removed and
        // added again since this table's position may be missing in a process that pulls from this one.
        self.remove(delta.removed.clone(), delta.position);
        for entry in &delta.entries {
            self.insert(entry.id.clone(), entry.clone(), delta.position);
        }
        self.advance_to(delta.position);
        Ok(true)
    }

    /// Returns the changes that a reader at position `have` is missing: `None` if the reader is not behind
    /// this table, an incremental delta if the history covers `have`, else a full delta.
    pub fn delta_since(&self, have: TablePosition) -> Option<ServerDelta> {
        if have >= self.position {
            return None;
        }
        if !self.history.covers(have, self.position) {
            return Some(self.full_delta());
        }
        let changed = self.servers.values().filter(|versioned| versioned.changed_at > have);
        let entries = changed.map(|versioned| versioned.entry.clone()).collect();
        let removed = self.history.removed_after(have).filter(|id| !self.servers.contains_key(*id));
        let mut removed: Vec<String> = removed.cloned().collect();
        removed.sort_unstable();
        removed.dedup();
        Some(ServerDelta { position: self.position, is_full: false, base: Some(have), entries, removed })
    }

    /// Returns a full delta, which replaces the complete content of the reader.
    fn full_delta(&self) -> ServerDelta {
        let entries = self.entries().cloned().collect();
        ServerDelta { position: self.position, is_full: true, base: None, entries, removed: Vec::new() }
    }

    fn next_position(&self, epoch: u64) -> TablePosition {
        let sequence =
            if epoch == self.position.epoch { self.position.sequence.saturating_add(1) } else { 1 };
        TablePosition { epoch, sequence }
    }

    /// Replaces the content by a full delta. Earlier changes are not known, so the history starts at the
    /// position of the delta.
    fn apply_full(&mut self, delta: &ServerDelta) {
        self.servers.clear();
        self.digest = ContentDigest::default();
        for entry in &delta.entries {
            self.insert(entry.id.clone(), entry.clone(), delta.position);
        }
        self.history = History::starting_at(delta.position);
        self.position = delta.position;
    }

    fn insert(&mut self, id: String, entry: ServerEntry, changed_at: TablePosition) {
        self.digest.toggle(&entry);
        if let Some(replaced) = self.servers.insert(id, VersionedEntry { entry, changed_at }) {
            self.digest.toggle(&replaced.entry);
        }
    }

    /// Inserts or updates a listed entry; returns whether the entry changed.
    fn upsert(&mut self, id: String, entry: ServerEntry, changed_at: TablePosition) -> bool {
        match self.servers.get_mut(&id) {
            Some(versioned) if is_equal_except_warmup(&versioned.entry, &entry) => {
                versioned.entry.warmup_remaining_ms = entry.warmup_remaining_ms;
                false
            }
            _ => {
                self.insert(id, entry, changed_at);
                true
            }
        }
    }

    fn remove(&mut self, ids: Vec<String>, position: TablePosition) {
        for id in ids {
            if let Some(removed) = self.servers.remove(&id) {
                self.digest.toggle(&removed.entry);
            }
            self.history.record_removal(position, id);
        }
    }

    fn advance_to(&mut self, next: TablePosition) {
        if next.epoch != self.position.epoch && self.position != TablePosition::default() {
            self.history.record_epoch_end(self.position);
        }
        self.position = next;
    }
}

/// Returns whether two entries are equal apart from the remaining warm-up time.
fn is_equal_except_warmup(current: &ServerEntry, listed: &ServerEntry) -> bool {
    current.id == listed.id
        && current.service == listed.service
        && current.address == listed.address
        && current.zone == listed.zone
        && current.slots == listed.slots
        && current.state == listed.state
        && current.stage == listed.stage
        && current.models == listed.models
}

/// Returns the entries by id. Of an id that is listed twice, the later entry is used, but is draining if
/// either entry is.
fn merge_by_id(listing: Vec<ServerEntry>) -> BTreeMap<String, ServerEntry> {
    let mut entries: BTreeMap<String, ServerEntry> = BTreeMap::new();
    for mut entry in listing {
        let earlier_state = entries.get(&entry.id).map(|earlier| earlier.state);
        if earlier_state == Some(ServerState::Draining) {
            entry.state = ServerState::Draining;
        }
        entries.insert(entry.id.clone(), entry);
    }
    entries
}
