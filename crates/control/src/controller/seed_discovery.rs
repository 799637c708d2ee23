//! Seeds that run no control process: what is announced to them, and what is learned from their replies.

use super::Controller;
use super::state_machine_settings::seeds;
use crate::message::Announcement;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Controller {
    /// The control processes, for the seeds that are not among them. There are no such seeds while all seeds run control
    /// processes that send messages.
    pub(super) fn announcement(&self) -> Announcement {
        let members = self.replica.status().members;
        let processes = self.process_directory.all(self.now(), self.local_address, &members);
        let agent_port = self.settings.internal_ports().agent;
        let seeds = self.settings.seeds.iter().map(|seed| seed.ip());
        let others = seeds.filter(|seed| !processes.iter().any(|process| process.ip() == *seed));
        Announcement {
            seeds: others.map(|seed| SocketAddr::new(seed, agent_port)).collect(),
            control: self.agent_addresses(&processes),
        }
    }

    /// Adds processes that a seed or another process has announced to the seeds of the replica, while this process gets no
    /// messages from any.
    pub(super) fn learn_announced_processes(&mut self, agent_addresses: &[SocketAddr]) {
        if self.process_directory.has_recent_peer(self.now()) {
            return;
        }
        let peer_port = self.settings.internal_ports().peer;
        let announced = agent_addresses.iter().map(|address| SocketAddr::new(address.ip(), peer_port));
        let mut known: BTreeSet<SocketAddr> = seeds(&self.settings).into_iter().collect();
        known.extend(announced.filter(|address| *address != self.local_address));
        self.replica.set_seeds(known.into_iter().collect());
    }
}
