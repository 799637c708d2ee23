//! Finds the other control processes through seeds that run none: what is announced to them, and what is learned.
//!
//! A seed is a machine that the settings list (`Settings::seeds`; only the IP address is used here). It need not host a
//! replica. On one that does not, the agent port is served by the agent (`agent/src/discovery.rs`), which stores what is announced to it and
//! replies with the control processes that it knows. (`gateway.rs` serves only the operator's API there.) The announcements
//! are sent by `announcement.rs`; a control process that is taken for such a seed answers in `agent_requests.rs`.
//!
//! Two other things are called seeds. The seeds of the replica are the peer addresses that it contacts: those of the
//! settings, and for a time the learned ones. The seed of a random generator (`rng_seed`) has nothing to do with either.
//!
//! Addresses are converted between the agent port and the peer port of a machine by the ports of this process's own settings,
//! since the port layout is the same on all hosts of a fleet.

use super::Controller;
use super::state_machine_settings::replica_seeds;
use crate::message::Announcement;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Controller {
    /// What to announce: the control processes that this one knows, and the seeds to send it to, which are those of the
    /// settings that are not among them. There are none while all seeds run control processes that send messages.
    pub(super) fn announcement(&self) -> Announcement {
        let members = self.replica.status().members;
        let processes = self.process_directory.all(self.now(), self.local_address, &members);
        let agent_port = self.settings.internal_ports().agent;
        let seed_ips = self.settings.seeds.iter().map(|seed| seed.ip());
        let without_control = seed_ips.filter(|ip| !processes.iter().any(|process| process.ip() == *ip));
        Announcement {
            seeds: without_control.map(|ip| SocketAddr::new(ip, agent_port)).collect(),
            control: self.control_agent_addresses(&processes),
        }
    }

    /// Has the replica contact control processes that a seed or another process has announced, while this process gets no
    /// messages from any. `control_agent_addresses` are the addresses of their agent ports.
    ///
    /// The seeds of the replica are built anew from those of the settings and the announced ones. So these replace the ones
    /// learned before, and a reload of the settings discards them (`Controller::reload`).
    pub(super) fn learn_announced_processes(&mut self, control_agent_addresses: &[SocketAddr]) {
        if self.process_directory.has_recent_peer(self.now()) {
            return;
        }
        let peer_port = self.settings.internal_ports().peer;
        let announced =
            control_agent_addresses.iter().map(|address| SocketAddr::new(address.ip(), peer_port));
        let mut all_seeds: BTreeSet<SocketAddr> = replica_seeds(&self.settings).into_iter().collect();
        all_seeds.extend(announced.filter(|address| *address != self.local_address));
        self.replica.set_seeds(all_seeds.into_iter().collect());
    }
}
