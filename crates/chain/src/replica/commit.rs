//! Commits entries and announces commits to other processes.
//!
//! The tail commits the entries that it has synced and announces them to all live peers. Announcements and
//! configurations that are lost are recovered through heartbeats, which carry the header of the newest
//! committed entry.

use super::Replica;
use crate::action::Action;
use crate::entry::{CommittedConfig, EntryHeader};
use crate::log_event::LogEvent;
use crate::message::Message;
use lugwharf_invariants::{Invariant, check};
use std::net::SocketAddr;
use std::sync::Arc;

/// The newest committed entry that this process knows. It may be ahead of this process's own history.
#[derive(Debug, Default)]
pub struct NewestCommitted {
    /// The header of the newest committed entry.
    pub header: Option<EntryHeader>,
    /// The newest committed configuration. Older than `header` until the configuration of that entry has been
    /// fetched.
    pub config: Option<Arc<CommittedConfig>>,
}

impl NewestCommitted {
    /// The index of the newest committed entry, 0 for none.
    pub fn index(&self) -> u64 {
        self.header.map_or(0, |header| header.index)
    }

    /// The version of the newest committed configuration, 0 for none.
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    fn record_header(&mut self, header: EntryHeader) {
        if self.header.is_none_or(|newest| newest.index < header.index) {
            self.header = Some(header);
        }
    }
}

impl Replica {
    /// Commits the last synced entry, if this process is the tail of a serving view.
    pub(super) fn commit_if_tail(&mut self) {
        let has_uncommitted = self.synced_index > self.commit_index;
        let commits = self.is_active_tail() && self.state_transfer.is_serving && has_uncommitted;
        let Some(header) = self.history.header(self.synced_index).filter(|_| commits) else { return };
        let (replicas, fault_tolerance) = (self.view.chain.len(), self.view.fault_tolerance as usize);
        let is_durable = replicas > fault_tolerance && self.view.may_serve();
        check(Invariant::AcknowledgedOnEnoughDisks, is_durable, || {
            let number = self.view.number;
            format!("{header:?} in view {number} with {replicas} replicas, fault tolerance {fault_tolerance}")
        });
        self.commit(header);
        let addresses: Vec<SocketAddr> = self.peers.live_addresses(self.now);
        for address in addresses {
            self.outbox.send(address, Message::Committed { header });
        }
    }

    /// Records that an entry of this process's history and all entries before it are committed.
    pub(super) fn commit(&mut self, header: EntryHeader) {
        if header.index <= self.commit_index {
            return;
        }
        self.commit_index = header.index;
        self.outbox.log(LogEvent::EntryCommitted(header));
        self.publish(header.index);
        self.accept_pending_submits(header);
        self.decide_changes();
    }

    /// Publishes a committed entry of the history, if it is the newest one.
    pub(super) fn publish(&mut self, index: u64) {
        let Some(header) = self.history.header(index) else { return };
        self.newest_committed.record_header(header);
        if let Some(config) = self.history.config(index) {
            self.publish_config(config);
        }
    }

    fn publish_config(&mut self, config: CommittedConfig) {
        let newest = self.newest_committed.config.as_deref();
        if let Some(same_version) = newest.filter(|newest| newest.version == config.version) {
            let is_same = same_version.bytes == config.bytes;
            check(Invariant::OneConfigurationPerVersion, is_same, || format!("{}", config.version));
        }
        if newest.is_some_and(|newest| newest.version >= config.version) {
            return;
        }
        let config = Arc::new(config);
        self.newest_committed.config = Some(config.clone());
        self.outbox.push(Action::Committed { config });
        self.drive_pending_requests();
    }

    /// Handles another process's announcement that an entry is committed.
    pub(super) fn on_committed(&mut self, from: SocketAddr, header: EntryHeader) {
        self.newest_committed.record_header(header);
        self.commit_newest_if_held();
        self.accept_pending_submits(header);
        let newest = self.newest_committed.config.as_ref();
        if newest.is_none_or(|newest| newest.version < header.version) {
            let above = self.newest_committed.config_version();
            self.outbox.send(from, Message::ConfigRequest { above });
        }
        self.append_newest_committed();
    }

    /// Commits the newest committed entry, if this process's history contains it.
    pub(super) fn commit_newest_if_held(&mut self) {
        if let Some(header) = self.newest_committed.header.filter(|header| self.history.contains(header)) {
            self.commit(header);
        }
    }

    pub(super) fn on_config_request(&mut self, from: SocketAddr, above: u64) {
        let newest = self.newest_committed.config.clone();
        if let Some(config) = newest.filter(|config| config.version > above) {
            self.outbox.send(from, Message::Config { config: config.as_ref().clone() });
        }
    }

    pub(super) fn on_config(&mut self, config: CommittedConfig) {
        self.publish_config(config);
        self.append_newest_committed();
    }
}
