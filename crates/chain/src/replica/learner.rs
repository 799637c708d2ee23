//! The learner: keeps the committed history outside the chain, as a member or as a process that may become one.
//!
//! Other than a learner of raft-rs it may vote: members outside the chain vote on the next view and follow the history here.
//!
//! A learner stores only what is known to be committed. So its history is a prefix of the committed one, or such a prefix and
//! one entry of an earlier view that may or may not be committed. Its installed view does not change, so what it stores here does
//! not make it a source of a view.
//!
//! Learners cost the chain nothing while a change is in flight: a learner builds the newest entry from the commit and the
//! configuration, both of which it gets in any case. What is missing before that comes in chunks, one per tick.

use super::Replica;
use crate::entry::{Entry, HistorySuffix};
use crate::history_stream::{
    AssemblyProgress, Chunk, ChunkRequest, ResponseLimits, StreamAssembly, StreamCache,
};
use crate::journal::Effect;
use crate::message::Message;
use crate::record::Record;
use std::net::SocketAddr;
use std::time::Duration;

/// A learner that is behind for this long requests chunks. Before, the configuration comes without a request, unless more than
/// one entry is missing.
const CATCH_UP_AFTER: Duration = Duration::from_millis(100);
/// A chunk that has not come within this is requested from another process.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// The state of catching up with the committed history.
#[derive(Debug, Default)]
pub struct Learner {
    behind_since: Option<Duration>,
    assembly: Option<StreamAssembly>,
    request: Option<SentRequest>,
    /// Advances with each source that did not answer or sent an invalid stream, and selects the next one, modulo the sources.
    source_cursor: usize,
    /// The streams sent to other learners. Replicas of the chain need the history of a view instead.
    pub(super) streams: StreamCache,
}

/// A request without a response yet.
#[derive(Debug)]
struct SentRequest {
    source: SocketAddr,
    sent_at: Duration,
}

impl Learner {
    /// Forgets the transfer in progress: it is complete, has failed, or is not needed any more.
    pub fn reset_catch_up(&mut self) {
        self.behind_since = None;
        self.assembly = None;
        self.request = None;
    }
}

impl Replica {
    /// The committed history is on disk up to this index.
    pub(super) fn durable_commit_index(&self) -> u64 {
        self.synced_index.min(self.commit_index)
    }

    /// Whether this process keeps the history outside the chain. Not once it has promised the next view
    /// and reported its history to the proposer, which relies on that history.
    fn is_learner(&self) -> bool {
        let is_outside = self.view.number > 0 && self.view.position(self.identity).is_none();
        let is_eligible = self.is_member() || self.settings.counts_for_quorum;
        is_outside && is_eligible && !self.is_sealed() && self.disk_healthy()
    }

    fn is_behind(&self) -> bool {
        self.newest_committed.index() > self.commit_index
    }

    /// Appends the newest committed entry, if it follows the last one and its configuration is known.
    pub(super) fn append_newest_committed(&mut self) {
        let header = self.newest_committed.header;
        let Some(header) = header.filter(|_| self.is_behind() && self.is_learner()) else { return };
        let last_index = self.history.last_index();
        if last_index != self.commit_index || header.index != last_index + 1 {
            return;
        }
        let config = self.newest_committed.config.clone();
        let Some(config) = config.filter(|config| config.version == header.version) else { return };
        if !header.digest.fits(&config.bytes) {
            return;
        }
        let entry = Entry { header, bytes: config.bytes.clone() };
        if self.history.append(entry.clone()) {
            self.append_record(&Record::Append { entry });
            self.journal.after_sync(Effect::LearnerSynced { index: header.index });
            self.commit(header);
        }
    }

    pub(super) fn catch_up_if_due(&mut self) {
        if !self.is_learner() || !self.is_behind() {
            return self.learner.reset_catch_up();
        }
        let behind_since = *self.learner.behind_since.get_or_insert(self.now);
        if self.now < behind_since + CATCH_UP_AFTER {
            return;
        }
        match &self.learner.request {
            Some(request) if self.now < request.sent_at + REQUEST_TIMEOUT => return,
            Some(_) => self.learner.source_cursor += 1,
            None => {}
        }
        self.request_history();
    }

    fn request_history(&mut self) {
        let Some(source) = self.choose_history_source() else { return };
        let commit_index = self.commit_index;
        let assembly = self.learner.assembly.get_or_insert_with(|| StreamAssembly::new(commit_index));
        let (after, chunk) = (assembly.after, assembly.next_request());
        self.learner.request = Some(SentRequest { source, sent_at: self.now });
        self.outbox.send(source, Message::HistoryRequest { after, chunk });
    }

    /// A live peer that holds more than this process; the next one after each that failed.
    fn choose_history_source(&self) -> Option<SocketAddr> {
        let sources = self.peers.with_history_beyond(self.commit_index, self.now);
        sources.get(self.learner.source_cursor.checked_rem(sources.len())?).copied()
    }

    pub(super) fn on_history_request(&mut self, from: SocketAddr, after: u64, request: ChunkRequest) {
        let last_index = self.durable_commit_index();
        if last_index <= after {
            return;
        }
        let limits = ResponseLimits { chunk_bytes: self.settings.chunk_bytes, max_chunks: 1 };
        let make_suffix = || self.history.suffix_up_to(after, last_index);
        for chunk in self.learner.streams.chunks(self.now, request, limits, make_suffix) {
            self.outbox.send(from, Message::HistoryChunk { chunk });
        }
    }

    /// Handles a chunk from the source of the request in flight. The next chunk is requested with the next tick; after an
    /// invalid stream a new transfer starts at the next source once `CATCH_UP_AFTER` has passed again. A chunk that does not
    /// belong to the transfer leaves the request to its timeout.
    pub(super) fn on_history_chunk(&mut self, from: SocketAddr, chunk: &Chunk) {
        let is_expected = self.learner.request.as_ref().is_some_and(|request| request.source == from);
        if !is_expected || !self.is_learner() {
            return;
        }
        let Some(assembly) = self.learner.assembly.as_mut() else { return };
        match assembly.add(chunk) {
            AssemblyProgress::Ignored => {}
            AssemblyProgress::Incomplete => self.learner.request = None,
            AssemblyProgress::Complete(suffix) => {
                self.learner.reset_catch_up();
                self.install_committed(&suffix);
            }
            AssemblyProgress::Corrupt => {
                self.learner.reset_catch_up();
                self.learner.source_cursor += 1;
            }
        }
    }

    /// Installs committed entries.
    fn install_committed(&mut self, suffix: &HistorySuffix) {
        let Some(last) = suffix.headers.last().copied() else { return };
        // Entries that were committed during the transfer may have been appended already (`append_newest_committed`).
        let extends_history = suffix.after <= self.commit_index && last.index > self.commit_index;
        if !extends_history || !self.history.install(suffix) {
            return;
        }
        self.synced_index = self.synced_index.min(suffix.after);
        let installed_view = self.state_transfer.installed_view;
        for record in Record::installation(installed_view, installed_view, suffix) {
            self.append_record(&record);
        }
        self.journal.after_sync(Effect::LearnerSynced { index: last.index });
        self.commit(last);
        self.commit_newest_if_held();
    }

    /// Committed entries up to this index are on disk. The history may have been replaced by a shorter one meanwhile.
    pub(super) fn on_learner_synced(&mut self, index: u64) {
        self.synced_index = self.synced_index.max(index.min(self.history.last_index()));
    }
}
