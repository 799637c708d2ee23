//! Finds other control processes through seeds that run none: determines what to announce to these seeds, and
//! uses what they reply.
//!
//! A seed is a machine listed in the settings (`Settings::seeds`; only the IP address is used here). It does
//! not have to host a replica. On a machine without one, the agent serves the agent port
//! (`agent/src/discovery.rs`), stores the announcements, and replies with the control processes that it
//! knows. (`gateway.rs` serves only the operator API there.) Announcements are sent by `announcement.rs`. A
//! control process that is taken for such a seed replies in `agent_requests.rs`.
//!
//! The term "seed" has two other uses. The seeds of the replica are the peer addresses that it contacts:
//! those from the settings and, temporarily, those learned from announcements. The seed of a random number
//! generator (`rng_seed`) is unrelated.
//!
//! Addresses are converted between the agent port and the peer port of a machine with the ports from the
//! settings of this process, because all hosts of a fleet use the same ports.

use super::Controller;
use super::state_machine_settings::replica_seeds;
use crate::message::Announcement;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Controller {
    /// Returns what to announce: the control processes that this process knows, and the seeds to announce
    /// them to. These are the seeds from the settings that are not among the known processes. There are none
    /// while all seeds run control processes that send messages.
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

    /// Makes the replica contact control processes that a seed or another process has announced, but only
    /// while this process receives no messages from any other. `control_agent_addresses` are the addresses of
    /// their agent ports.
    ///
    /// The seeds of the replica are set to those from the settings and the announced ones. The announced ones
    /// thus replace those of earlier announcements, and a reload of the settings discards them
    /// (`Controller::reload`).
    pub(super) fn contact_announced_processes(&mut self, control_agent_addresses: &[SocketAddr]) {
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
