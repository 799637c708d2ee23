//! What a cluster consists of.

use std::net::SocketAddr;

/// Where the control processes run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlPlacement {
    /// On machines of its own.
    #[default]
    Dedicated,
    /// On the first front-end nodes, hosted by their agents; the agents of the others forward callers of control (gateways).
    FrontEndNodes,
}

/// The machines of a cluster and the settings of their processes.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Front-end nodes: machines with a proxy and an agent.
    pub front_ends: usize,
    /// Control machines.
    pub control_machines: usize,
    /// Where the control processes run. [`ControlPlacement::FrontEndNodes`]
    /// needs at least as many front-end nodes as control machines.
    pub placement: ControlPlacement,
    /// Voting control machines that may be lost at once (`[FaultTolerance]`).
    pub fault_tolerance: usize,
    /// Where the platform lists servers (`[Cloud]`).
    pub cloud: SocketAddr,
    /// Lines `Name = value` of `[Bounds]`, in place of the defaults.
    pub bounds: Vec<(String, String)>,
    /// Arguments of every process after its subcommand.
    pub arguments: Vec<String>,
    /// `MaxFds`: file descriptors that each process may use.
    pub max_fds: usize,
    /// Whether the caller runs relays on the machines' addresses, to delay and cut links: processes then listen on, and connect
    /// from, other addresses (`Bind`).
    pub uses_relays: bool,
}
