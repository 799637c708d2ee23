//! Seeds that are no control processes: what they are told, and what is learned from them.

use super::Controller;
use crate::announcement::Announcement;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Controller {
    /// The control processes, for the seeds that are not among them. No seed is told anything where all are control processes
    /// that are heard.
    pub(super) fn announcement(&self) -> Announcement {
        let processes =
            self.process_directory.all(self.now(), self.local_address, &self.replica.status().members);
        let agent_port = self.settings.internal_ports().agent;
        let seeds = self.settings.seeds.iter().map(|seed| seed.ip());
        let others = seeds.filter(|seed| !processes.iter().any(|process| process.ip() == *seed));
        Announcement {
            seeds: others.map(|seed| SocketAddr::new(seed, agent_port)).collect(),
            control: self.agent_addresses(&processes),
        }
    }

    /// Calls on processes that a seed or another process has named, beside the seeds, where this process hears nobody.
    pub(super) fn learn_announced_processes(&mut self, agent_addresses: &[SocketAddr]) {
        if self.process_directory.has_recent_peer(self.now()) {
            return;
        }
        let peer_port = self.settings.internal_ports().peer;
        let named = agent_addresses.iter().map(|address| SocketAddr::new(address.ip(), peer_port));
        let mut known: BTreeSet<SocketAddr> = super::seeds(&self.settings).into_iter().collect();
        known.extend(named.filter(|address| *address != self.local_address));
        self.replica.set_seeds(known.into_iter().collect());
    }
}
