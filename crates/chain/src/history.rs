//! The history of configurations that one replica holds.
//!
//! All entries but the last are known to be committed, since the head writes an entry only once the one before it is.

use crate::digest::Digest;
use crate::entry::{CommittedConfig, Entry, EntryBody, EntryHeader, HistorySuffix};
use crate::settings::HistoryLimits;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The history of configurations.
#[derive(Clone, Debug, Default)]
pub struct History {
    limits: HistoryLimits,
    headers: VecDeque<EntryHeader>,
    bodies: BTreeMap<u64, Arc<[u8]>>,
}

impl History {
    /// An empty history that keeps this much.
    pub fn new(limits: HistoryLimits) -> History {
        History { limits, ..History::default() }
    }

    /// The last entry.
    pub fn last(&self) -> Option<EntryHeader> {
        self.headers.back().copied()
    }

    /// The place of the last entry, 0 for none.
    pub fn last_index(&self) -> u64 {
        self.last().map_or(0, |header| header.index)
    }

    /// The version of the last entry, 0 for none.
    pub fn last_version(&self) -> u64 {
        self.last().map_or(0, |header| header.version)
    }

    /// The entry at a place.
    pub fn header(&self, index: u64) -> Option<EntryHeader> {
        let first = self.headers.front()?.index;
        let offset = usize::try_from(index.checked_sub(first)?).ok()?;
        self.headers.get(offset).copied()
    }

    /// Whether this very entry is held.
    pub fn holds(&self, header: &EntryHeader) -> bool {
        self.header(header.index).is_some_and(|held| held.is_same(header))
    }

    /// The entry at a place with its bytes, if they are kept.
    pub fn entry(&self, index: u64) -> Option<Entry> {
        let header = self.header(index)?;
        let bytes = self.bodies.get(&index)?.clone();
        Some(Entry { header, bytes })
    }

    /// The configuration at a place, if its bytes are kept.
    pub fn config(&self, index: u64) -> Option<CommittedConfig> {
        let entry = self.entry(index)?;
        Some(CommittedConfig { version: entry.header.version, base: entry.header.base, bytes: entry.bytes })
    }

    /// The entry that is this very change. Versions climb along the history.
    pub fn find(&self, version: u64, base: u64, digest: Digest) -> Option<EntryHeader> {
        let position = self.headers.binary_search_by_key(&version, |header| header.version).ok()?;
        let header = self.headers.get(position).copied()?;
        (header.base == base && header.digest.matches(&digest)).then_some(header)
    }

    /// Whether such a change may have been taken so long ago that its header was dropped. Versions climb along the
    /// history, so that those that were dropped are no higher than the one that the first kept entry builds on.
    pub fn may_have_dropped(&self, version: u64, base: u64) -> bool {
        let dropped_up_to = self.headers.front().filter(|first| first.index > 1).map(|first| first.base);
        base < version && dropped_up_to.is_some_and(|dropped| version <= dropped)
    }

    /// Adds the entry that follows the last. Returns whether it does follow.
    #[must_use]
    pub fn append(&mut self, entry: Entry) -> bool {
        let follows = entry.header.index == self.last_index() + 1;
        if follows {
            let digest = entry.header.digest.completed(&entry.bytes);
            self.headers.push_back(EntryHeader { digest, ..entry.header });
            self.bodies.insert(entry.header.index, entry.bytes);
            self.trim();
        }
        follows
    }

    /// What a replica lacks that holds the committed history up to `after`.
    pub fn suffix(&self, after: u64) -> HistorySuffix {
        self.suffix_up_to(after, u64::MAX)
    }

    /// The same without the entries behind `last`.
    pub fn suffix_up_to(&self, after: u64, last: u64) -> HistorySuffix {
        let wanted = |index: u64| index > after && index <= last;
        let headers = self.headers.iter().filter(|header| wanted(header.index)).copied().collect();
        let bodies = self.bodies.iter().filter(|(index, _)| wanted(**index));
        let bodies = bodies.map(|(index, bytes)| EntryBody { index: *index, bytes: bytes.clone() }).collect();
        HistorySuffix { after, headers, bodies }
    }

    /// Takes over another replica's history. Returns whether it fits to what is held here.
    #[must_use]
    pub fn install(&mut self, suffix: &HistorySuffix) -> bool {
        let first = suffix.headers.first().map_or(suffix.after + 1, |header| header.index);
        let from_start = first != suffix.after + 1;
        let fits = from_start || suffix.after <= self.last_index();
        let contiguous = suffix.headers.iter().zip(first..).all(|(header, index)| header.index == index);
        if !fits || !contiguous {
            return false;
        }
        self.truncate(if from_start { 0 } else { suffix.after });
        self.headers.extend(&suffix.headers);
        self.bodies.extend(suffix.bodies.iter().map(|body| (body.index, body.bytes.clone())));
        self.trim();
        self.complete_digests();
        true
    }

    /// Works out what an earlier version does not tell of a digest, where the bytes are kept.
    fn complete_digests(&mut self) {
        let Some(first) = self.headers.front().map(|header| header.index) else { return };
        for (index, bytes) in &self.bodies {
            let offset = index.checked_sub(first).and_then(|offset| usize::try_from(offset).ok());
            if let Some(header) = offset.and_then(|offset| self.headers.get_mut(offset)) {
                header.digest = header.digest.completed(bytes);
            }
        }
    }

    fn truncate(&mut self, last: u64) {
        while self.headers.back().is_some_and(|header| header.index > last) {
            self.headers.pop_back();
        }
        self.bodies.retain(|index, _| *index <= last);
    }

    fn trim(&mut self) {
        while self.headers.len() > self.limits.max_headers {
            self.headers.pop_front();
        }
        while self.bodies.len() > self.limits.max_bodies {
            self.bodies.pop_first();
        }
    }
}
