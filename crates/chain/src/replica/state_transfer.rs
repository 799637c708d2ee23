//! State transfer: installs the history of a new view from its source, and determines when the view serves.
//!
//! A view serves once all replicas of its chain hold its history on disk. From then on every acknowledged
//! entry is on the disks of the whole chain.

use super::Replica;
use crate::entry::HistorySuffix;
use crate::history_stream::{
    AssemblyProgress, Chunk, ChunkRequest, ResponseLimits, StreamAssembly, StreamCache,
};
use crate::journal::Effect;
use crate::log_event::LogEvent;
use crate::member::MemberId;
use crate::message::Message;
use crate::record::Record;
use std::net::SocketAddr;
use std::time::Duration;

/// An unanswered request for the history is sent again after this time.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// The number of chunks per request. With 256 KiB each, they saturate a link with 1 Gbit/s and 20 ms of
/// latency and leave room in its send queue.
const CHUNKS_PER_REQUEST: usize = 4;

/// The state of the transfer of the current view's history.
#[derive(Debug, Default)]
pub struct StateTransfer {
    /// The newest view whose history this process holds.
    pub installed_view: u64,
    /// The newest view whose history this process holds on disk.
    pub synced_view: u64,
    /// Whether all replicas of the current view's chain hold its history on disk, as far as this process
    /// knows.
    pub is_serving: bool,
    requested_at: Option<Duration>,
    assembly: Option<StreamAssembly>,
    /// The streams of the current view's history, which does not change until all replicas of the chain hold
    /// it.
    streams: StreamCache,
}

impl StateTransfer {
    /// Restores the state after a restart with the history of this view on disk.
    pub fn recover(installed_view: u64) -> StateTransfer {
        StateTransfer { installed_view, synced_view: installed_view, ..StateTransfer::default() }
    }
}

impl Replica {
    /// Starts the state transfer of a view that was just entered.
    pub(super) fn start_state_transfer(&mut self) {
        self.state_transfer.is_serving = false;
        // The assembly is kept: the source of this view can resume the stream if it holds the same history.
        self.state_transfer.requested_at = None;
        // The streams are dropped: the histories of two views may differ, even if a receiver has begun with
        // the earlier one.
        self.state_transfer.streams = StreamCache::default();
        if self.view.source == Some(self.identity) {
            debug_assert!(self.state_transfer.installed_view >= self.view.last_known_served);
            let after = self.history.last_index();
            self.install_state(&HistorySuffix { after, ..HistorySuffix::default() });
        } else {
            self.request_state_if_due();
        }
    }

    /// Whether this process is a replica of the chain that must still install the history of the view.
    fn lacks_state(&self) -> bool {
        let is_replica = self.view.position(self.identity).is_some();
        is_replica && self.state_transfer.installed_view < self.view.number && !self.is_sealed()
    }

    pub(super) fn request_state_if_due(&mut self) {
        let requested_at = self.state_transfer.requested_at;
        let is_due = requested_at.is_none_or(|requested_at| self.now >= requested_at + RETRY_AFTER);
        if is_due && self.lacks_state() && self.disk_healthy() {
            self.request_state();
        }
    }

    fn request_state(&mut self) {
        let Some(source) = self.view.source else { return };
        self.state_transfer.requested_at = Some(self.now);
        let after = self.commit_index;
        let assembly = self.state_transfer.assembly.get_or_insert_with(|| StreamAssembly::new(after));
        let (after, chunk) = (assembly.after, Some(assembly.next_request()));
        self.outbox.send(source.address, Message::StateRequest { view: self.view.number, after, chunk });
    }

