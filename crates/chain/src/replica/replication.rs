//! Entries down the chain, commits back up.

use super::Replica;
use crate::action::Action;
use crate::entry::{CommittedConfig, Entry, EntryHeader};
use crate::journal::Effect;
use crate::log_event::LogEvent;
use crate::member::MemberId;
use crate::message::Message;
use crate::record::Record;
use lugwharf_invariants::{Invariant, check};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An entry that the successor has not synced is sent again after this: three syncs on a disk 25 times slower than usual.
const REPLICATE_AGAIN: Duration = Duration::from_millis(400);

/// What is known of the successor in the chain.
#[derive(Debug, Default)]
pub struct Successor {
    /// All entries up to this one are on its disk.
    synced: u64,
    /// The entry that was sent last, and when.
    sent: Option<(u64, Duration)>,
}

impl Successor {
    /// Nothing is known of the successor in a new view.
    pub fn clear(&mut self) {
        *self = Successor::default();
    }
}

impl Replica {
    fn neighbour(&self, offset: isize) -> Option<MemberId> {
        let position = self.active_position()?.checked_add_signed(offset)?;
        self.view.chain.get(position).copied()
    }

    /// Adds an entry to the history. Returns whether it follows the last.
    pub(super) fn append(&mut self, entry: Entry) -> bool {
        let header = entry.header;
        if !self.history.append(entry.clone()) {
            return false;
        }
        self.record(&Record::Append { entry });
        self.journal.then(Effect::Appended { view: self.view.number, header });
        true
    }

    pub(super) fn on_appended(&mut self, view: u64, header: EntryHeader) {
        // Outside the chain a committed entry may have taken its place.
        if view != self.installation.installed || !self.history.holds(&header) {
            return;
        }
        self.synced = self.synced.max(header.index);
        if self.active_position().is_none() {
            return;
        }
        self.acknowledge();
        self.replicate();
        self.commit_when_tail();
    }

    /// Tells the predecessor how far the disk is.
    fn acknowledge(&mut self) {
        if let Some(predecessor) = self.neighbour(-1) {
            let message = Message::Replicated { view: self.view.number, index: self.synced };
            self.send(predecessor.address, message);
        }
    }

    /// Sends the successor the next entry that it lacks.
    fn replicate(&mut self) {
        let Some(successor) = self.neighbour(1) else { return };
        if !self.installation.serving || self.successor.synced >= self.synced {
            return;
        }
        // All entries but the last were committed in this view or held by the whole chain when it began to serve.
        let Some(entry) = self.history.entry(self.synced) else { return };
        self.successor.sent = Some((self.synced, self.now));
        self.send(successor.address, Message::Replicate { view: self.view.number, entry });
    }

    pub(super) fn replicate_when_due(&mut self) {
        let waits = self
            .successor
            .sent
            .is_some_and(|(index, sent)| index == self.synced && self.now < sent + REPLICATE_AGAIN);
        if self.synced <= self.committed || waits {
            return;
        }
        if let Some(successor) = self.neighbour(1) {
            let beat =
                self.peers.beat(successor.address).filter(|beat| beat.installed_view == self.view.number);
            self.successor.synced = self.successor.synced.max(beat.map_or(0, |beat| beat.synced_index));
            self.replicate();
        }
    }

    pub(super) fn on_replicate(&mut self, from: SocketAddr, view: u64, entry: Entry) {
        if view > self.view.number {
            self.send(from, Message::ViewRequest { above: self.view.number });
        }
        let predecessor = self.neighbour(-1).filter(|_| view == self.view.number);
        if predecessor.is_none_or(|predecessor| predecessor.address != from) {
            return;
        }
        if entry.header.index <= self.synced {
            return self.acknowledge();
        }
        if self.disk_healthy() && entry.header.digest.fits(&entry.bytes) {
            // An entry that does not follow is a repeat of one on its way to the disk.
            self.append(entry);
        }
    }

    pub(super) fn on_replicated(&mut self, from: SocketAddr, view: u64, index: u64) {
        let successor = self.neighbour(1).filter(|_| view == self.view.number);
        if successor.is_some_and(|successor| successor.address == from) {
            self.successor.synced = self.successor.synced.max(index);
        }
    }

    /// The tail commits what it has synced.
    pub(super) fn commit_when_tail(&mut self) {
        let commits = self.is_active_tail() && self.installation.serving && self.synced > self.committed;
        let Some(header) = self.history.header(self.synced).filter(|_| commits) else { return };
        let (replicas, fault_tolerance) = (self.view.chain.len(), self.view.fault_tolerance as usize);
        check(
            Invariant::AcknowledgedOnEnoughDisks,
            replicas > fault_tolerance && self.view.may_serve(),
            || {
                format!(
                    "{header:?} in view {} with {replicas} replicas, fault tolerance {fault_tolerance}",
                    self.view.number
                )
            },
        );
        self.commit(header);
        let addresses: Vec<SocketAddr> = self.peers.fresh_addresses(self.now);
        for address in addresses {
            self.send(address, Message::Committed { header });
        }
    }

    /// An entry of the history held here is committed.
    pub(super) fn commit(&mut self, header: EntryHeader) {
        if header.index <= self.committed {
            return;
        }
        self.committed = header.index;
        self.log(LogEvent::Committed(header));
        self.publish(header.index);
        self.finish_calls(header);
        self.judge_changes();
    }

    /// Makes a committed entry of the history known, if it is the newest.
    pub(super) fn publish(&mut self, index: u64) {
        let Some(header) = self.history.header(index) else { return };
        if self.newest_mark.is_none_or(|newest| newest.index < index) {
            self.newest_mark = Some(header);
        }
        if let Some(config) = self.history.config(index) {
            self.publish_config(config);
        }
    }

    fn publish_config(&mut self, config: CommittedConfig) {
        let newest = self.newest.as_deref();
        if let Some(same) = newest.filter(|newest| newest.version == config.version) {
            let version = config.version;
            check(Invariant::OneConfigurationPerVersion, same.bytes == config.bytes, || format!("{version}"));
        }
        if newest.is_some_and(|newest| newest.version >= config.version) {
            return;
        }
        let config = Arc::new(config);
        self.newest = Some(config.clone());
        self.out.push(Action::Committed { config });
        self.drive_calls();
    }

    /// Some process says that an entry is committed.
    pub(super) fn learn_commit(&mut self, from: SocketAddr, header: EntryHeader) {
        if self.newest_mark.is_none_or(|newest| newest.index < header.index) {
            self.newest_mark = Some(header);
        }
        self.catch_up_commit();
        self.finish_calls(header);
        if self.newest.as_ref().is_none_or(|newest| newest.version < header.version) {
            let above = self.newest.as_ref().map_or(0, |newest| newest.version);
            self.send(from, Message::ConfigRequest { above });
        }
        self.follow_newest();
    }

    /// Commits what is known to be committed and held here.
    pub(super) fn catch_up_commit(&mut self) {
        if let Some(header) = self.newest_mark.filter(|header| self.history.holds(header)) {
            self.commit(header);
        }
    }

    pub(super) fn on_config_request(&mut self, from: SocketAddr, above: u64) {
        if let Some(config) = self.newest.clone().filter(|config| config.version > above) {
            self.send(from, Message::Config { config: config.as_ref().clone() });
        }
    }

    pub(super) fn on_config(&mut self, config: CommittedConfig) {
        self.publish_config(config);
        self.follow_newest();
    }
}
