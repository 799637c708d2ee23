//! Replication of entries down the chain, and acknowledgements in the opposite direction (van Renesse and
//! Schneider, "Chain Replication for Supporting High Throughput and Availability", OSDI 2004).
//!
//! Each replica syncs an entry before it sends the entry to its successor, so the history of a replica is a
//! prefix of its predecessor's. At most one entry is uncommitted, so only the last synced one is ever sent.

use super::Replica;
use crate::entry::{Entry, EntryHeader};
use crate::journal::Effect;
use crate::member::MemberId;
use crate::message::Message;
use crate::record::Record;
use std::net::SocketAddr;
use std::time::Duration;

/// An entry that the successor has not acknowledged is sent again after this time, which covers three syncs
/// on a disk that is 25 times slower than usual.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(400);

/// The state of the successor in the chain.
#[derive(Debug, Default)]
pub struct Successor {
    /// The index up to which all entries are on the successor's disk.
    synced_index: u64,
    last_sent: Option<SentEntry>,
}

/// An entry that was sent to the successor.
#[derive(Debug)]
struct SentEntry {
    index: u64,
    sent_at: Duration,
}

impl Successor {
    /// Resets the state when a view is entered, since the successor may be a different replica.
    pub fn reset(&mut self) {
        *self = Successor::default();
    }
}

impl Replica {
    /// The replica at a distance along the chain, if this process participates in the view.
    fn chain_neighbor(&self, distance: isize) -> Option<MemberId> {
        let position = self.active_position()?.checked_add_signed(distance)?;
        self.view.chain.get(position).copied()
    }

    fn predecessor(&self) -> Option<MemberId> {
        self.chain_neighbor(-1)
    }

    fn successor(&self) -> Option<MemberId> {
        self.chain_neighbor(1)
    }

    /// Appends an entry to the history, if it directly follows the last one.
    pub(super) fn append_entry(&mut self, entry: Entry) {
        let header = entry.header;
        if self.history.append(entry.clone()) {
            self.append_record(&Record::Append { entry });
            self.journal.after_sync(Effect::EntrySynced { view: self.view.number, header });
        }
    }

    /// Handles the sync of an entry that was appended in a view.
    pub(super) fn on_entry_synced(&mut self, view: u64, header: EntryHeader) {
        // Outside the chain, the entry may have been replaced by a committed one.
        if view != self.state_transfer.installed_view || !self.history.contains(&header) {
            return;
        }
        self.synced_index = self.synced_index.max(header.index);
        if self.active_position().is_none() {
            return;
        }
        self.acknowledge();
        self.replicate();
        self.commit_if_tail();
    }

    /// Acknowledges the synced entries to the predecessor.
    fn acknowledge(&mut self) {
        if let Some(predecessor) = self.predecessor() {
            let message = Message::Replicated { view: self.view.number, index: self.synced_index };
            self.outbox.send(predecessor.address, message);
        }
    }

    /// Sends the last synced entry to the successor, unless the successor already has it.
    fn replicate(&mut self) {
        let Some(successor) = self.successor() else { return };
        if !self.state_transfer.is_serving || self.successor.synced_index >= self.synced_index {
            return;
        }
        // The successor already has all earlier entries: they were committed in this view, or the whole chain
        // held them when the view began to serve.
        let Some(entry) = self.history.entry(self.synced_index) else { return };
        self.successor.last_sent = Some(SentEntry { index: self.synced_index, sent_at: self.now });
        self.outbox.send(successor.address, Message::Replicate { view: self.view.number, entry });
    }

    pub(super) fn retransmit_if_due(&mut self) {
        let awaits_reply = self.successor.last_sent.as_ref().is_some_and(|sent| {
            sent.index == self.synced_index && self.now < sent.sent_at + RETRANSMIT_AFTER
        });
        if self.synced_index <= self.commit_index || awaits_reply {
            return;
        }
        if let Some(successor) = self.successor() {
            let heartbeat = self.peers.last_heartbeat(successor.address);
            let heartbeat = heartbeat.filter(|heartbeat| heartbeat.installed_view == self.view.number);
            let reported_index = heartbeat.map_or(0, |heartbeat| heartbeat.synced_index);
            self.successor.synced_index = self.successor.synced_index.max(reported_index);
            self.replicate();
        }
    }

    pub(super) fn on_replicate(&mut self, from: SocketAddr, view: u64, entry: Entry) {
        if view > self.view.number {
            self.outbox.send(from, Message::ViewRequest { above: self.view.number });
        }
        let predecessor = self.predecessor().filter(|_| view == self.view.number);
        if predecessor.is_none_or(|predecessor| predecessor.address != from) {
            return;
        }
        if entry.header.index <= self.synced_index {
            return self.acknowledge();
        }
        if self.disk_healthy() && entry.header.digest.matches_bytes(&entry.bytes) {
            // An entry that does not follow the last one is a duplicate of one that is being synced.
            self.append_entry(entry);
        }
    }

    pub(super) fn on_replicated(&mut self, from: SocketAddr, view: u64, index: u64) {
        let successor = self.successor().filter(|_| view == self.view.number);
        if successor.is_some_and(|successor| successor.address == from) {
            self.successor.synced_index = self.successor.synced_index.max(index);
        }
    }
}
