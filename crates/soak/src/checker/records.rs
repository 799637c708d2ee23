//! The records of a run that the checks read.

use crate::operator_log::OperatorLog;
use crate::schedule::Schedule;
use crate::traffic::Attempt;
use lugwharf_emulator::request_log::RequestLog;
use std::net::SocketAddr;
use std::time::Duration;

/// A server that was listed as draining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainedServer {
    /// The id of the incarnation.
    pub instance: String,
    /// When it was listed as draining, since the start of the environment.
    pub since: Duration,
}

/// What the agents of front-end nodes serve operators, where there are no machines for control; nothing elsewhere.
#[derive(Clone, Debug, Default)]
pub struct HostedControl {
    /// Where the agent of each front-end node serves operators, by index.
    pub addresses: Vec<SocketAddr>,
    /// How many of them host a replica, from the first one on; the others forward.
    pub replica_count: usize,
}

impl HostedControl {
    /// The replicas that may be lost at a time while a majority is left.
    pub fn fault_tolerance(&self) -> usize {
        self.replica_count.saturating_sub(1) / 2
    }
}

/// The records of a run. All times are since the start of the environment.
pub struct RunRecords<'a> {
    /// The faults, with the times at which they were injected and recovered from in fact.
    pub schedule: &'a Schedule,
    /// What the servers received and executed.
    pub request_log: &'a RequestLog,
    /// What the clients sent and received.
    pub attempts: &'a [Attempt],
    /// What the operators sent and received.
    pub operator_log: &'a OperatorLog,
    /// The log of each front-end node's proxy.
    pub proxy_logs: &'a [String],
    /// Lines about failed requests that each front-end node's proxy has omitted.
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
