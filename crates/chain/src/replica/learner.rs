//! Keeping the committed history without a place in the chain: at a member outside it, or a learner.
//!
//! Such a process stores only what is known to be committed, so its history is a prefix of the committed one, or that
//! and one entry of an earlier view whose fate it has not heard of. Which view's history it holds (`installed`) does not
//! change, so it is no source of a view for what it has stored here. It costs the chain nothing while a change is on its
//! way: the newest entry is put together from the commit and the configuration, which it gets in any case. What is
//! missing before that comes in chunks, one with each tick.

use super::Replica;
use crate::entry::{Entry, HistorySuffix};
use crate::history_stream::{Assembly, Chunk, ChunkRequest, Portion, Progress, Streams};
use crate::journal::Effect;
use crate::message::Message;
use crate::record::Record;
use std::net::SocketAddr;
use std::time::Duration;

/// The configuration comes by itself within this, unless more than one entry is missing.
const BEHIND_FOR: Duration = Duration::from_millis(100);
/// A chunk that has not come within this is asked for again, from another process.
const REQUEST_AGAIN: Duration = Duration::from_millis(300);

/// How far this process is with what it lacks.
#[derive(Debug, Default)]
pub struct Follower {
    behind_since: Option<Duration>,
    assembly: Option<Assembly>,
    /// The request under way: to whom, and since when.
    requested: Option<(SocketAddr, Duration)>,
    /// Counts the sources that were given up.
    given_up: usize,
    /// What was sent of the committed history. Not for replicas of the chain, which need all of a view's history.
    pub(super) streams: Streams,
}

impl Follower {
    /// Nothing is asked for.
    pub fn clear(&mut self) {
        self.behind_since = None;
        self.assembly = None;
        self.requested = None;
    }
}

impl Replica {
    /// The last committed entry of the history on disk.
    pub(super) fn durable_commit_index(&self) -> u64 {
        self.synced.min(self.committed)
    }

    /// Whether this process keeps the history without being in the chain. Not once it has told a proposer what it holds.
    fn follows(&self) -> bool {
        let outside = self.view.number > 0 && self.view.position(self.identity).is_none();
        let wanted = self.is_member() || self.settings.counts_for_quorum;
        outside && wanted && !self.sealed() && self.disk_healthy()
    }

    fn is_behind(&self) -> bool {
        self.newest_mark.is_some_and(|newest| newest.index > self.committed)
    }

    /// Stores the newest committed entry if it follows what is held and its configuration is here.
    pub(super) fn follow_newest(&mut self) {
        let Some(header) = self.newest_mark.filter(|_| self.is_behind() && self.follows()) else { return };
        let last = self.history.last_index();
        if last != self.committed || header.index != last + 1 {
            return;
        }
        let Some(config) = self.newest.clone().filter(|config| config.version == header.version) else {
            return;
        };
        if !header.digest.fits(&config.bytes) {
            return;
        }
        let entry = Entry { header, bytes: config.bytes.clone() };
        if self.history.append(entry.clone()) {
            self.record(&Record::Append { entry });
            self.journal.then(Effect::Followed { index: header.index });
            self.commit(header);
        }
    }

    pub(super) fn follow_when_due(&mut self) {
        if !self.follows() || !self.is_behind() {
            return self.follower.clear();
        }
        let since = *self.follower.behind_since.get_or_insert(self.now);
        if self.now < since + BEHIND_FOR {
            return;
        }
        match self.follower.requested {
            Some((_, asked)) if self.now < asked + REQUEST_AGAIN => return,
            Some(_) => self.follower.given_up += 1,
            None => {}
        }
        self.request_committed();
    }

    fn request_committed(&mut self) {
        let Some(source) = self.choose_history_source() else { return };
        let committed = self.committed;
        let assembly = self.follower.assembly.get_or_insert_with(|| Assembly::new(committed));
        let (after, chunk) = (assembly.after, assembly.wanted());
        self.follower.requested = Some((source, self.now));
        self.send(source, Message::HistoryRequest { after, chunk });
    }

    /// A process that holds more than this one; the next one after each that was given up.
    fn choose_history_source(&self) -> Option<SocketAddr> {
        let sources = self.peers.longer_histories(self.committed, self.now);
        sources.get(self.follower.given_up.checked_rem(sources.len())?).copied()
    }

    pub(super) fn on_history_request(&mut self, from: SocketAddr, after: u64, chunk: ChunkRequest) {
        let held = self.durable_commit_index();
        if held <= after {
            return;
        }
        let portion = Portion { chunk_bytes: self.settings.chunk_bytes, chunks: 1 };
        let make = || self.history.suffix_up_to(after, held);
        for chunk in self.follower.streams.chunks(self.now, chunk, portion, make) {
            self.send(from, Message::HistoryChunk { chunk });
        }
    }

    /// The next chunk is asked for with the next tick.
    pub(super) fn on_history_piece(&mut self, from: SocketAddr, chunk: &Chunk) {
        let awaited = self.follower.requested.is_some_and(|(source, _)| source == from);
        if !awaited || !self.follows() {
            return;
        }
        let Some(assembly) = self.follower.assembly.as_mut() else { return };
        match assembly.take(chunk) {
            Progress::Ignored => {}
            Progress::Continues => self.follower.requested = None,
            Progress::Complete(suffix) => {
                self.follower.clear();
                self.follow(&suffix);
            }
            Progress::Broken => {
                self.follower.clear();
                self.follower.given_up += 1;
            }
        }
    }

    /// Takes over committed entries.
    fn follow(&mut self, suffix: &HistorySuffix) {
        let Some(last) = suffix.headers.last().copied() else { return };
        let useful = suffix.after <= self.committed && last.index > self.committed;
        if !useful || !self.history.install(suffix) {
            return;
        }
        self.synced = self.synced.min(suffix.after);
        let installed = self.installation.installed;
        for record in Record::installation(installed, installed, suffix) {
            self.record(&record);
        }
        self.journal.then(Effect::Followed { index: last.index });
        self.commit(last);
        self.catch_up_commit();
    }

    pub(super) fn on_followed(&mut self, index: u64) {
        self.synced = self.synced.max(index.min(self.history.last_index()));
    }
}
