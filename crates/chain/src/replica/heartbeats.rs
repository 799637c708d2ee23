//! Sends heartbeats, and handles those of other processes.

use super::Replica;
use crate::heartbeat::Heartbeat;
use crate::message::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// A heartbeat is sent to the members and to the processes from which one has arrived in every round, and to
/// all other known addresses in one of this many rounds.
const UNSEEN_PEER_ROUND_INTERVAL: u64 = 4;

/// The schedule of heartbeats.
#[derive(Debug, Default)]
pub struct HeartbeatSchedule {
    next_at: Duration,
    /// The number of rounds of heartbeats sent so far.
    rounds: u64,
}

impl Replica {
    /// Starts to participate, since the identity is on disk.
    pub(super) fn become_ready(&mut self) {
        self.is_ready = true;
        self.send_heartbeats();
    }

    pub(super) fn send_heartbeats_if_due(&mut self) {
        if self.now >= self.heartbeat_schedule.next_at {
            self.forget_inactive_peers();
            self.send_heartbeats();
        }
    }

    /// Makes heartbeats due at the next tick.
    pub(super) fn send_heartbeats_soon(&mut self) {
        self.heartbeat_schedule.next_at = self.now;
    }

    pub(super) fn send_heartbeats(&mut self) {
        self.heartbeat_schedule.next_at = self.now + self.settings.heartbeat_interval;
        self.heartbeat_schedule.rounds += 1;
        let includes_unseen = self.heartbeat_schedule.rounds % UNSEEN_PEER_ROUND_INTERVAL == 1;
        let is_due = |address: SocketAddr, was_seen: bool| {
            was_seen || includes_unseen || self.view.has_member_at(address)
        };
        let due = self.peers.addresses().filter(|(address, was_seen)| is_due(*address, *was_seen));
        let due: Vec<SocketAddr> = due.map(|(address, _)| address).collect();
        let heartbeat = self.heartbeat();
        for address in due {
            self.outbox.send(address, Message::Heartbeat(heartbeat.clone()));
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            sender: self.identity,
            incarnation: self.incarnation,
            may_bootstrap: self.bootstrap_seeds.is_some(),
            counts_for_quorum: self.settings.counts_for_quorum,
            view: self.view.number,
            installed_view: self.state_transfer.synced_view,
            sealed: self.is_sealed(),
            synced_index: self.synced_index,
            committed: self.newest_committed.header,
            durable_commit_index: Some(self.durable_commit_index()),
            is_leaving: self.is_leaving,
            disk_healthy: self.disk_healthy(),
            links: self.peers.links(self.now),
        }
    }

    /// Forgets inactive peers that are neither members nor seeds.
    fn forget_inactive_peers(&mut self) {
        let view = self.view.clone();
        let seeds = &self.settings.seeds;
        let is_permanent = |address| view.has_member_at(address) || seeds.contains(&address);
        self.peers.forget_inactive(self.now, is_permanent);
    }

    pub(super) fn on_heartbeat(&mut self, from: SocketAddr, heartbeat: Heartbeat) {
        let (view, committed) = (heartbeat.view, heartbeat.committed);
        if heartbeat.sender.address != from {
            return;
        }
        let is_new_incarnation = self.peers.record_heartbeat(from, heartbeat, self.now);
        if is_new_incarnation {
            // The reply tells a process that has just started that its link is bidirectional.
            let reply = Message::Heartbeat(self.heartbeat());
            self.outbox.send(from, reply);
        }
        if view > self.view.number {
            self.outbox.send(from, Message::ViewRequest { above: self.view.number });
        }
        self.check_serving();
        if let Some(header) = committed {
            self.on_committed(from, header);
        }
    }

    pub(super) fn on_view_request(&mut self, from: SocketAddr, above: u64) {
        if self.view.number > above {
            let view = self.view.as_ref().clone();
            self.outbox.send(from, Message::Decided { view });
        }
    }
}
