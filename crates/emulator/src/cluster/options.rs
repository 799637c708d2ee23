//! The machines of a cluster and the settings of their processes.

use std::net::SocketAddr;

/// Where the control processes run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlPlacement {
    /// On dedicated machines.
    #[default]
    Dedicated,
    /// On the first front-end nodes, hosted by their agents. The agents of the other nodes are gateways,
    /// which redirect callers of the operator's API.
    FrontEndNodes,
}

/// The machines of a cluster and the settings of their processes.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// The number of front-end nodes: machines with a proxy and an agent.
    pub front_ends: usize,
    /// The number of control machines.
    pub control_machines: usize,
    /// Where the control processes run. [`ControlPlacement::FrontEndNodes`] needs at least as many front-end
    /// nodes as control machines.
    pub placement: ControlPlacement,
    /// The number of voting control machines that may be lost at once (`[FaultTolerance]`).
    pub fault_tolerance: usize,
    /// The address of the platform API that lists the servers (`[Cloud]`).
    pub cloud: SocketAddr,
    /// Names and values in `[Bounds]` that replace or extend the defaults.
    pub bounds: Vec<(String, String)>,
    /// The arguments of every process, after its subcommand.
    pub arguments: Vec<String>,
    /// `MaxFds`: the number of file descriptors that each process may use.
    pub max_fds: usize,
    /// Whether the caller runs relays on the addresses of the machines, to delay and cut links. The processes
    /// then listen on and connect from other addresses (`Bind`).
    pub uses_relays: bool,
}
