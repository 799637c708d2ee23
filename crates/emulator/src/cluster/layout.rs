//! The addresses of the machines of a cluster.

use super::{Cluster, ControlPlacement, ports};
use std::net::{Ipv4Addr, SocketAddr};

impl Cluster {
    /// The address on which a front-end node accepts clients.
    pub fn front_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.subnet.front(index), ports::FRONT))
    }

    /// The addresses on which the front-end nodes accept clients.
    pub fn front_addresses(&self) -> Vec<SocketAddr> {
        (0..self.options.front_ends).map(|index| self.front_address(index)).collect()
    }

    /// The address on which a front-end node answers readiness checks.
    pub fn ready_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.subnet.front(index), ports::READY))
    }

    /// The address on which a control machine serves the operator's API.
    pub fn control_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.control_ip(index), ports::CONTROL))
    }

    /// The address on which the agent of a front-end node redirects callers of the operator's API, if control
    /// runs on front-end nodes.
    pub fn gateway_address(&self, front: usize) -> SocketAddr {
        SocketAddr::from((self.subnet.front(front), ports::CONTROL))
    }

    /// The gateways: [`Cluster::gateway_address`] of every front-end node that hosts no control process.
    pub fn gateway_addresses(&self) -> Vec<SocketAddr> {
        let gateways = match self.options.placement {
            ControlPlacement::Dedicated => 0..0,
            ControlPlacement::FrontEndNodes => self.options.control_machines..self.options.front_ends,
        };
        gateways.map(|front| self.gateway_address(front)).collect()
    }

    /// The public address of a control machine.
    pub(super) fn control_ip(&self, index: usize) -> Ipv4Addr {
        match self.options.placement {
            ControlPlacement::Dedicated => self.subnet.control(index),
            ControlPlacement::FrontEndNodes => self.subnet.front(index),
        }
    }

    /// Whether the agent of a front-end node hosts a control process.
    pub fn hosts_control(&self, front: usize) -> bool {
        self.options.placement == ControlPlacement::FrontEndNodes && front < self.options.control_machines
    }

    /// The address of an emulated server. Nothing else on this host gets the address while the server is
    /// down.
    pub fn server_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.subnet.server(index), ports::SERVER))
    }

    /// The address on which the processes of a control machine listen and from which they connect.
    pub fn control_bind_ip(&self, index: usize) -> Ipv4Addr {
        match (self.options.placement, self.options.uses_relays) {
            (ControlPlacement::Dedicated, true) => self.subnet.control_behind_relay(index),
            (ControlPlacement::Dedicated, false) => self.subnet.control(index),
            (ControlPlacement::FrontEndNodes, _) => self.front_bind_ip(index),
        }
    }

    /// The address on which the processes of a front-end node listen and from which they connect.
    pub fn front_bind_ip(&self, index: usize) -> Ipv4Addr {
        if self.options.uses_relays {
            self.subnet.front_behind_relay(index)
        } else {
            self.subnet.front(index)
        }
    }

    /// The addresses of the relays of a control machine, as pairs of public and bound address: for the
    /// operator's API, for peers and for agents.
    pub fn relay_addresses(&self, index: usize) -> [(SocketAddr, SocketAddr); 3] {
        let (public, bound) = (self.control_ip(index), self.control_bind_ip(index));
        [ports::CONTROL, ports::INTERNAL_FIRST, ports::INTERNAL_FIRST + 1]
            .map(|port| (SocketAddr::from((public, port)), SocketAddr::from((bound, port))))
    }

    /// The addresses on which a control machine accepts internal traffic: from peers, and from agents.
    pub fn internal_addresses(&self, index: usize) -> [SocketAddr; 2] {
        [0, 1].map(|offset| SocketAddr::from((self.control_ip(index), ports::INTERNAL_FIRST + offset)))
    }
}
