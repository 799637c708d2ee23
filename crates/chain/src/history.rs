//! The history of configurations that a replica holds.
//!
//! Old entries are dropped in two steps ([`HistoryLimits`]). First their bytes are dropped and the header
//! remains, which is sufficient to recognise a resent change. Later the header is dropped as well.
//!
//! Invariant: all entries except the last are committed, since the head appends an entry only after the
//! previous one is committed.

use crate::digest::Digest;
use crate::entry::{CommittedConfig, Entry, EntryBody, EntryHeader, HistorySuffix};
use crate::settings::HistoryLimits;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The retained part of the history of configurations.
#[derive(Clone, Debug, Default)]
pub struct History {
    limits: HistoryLimits,
    /// The headers of consecutive entries, oldest first.
    headers: VecDeque<EntryHeader>,
    /// The bytes of the newest entries, by index.
    bodies: BTreeMap<u64, Arc<[u8]>>,
}

impl History {
    /// Creates an empty history with these limits.
    pub fn new(limits: HistoryLimits) -> History {
        History { limits, ..History::default() }
    }

    /// The header of the last entry.
    pub fn last(&self) -> Option<EntryHeader> {
        self.headers.back().copied()
    }

    /// The index of the last entry, 0 for none.
    pub fn last_index(&self) -> u64 {
        self.last().map_or(0, |header| header.index)
    }

    /// The version of the last entry, 0 for none.
    pub fn last_version(&self) -> u64 {
        self.last().map_or(0, |header| header.version)
    }

    /// The header of the entry at an index, if it is retained.
    pub fn header(&self, index: u64) -> Option<EntryHeader> {
        let first = self.headers.front()?.index;
        let offset = usize::try_from(index.checked_sub(first)?).ok()?;
        self.headers.get(offset).copied()
    }

    /// Whether the retained history contains this entry, not just another one at the same index.
    pub fn contains(&self, header: &EntryHeader) -> bool {
        self.header(header.index).is_some_and(|own| own.is_same(header))
    }

    /// The entry at an index, if its bytes are retained.
    pub fn entry(&self, index: u64) -> Option<Entry> {
        let header = self.header(index)?;
        let bytes = self.bodies.get(&index)?.clone();
        Some(Entry { header, bytes })
    }

    /// The configuration at an index, if its bytes are retained.
    pub fn config(&self, index: u64) -> Option<CommittedConfig> {
        let entry = self.entry(index)?;
        Some(CommittedConfig { version: entry.header.version, base: entry.header.base, bytes: entry.bytes })
    }

    /// The header of the entry that is this change. Uses a binary search, since versions increase along the
    /// history.
    pub fn find(&self, version: u64, base: u64, digest: Digest) -> Option<EntryHeader> {
        let position = self.headers.binary_search_by_key(&version, |header| header.version).ok()?;
        let header = self.headers.get(position).copied()?;
        (header.base == base && header.digest.matches(&digest)).then_some(header)
    }

    /// Whether this change may be an entry whose header was dropped. Since versions increase along the
    /// history, dropped versions are not above the base of the first retained entry.
    pub fn may_have_dropped(&self, version: u64, base: u64) -> bool {
        let last_dropped = self.headers.front().filter(|first| first.index > 1).map(|first| first.base);
        base < version && last_dropped.is_some_and(|dropped| version <= dropped)
    }

    /// Appends an entry if it directly follows the last one. Returns whether it was appended.
    #[must_use]
    pub fn append(&mut self, entry: Entry) -> bool {
        let follows = entry.header.index == self.last_index() + 1;
        if follows {
            let digest = entry.header.digest.with_blake3(&entry.bytes);
            self.headers.push_back(EntryHeader { digest, ..entry.header });
            self.bodies.insert(entry.header.index, entry.bytes);
            self.drop_oldest();
        }
        follows
    }

    /// The suffix to send to a replica that holds the committed history up to `after`.
    pub fn suffix(&self, after: u64) -> HistorySuffix {
        self.suffix_up_to(after, u64::MAX)
    }

    /// The suffix to send to a replica that holds the committed history up to `after`, without the entries
    /// after `last`.
    pub fn suffix_up_to(&self, after: u64, last: u64) -> HistorySuffix {
        let is_included = |index: u64| index > after && index <= last;
        let headers = self.headers.iter().filter(|header| is_included(header.index)).copied().collect();
        let bodies = self.bodies.iter().filter(|(index, _)| is_included(**index));
        let bodies = bodies.map(|(index, bytes)| EntryBody { index: *index, bytes: bytes.clone() }).collect();
        HistorySuffix { after, headers, bodies }
    }

    /// Replaces the entries after `suffix.after` by those of the suffix. Returns `false` and changes nothing
    /// if the suffix would leave a gap.
    ///
    /// A suffix whose first header does not follow `after` is a complete history whose oldest headers were
    /// dropped: it replaces all entries.
    #[must_use]
    pub fn install(&mut self, suffix: &HistorySuffix) -> bool {
        let first = suffix.headers.first().map_or(suffix.after + 1, |header| header.index);
        let replaces_all = first != suffix.after + 1;
        let is_applicable = replaces_all || suffix.after <= self.last_index();
        let is_contiguous = suffix.headers.iter().zip(first..).all(|(header, index)| header.index == index);
        if !is_applicable || !is_contiguous {
            return false;
        }
        self.truncate(if replaces_all { 0 } else { suffix.after });
        self.headers.extend(&suffix.headers);
        self.bodies.extend(suffix.bodies.iter().map(|body| (body.index, body.bytes.clone())));
        self.drop_oldest();
        self.add_missing_hashes();
        true
    }

    /// Adds the BLAKE3 hash that an earlier version did not send to each digest whose bytes are retained.
    fn add_missing_hashes(&mut self) {
        let Some(first) = self.headers.front().map(|header| header.index) else { return };
        for (index, bytes) in &self.bodies {
            let offset = index.checked_sub(first).and_then(|offset| usize::try_from(offset).ok());
            if let Some(header) = offset.and_then(|offset| self.headers.get_mut(offset)) {
                header.digest = header.digest.with_blake3(bytes);
            }
        }
    }

    /// Removes the entries after an index.
    fn truncate(&mut self, last_index: u64) {
        while self.headers.back().is_some_and(|header| header.index > last_index) {
            self.headers.pop_back();
        }
        self.bodies.retain(|index, _| *index <= last_index);
    }

    /// Drops the oldest headers and bodies that exceed the limits.
    fn drop_oldest(&mut self) {
        while self.headers.len() > self.limits.max_headers {
            self.headers.pop_front();
        }
        while self.bodies.len() > self.limits.max_bodies {
            self.bodies.pop_first();
        }
    }
}
