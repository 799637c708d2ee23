//! The history of configurations as one replica holds it.
//!
//! Old entries are truncated twice: first the bytes go and the header remains, which is enough to recognise a resend; then the
//! header goes too ([`HistoryLimits`]).
//!
//! Invariant: all entries but the last are committed, since the head appends an entry only once the one before it is.

use crate::digest::Digest;
use crate::entry::{CommittedConfig, Entry, EntryBody, EntryHeader, HistorySuffix};
use crate::settings::HistoryLimits;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The history of configurations.
#[derive(Clone, Debug, Default)]
pub struct History {
    limits: HistoryLimits,
    /// Contiguous, oldest first.
    headers: VecDeque<EntryHeader>,
    /// The bytes by index.
    bodies: BTreeMap<u64, Arc<[u8]>>,
}

impl History {
    /// An empty history that retains this much.
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

    /// Whether the history contains this very entry.
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

    /// The header of the entry that is this very change. Versions increase along the history.
    pub fn find(&self, version: u64, base: u64, digest: Digest) -> Option<EntryHeader> {
        let position = self.headers.binary_search_by_key(&version, |header| header.version).ok()?;
        let header = self.headers.get(position).copied()?;
        (header.base == base && header.digest.matches(&digest)).then_some(header)
    }

    /// Whether such a change may be an entry whose header was dropped. Versions increase along the history, so dropped ones
    /// are not above the base of the first retained entry.
    pub fn may_have_dropped(&self, version: u64, base: u64) -> bool {
        let last_dropped = self.headers.front().filter(|first| first.index > 1).map(|first| first.base);
        base < version && last_dropped.is_some_and(|dropped| version <= dropped)
    }

    /// Appends an entry. Returns whether it follows the last one; otherwise nothing changes.
    #[must_use]
    pub fn append(&mut self, entry: Entry) -> bool {
        let follows = entry.header.index == self.last_index() + 1;
        if follows {
            let digest = entry.header.digest.completed(&entry.bytes);
            self.headers.push_back(EntryHeader { digest, ..entry.header });
            self.bodies.insert(entry.header.index, entry.bytes);
            self.drop_oldest();
        }
        follows
    }

    /// The suffix for a replica that holds the committed history up to `after`.
    pub fn suffix(&self, after: u64) -> HistorySuffix {
        self.suffix_up_to(after, u64::MAX)
    }

    /// The suffix for a replica that holds the committed history up to `after`, without the entries behind `last`.
    pub fn suffix_up_to(&self, after: u64, last: u64) -> HistorySuffix {
        let is_included = |index: u64| index > after && index <= last;
        let headers = self.headers.iter().filter(|header| is_included(header.index)).copied().collect();
        let bodies = self.bodies.iter().filter(|(index, _)| is_included(**index));
        let bodies = bodies.map(|(index, bytes)| EntryBody { index: *index, bytes: bytes.clone() }).collect();
        HistorySuffix { after, headers, bodies }
    }

    /// Replaces the entries behind `suffix.after` by another replica's. Returns whether the suffix fits to this history;
    /// otherwise nothing changes.
    ///
    /// A suffix whose first header does not follow `after` is a whole history whose oldest headers were dropped: it replaces
    /// everything.
    #[must_use]
    pub fn install(&mut self, suffix: &HistorySuffix) -> bool {
        let first = suffix.headers.first().map_or(suffix.after + 1, |header| header.index);
        let replaces_all = first != suffix.after + 1;
        let fits = replaces_all || suffix.after <= self.last_index();
        let is_contiguous = suffix.headers.iter().zip(first..).all(|(header, index)| header.index == index);
        if !fits || !is_contiguous {
            return false;
        }
        self.truncate(if replaces_all { 0 } else { suffix.after });
        self.headers.extend(&suffix.headers);
        self.bodies.extend(suffix.bodies.iter().map(|body| (body.index, body.bytes.clone())));
        self.drop_oldest();
        self.complete_digests();
        true
    }

    /// Adds the hash that an earlier version did not send to each digest whose bytes are retained.
    fn complete_digests(&mut self) {
        let Some(first) = self.headers.front().map(|header| header.index) else { return };
        for (index, bytes) in &self.bodies {
            let offset = index.checked_sub(first).and_then(|offset| usize::try_from(offset).ok());
            if let Some(header) = offset.and_then(|offset| self.headers.get_mut(offset)) {
                header.digest = header.digest.completed(bytes);
            }
        }
    }

    /// Removes the entries behind an index.
    fn truncate(&mut self, last_index: u64) {
        while self.headers.back().is_some_and(|header| header.index > last_index) {
            self.headers.pop_back();
        }
        self.bodies.retain(|index, _| *index <= last_index);
    }

    /// Drops what exceeds the limits.
    fn drop_oldest(&mut self) {
        while self.headers.len() > self.limits.max_headers {
            self.headers.pop_front();
        }
        while self.bodies.len() > self.limits.max_bodies {
            self.bodies.pop_first();
        }
    }
}
