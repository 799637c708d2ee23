//! Taking over the history of a new view, and when a view serves.

use super::Replica;
use crate::entry::HistorySuffix;
use crate::history_stream::{Assembly, Chunk, ChunkRequest, Portion, Progress, Streams};
use crate::journal::Effect;
use crate::log_event::LogEvent;
use crate::message::Message;
use crate::record::Record;
use std::net::SocketAddr;
use std::time::Duration;

/// A request for the history is repeated after this.
const REQUEST_AGAIN: Duration = Duration::from_millis(250);

/// Pieces that are sent for one request: a link of 1 Gbit/s and 20 ms is well used, and its queue has room for more.
const PIECES_AT_ONCE: usize = 4;

/// Which view's history is held here.
#[derive(Debug, Default)]
pub struct Installation {
    /// The newest view whose history is held.
    pub installed: u64,
    /// The newest view whose history is held on disk.
    pub synced: u64,
    /// Whether all replicas of the present view's chain hold its history on disk.
    pub serving: bool,
    requested: Option<Duration>,
    assembly: Option<Assembly>,
    /// What was sent of the present view's history, which does not change before all replicas of the chain hold it.
    streams: Streams,
}

impl Installation {
    /// The history of this view was found on disk.
    pub fn new(installed: u64) -> Installation {
        Installation { installed, synced: installed, ..Installation::default() }
    }
}

impl Replica {
    /// Begins to take part in a view that was just agreed.
    pub(super) fn begin_installation(&mut self) {
        self.installation.serving = false;
        // What was received of a history stays: the source of this view goes on with it if it holds the same.
        self.installation.requested = None;
        // The histories of two views may differ, also where a receiver has begun with the one of the view before.
        self.installation.streams = Streams::default();
        if self.view.source == Some(self.identity) {
            debug_assert!(self.installation.installed >= self.view.last_known_served);
            let after = self.history.last_index();
            self.install(&HistorySuffix { after, ..HistorySuffix::default() });
        } else {
            self.install_when_due();
        }
    }

    fn lacks_history(&self) -> bool {
        self.view.position(self.identity).is_some()
            && self.installation.installed < self.view.number
            && !self.sealed()
    }

    pub(super) fn install_when_due(&mut self) {
        let due = self.installation.requested.is_none_or(|requested| self.now >= requested + REQUEST_AGAIN);
        if !due || !self.lacks_history() || !self.disk_healthy() {
            return;
        }
        self.request_history();
    }

    fn request_history(&mut self) {
        let Some(source) = self.view.source else { return };
        self.installation.requested = Some(self.now);
        let committed = self.committed;
        let assembly = self.installation.assembly.get_or_insert_with(|| Assembly::new(committed));
        let (after, chunk) = (assembly.after, Some(assembly.wanted()));
        self.send(source.address, Message::StateRequest { view: self.view.number, after, chunk });
    }

    pub(super) fn on_state_request(
        &mut self, from: SocketAddr, view: u64, after: u64, chunk: Option<ChunkRequest>,
    ) {
        let held = self.installation.installed == view && self.view.number == view;
        if !held || !self.view.has_member_at(from) {
            return;
        }
        let make = || self.history.suffix(after);
        let Some(wanted) = chunk else {
            let suffix = make();
            return self.send(from, Message::State { view, suffix });
        };
        let portion = Portion { chunk_bytes: self.settings.chunk_bytes, chunks: PIECES_AT_ONCE };
        for chunk in self.installation.streams.chunks(self.now, wanted, portion, make) {
            self.send(from, Message::StateChunk { view, chunk });
        }
    }

    pub(super) fn on_state(&mut self, view: u64, suffix: &HistorySuffix) {
        if self.takes_state(view) {
            self.install(suffix);
        }
    }

    pub(super) fn on_state_piece(&mut self, from: SocketAddr, view: u64, chunk: &Chunk) {
        let from_source = self.view.source.is_some_and(|source| source.address == from);
        if !self.takes_state(view) || !from_source {
            return;
        }
        let Some(assembly) = self.installation.assembly.as_mut() else { return };
        match assembly.take(chunk) {
            Progress::Continues if chunk.last => self.request_history(),
            Progress::Ignored | Progress::Continues => {}
            Progress::Complete(suffix) => self.install(&suffix),
            // Asked for anew once the request is due again.
            Progress::Broken => self.installation.assembly = None,
        }
    }

    fn takes_state(&self, view: u64) -> bool {
        view == self.view.number && self.lacks_history() && self.disk_healthy()
    }

    fn install(&mut self, suffix: &HistorySuffix) {
        let before = self.history.last();
        if !self.history.install(suffix) {
            debug_assert!(false, "a history that does not fit: {suffix:?} behind {before:?}");
            return;
        }
        let view = self.view.number;
        let installed = std::mem::replace(&mut self.installation.installed, view);
        self.installation.assembly = None;
        self.synced = self.synced.min(suffix.after);
        for record in Record::installation(installed, view, suffix) {
            self.record(&record);
        }
        self.journal.then(Effect::Installed { view, last_index: self.history.last_index() });
        if let Some(lost) = before.filter(|header| !self.history.holds(header)) {
            self.log(LogEvent::Superseded(lost));
        }
        self.catch_up_commit();
    }

    pub(super) fn on_installed(&mut self, view: u64, last_index: u64) {
        if view != self.installation.installed {
            return;
        }
        self.installation.synced = view;
        self.synced = last_index;
        if view == self.view.number {
            self.beat_all();
            self.check_serving();
        }
    }

    pub(super) fn drop_idle_streams(&mut self) {
        self.installation.streams.drop_idle(self.now);
        self.follower.streams.drop_idle(self.now);
    }

    /// Finds out whether all replicas of the chain hold the history.
    pub(super) fn check_serving(&mut self) {
        if self.installation.serving || self.view.number == 0 || !self.view.may_serve() {
            return;
        }
        let number = self.view.number;
        let holds = |replica: &crate::member::MemberId| {
            if *replica == self.identity {
                return self.installation.synced == number;
            }
            let beat = self.peers.beat(replica.address);
            beat.is_some_and(|beat| beat.sender == *replica && beat.installed_view == number)
        };
        if self.view.chain.iter().all(holds) {
            self.installation.serving = true;
            self.log(LogEvent::Serving { number, replicas: self.view.chain.len() });
            self.commit_when_tail();
            self.judge_changes();
            self.answer_reads();
            self.drive_calls();
        }
    }
}
