//! The learner: replicates the committed history outside the chain, on members and on processes that may
//! become members.
//!
//! Unlike a learner in raft-rs, a learner may vote: members outside the chain vote on the next view and
//! replicate the history as learners.
//!
//! A learner stores only entries that are known to be committed. Its history is therefore a prefix of the
//! committed history, possibly followed by one entry of an earlier view whose commit status is unknown. A
//! learner's installed view does not change, so the entries stored here do not make it a valid source of a
//! view.
//!
//! Learners add no work to the chain while a change is in flight: a learner assembles the newest entry from
//! the commit announcement and the configuration, both of which are sent to it anyway. Earlier entries that
//! are missing are fetched in chunks, one per tick.

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

/// A learner that has been behind for this long requests chunks. Until then the configuration arrives without
/// a request, unless more than one entry is missing.
const CATCH_UP_AFTER: Duration = Duration::from_millis(100);
/// A chunk that has not arrived within this time is requested from another process.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// The state of a learner that catches up with the committed history.
#[derive(Debug, Default)]
pub struct Learner {
    behind_since: Option<Duration>,
    assembly: Option<StreamAssembly>,
    request: Option<SentRequest>,
    /// Selects the source, modulo the number of sources. Advances after each source that did not answer or
    /// sent an invalid stream.
    source_cursor: usize,
    /// The streams sent to other learners. They are kept apart from those of state transfer, since replicas
    /// of the chain need the complete history of a view.
    pub(super) streams: StreamCache,
}

/// A request without a response.
#[derive(Debug)]
struct SentRequest {
    source: SocketAddr,
    sent_at: Duration,
}

impl Learner {
    /// Discards the transfer in progress, because it is complete, has failed, or is no longer needed.
    pub fn reset_catch_up(&mut self) {
        self.behind_since = None;
        self.assembly = None;
        self.request = None;
    }
}

impl Replica {
    /// The index up to which this process holds the committed history on disk.
    pub(super) fn durable_commit_index(&self) -> u64 {
        self.synced_index.min(self.commit_index)
    }

    /// Whether this process replicates the history outside the chain. A process that has promised the next
    /// view stops, since the proposer relies on the history position reported in the promise.
    fn is_learner(&self) -> bool {
        let is_outside = self.view.number > 0 && self.view.position(self.identity).is_none();
        let is_eligible = self.is_member() || self.settings.counts_for_quorum;
        is_outside && is_eligible && !self.is_sealed() && self.disk_healthy()
    }

    fn is_behind(&self) -> bool {
        self.newest_committed.index() > self.commit_index
    }

    /// Appends the newest committed entry, if it directly follows the last one and its configuration is
    /// known.
    pub(super) fn append_newest_committed(&mut self) {
        let header = self.newest_committed.header;
        let Some(header) = header.filter(|_| self.is_behind() && self.is_learner()) else { return };
        let last_index = self.history.last_index();
        if last_index != self.commit_index || header.index != last_index + 1 {
            return;
        }
        let config = self.newest_committed.config.clone();
        let Some(config) = config.filter(|config| config.version == header.version) else { return };
        if !header.digest.matches_bytes(&config.bytes) {
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

    /// A live peer that holds more of the committed history than this process. After each failure, the next
    /// such peer is chosen.
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

    /// Handles a chunk from the source of the request in flight. The next chunk is requested at the next
    /// tick. After an invalid stream, a new transfer starts at the next source once `CATCH_UP_AFTER` has
    /// passed again. A chunk that does not belong to the transfer is ignored, so the request times out.
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

    /// Installs committed entries from another process.
    fn install_committed(&mut self, suffix: &HistorySuffix) {
        let Some(last) = suffix.headers.last().copied() else { return };
        // `append_newest_committed` may already have appended entries that were committed during the
        // transfer.
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

    /// Records that committed entries up to this index are on disk. The history may have been replaced by a
    /// shorter one meanwhile.
    pub(super) fn on_learner_synced(&mut self, index: u64) {
        self.synced_index = self.synced_index.max(index.min(self.history.last_index()));
    }
}
