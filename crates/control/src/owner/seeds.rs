//! What is learned of control processes from seeds that are none.

use super::Owner;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Owner {
    /// The agent addresses of the seeds, as long as this process hears no other control process.
    pub(super) fn seeds_to_ask(&self) -> Vec<SocketAddr> {
        let hears_somebody = self.processes.hears_any(self.now());
        let agent_port = self.settings.internal_ports().agent;
        let others = self.settings.seeds.iter().filter(|seed| seed.ip() != self.me.ip());
        let addresses = others.map(|seed| SocketAddr::new(seed.ip(), agent_port));
        if hears_somebody { Vec::new() } else { addresses.collect() }
    }

    /// Calls on processes that a seed has named, beside the seeds.
    pub(super) fn learn_named(&mut self, agent_addresses: &[SocketAddr]) {
        let peer_port = self.settings.internal_ports().peer;
        let named = agent_addresses.iter().map(|address| SocketAddr::new(address.ip(), peer_port));
        let mut known: BTreeSet<SocketAddr> = super::seeds(&self.settings).into_iter().collect();
        known.extend(named.filter(|address| *address != self.me));
        self.replica.set_seeds(known.into_iter().collect());
    }
}
