//! The records of a run that the checks read.

use crate::operator_log::OperatorLog;
use crate::persistent_clients::ConnectionLedger;
use crate::schedule::Schedule;
use crate::traffic::Attempt;
use lugwharf_emulator::request_log::RequestLog;
use std::net::SocketAddr;
use std::time::Duration;

/// A server that was listed as draining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainedServer {
    /// The instance id of the server.
    pub instance: String,
    /// When the server was listed as draining, since the start of the run.
    pub since: Duration,
}

/// The control that front-end nodes host; empty if there are dedicated control nodes.
#[derive(Clone, Debug, Default)]
pub struct HostedControl {
    /// The address at which the agent of each front-end node serves operators, by the index of the node.
    pub addresses: Vec<SocketAddr>,
    /// The number of front-end nodes that host a replica: the nodes with the lowest indices. The agents of
    /// the other nodes redirect operators to them.
    pub replica_count: usize,
}

impl HostedControl {
    /// The number of replicas that may fail at the same time while a majority remains.
    pub fn fault_tolerance(&self) -> usize {
        self.replica_count.saturating_sub(1) / 2
    }
}

/// The records of a run. All times are since the start of the run.
pub struct RunRecords<'a> {
    /// The faults, with the actual times of injection and recovery.
    pub schedule: &'a Schedule,
    /// The requests and orders that the servers received and executed.
    pub request_log: &'a RequestLog,
    /// The requests that the clients sent, with their outcomes.
    pub attempts: &'a [Attempt],
    /// The connections of the clients that use each until it is gone. Their requests are among `attempts`.
    pub connections: &'a [ConnectionLedger],
    /// The writes and reads of the operators, with their outcomes.
    pub operator_log: &'a OperatorLog,
    /// The log of the proxy of each front-end node.
    pub proxy_logs: &'a [String],
    /// The number of log lines about failed requests that the proxy of each front-end node has omitted.
    pub omitted_log_lines: &'a [u64],
    /// The servers that were listed as draining.
    pub drained_servers: &'a [DrainedServer],
    /// The number of front-end nodes.
    pub front_count: usize,
    /// The control that front-end nodes host.
    pub hosted_control: &'a HostedControl,
    /// When the fleet had recovered from all faults.
    pub recovered_at: Duration,
}