    pub(super) fn on_state_request(
        &mut self, from: SocketAddr, view: u64, after: u64, chunk: Option<ChunkRequest>,
    ) {
        let has_state = self.state_transfer.installed_view == view && self.view.number == view;
        if !has_state || !self.view.has_member_at(from) {
            return;
        }
        let make_suffix = || self.history.suffix(after);
        let Some(request) = chunk else {
            let suffix = make_suffix();
            return self.outbox.send(from, Message::State { view, suffix });
        };
        let limits =
            ResponseLimits { chunk_bytes: self.settings.chunk_bytes, max_chunks: CHUNKS_PER_REQUEST };
        for chunk in self.state_transfer.streams.chunks(self.now, request, limits, make_suffix) {
            self.outbox.send(from, Message::StateChunk { view, chunk });
        }
    }

    pub(super) fn on_state(&mut self, view: u64, suffix: &HistorySuffix) {
        if self.expects_state(view) {
            self.install_state(suffix);
        }
    }

    pub(super) fn on_state_chunk(&mut self, from: SocketAddr, view: u64, chunk: &Chunk) {
        let is_from_source = self.view.source.is_some_and(|source| source.address == from);
        if !self.expects_state(view) || !is_from_source {
            return;
        }
        let Some(assembly) = self.state_transfer.assembly.as_mut() else { return };
        match assembly.add(chunk) {
            AssemblyProgress::Incomplete if chunk.is_last_of_response => self.request_state(),
            AssemblyProgress::Ignored | AssemblyProgress::Incomplete => {}
            AssemblyProgress::Complete(suffix) => self.install_state(&suffix),
            // The history is requested from the start once the next request is due.
            AssemblyProgress::Corrupt => self.state_transfer.assembly = None,
        }
    }

    fn expects_state(&self, view: u64) -> bool {
        view == self.view.number && self.lacks_state() && self.disk_healthy()
    }

    /// Installs a suffix from the source as the history of the current view.
    fn install_state(&mut self, suffix: &HistorySuffix) {
        let last_before = self.history.last();
        if !self.history.install(suffix) {
            debug_assert!(
                false,
                "cannot install a history that leaves a gap: {suffix:?} after {last_before:?}"
            );
            return;
        }
        let view = self.view.number;
        let installed_before = std::mem::replace(&mut self.state_transfer.installed_view, view);
        self.state_transfer.assembly = None;
        self.synced_index = self.synced_index.min(suffix.after);
        for record in Record::installation(installed_before, view, suffix) {
            self.append_record(&record);
        }
        self.journal.after_sync(Effect::StateInstalled { view, last_index: self.history.last_index() });
        if let Some(superseded) = last_before.filter(|header| !self.history.contains(header)) {
            self.outbox.log(LogEvent::EntrySuperseded(superseded));
        }
        self.commit_newest_if_held();
    }

    /// Handles the sync of a view's history.
    pub(super) fn on_state_installed(&mut self, view: u64, last_index: u64) {
        if view != self.state_transfer.installed_view {
            return;
        }
        self.state_transfer.synced_view = view;
        self.synced_index = last_index;
        if view == self.view.number {
            self.send_heartbeats();
            self.check_serving();
        }
    }

    pub(super) fn drop_idle_streams(&mut self) {
        self.state_transfer.streams.drop_idle(self.now);
        self.learner.streams.drop_idle(self.now);
    }

    /// Marks the view as serving if all replicas of its chain hold the history on disk.
    pub(super) fn check_serving(&mut self) {
        if self.state_transfer.is_serving || self.view.number == 0 || !self.view.may_serve() {
            return;
        }
        let view_number = self.view.number;
        let has_state = |replica: &MemberId| {
            if *replica == self.identity {
                return self.state_transfer.synced_view == view_number;
            }
            let latest = self.peers.last_heartbeat(replica.address);
            latest.is_some_and(|latest| latest.sender == *replica && latest.installed_view == view_number)
        };
        if self.view.chain.iter().all(has_state) {
            self.state_transfer.is_serving = true;
            self.outbox.log(LogEvent::Serving { view_number, chain_length: self.view.chain.len() });
            self.commit_if_tail();
            self.decide_changes();
            self.respond_to_confirmed_reads();
            self.drive_pending_requests();
        }
    }
}
