//! Heartbeats, and what is learned from them.

use super::Replica;
use crate::heartbeat::Heartbeat;
use crate::message::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// An address that was never heard and is no member gets one heartbeat in this many.
const UNHEARD_ONE_IN: u64 = 4;

/// When heartbeats are due.
#[derive(Debug, Default)]
pub struct Contact {
    next_beat: Duration,
    beats: u64,
}

impl Replica {
    pub(super) fn become_ready(&mut self) {
        self.ready = true;
        self.beat_all();
    }

    pub(super) fn beat_when_due(&mut self) {
        if self.now >= self.contact.next_beat {
            self.forget_strangers();
            self.beat_all();
        }
    }

    /// Lets the next heartbeat go out with the next tick.
    pub(super) fn beat_soon(&mut self) {
        self.contact.next_beat = self.now;
    }

    pub(super) fn beat_all(&mut self) {
        self.contact.next_beat = self.now + self.settings.heartbeat_interval;
        self.contact.beats += 1;
        let all = self.contact.beats % UNHEARD_ONE_IN == 1;
        let wanted = |address: SocketAddr, heard: bool| heard || all || self.view.has_member_at(address);
        let addresses = self.peers.addresses().filter(|(address, heard)| wanted(*address, *heard));
        let addresses: Vec<SocketAddr> = addresses.map(|(address, _)| address).collect();
        let beat = self.heartbeat();
        for address in addresses {
            self.send(address, Message::Heartbeat(beat.clone()));
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            sender: self.identity,
            incarnation: self.incarnation,
            may_bootstrap: self.bootstrap_seeds.is_some(),
            counts_for_quorum: self.settings.counts_for_quorum,
            view: self.view.number,
            installed_view: self.installation.synced,
            sealed: self.sealed(),
            synced_index: self.synced,
            committed: self.newest_mark,
            durable_commit_index: Some(self.durable_commit_index()),
            is_leaving: self.leaving,
            disk_healthy: self.disk_healthy(),
            links: self.peers.links(self.now),
        }
    }

    fn forget_strangers(&mut self) {
        let view = self.view.clone();
        let seeds = &self.settings.seeds;
        self.peers.forget(self.now, |address| view.has_member_at(address) || seeds.contains(&address));
    }

    pub(super) fn on_heartbeat(&mut self, from: SocketAddr, beat: Heartbeat) {
        let (view, committed) = (beat.view, beat.committed);
        if beat.sender.address != from {
            return;
        }
        let started = self.peers.heard(from, beat, self.now);
        if started {
            let reply = Message::Heartbeat(self.heartbeat());
            self.send(from, reply);
        }
        if view > self.view.number {
            self.send(from, Message::ViewRequest { above: self.view.number });
        }
        self.check_serving();
        if let Some(header) = committed {
            self.learn_commit(from, header);
        }
    }

    pub(super) fn on_view_request(&mut self, from: SocketAddr, above: u64) {
        if self.view.number > above {
            let view = self.view.as_ref().clone();
            self.send(from, Message::Decided { view });
        }
    }
}
