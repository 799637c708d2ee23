//! Injects a scheduled fault into a fleet, and recovers from it.
//!
//! Link faults have no actions here: `link_faults` derives the state of all links from the active faults.

use crate::fault::{FaultKind, ScheduledFault};
use crate::fleet::{DescriptorLimit, DiskLimit, Fleet};
use crate::operators::OperatorRequest;
use crate::process_id::ProcessId;
use eyre::Result;
use lugwharf_emulator::cluster::Signal;
use lugwharf_emulator::fault::{Fault, Reachability};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

/// The number of requests at each server that a request fault affects.
const REQUEST_FAULTS_PER_SERVER: usize = 3;
/// The number of idle connections of a connection flood, above the limit of a proxy.
const FLOOD_CONNECTIONS: usize = 90;
/// The timeout of each connection attempt of a connection flood.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// A scheduled fault that is active, with the machines and servers that it affects.
///
/// The machines and servers are selected once, at the injection, so later changes of the fleet do not change
/// what a fault affects.
#[derive(Debug)]
pub struct ActiveFault {
    /// The scheduled fault.
    pub fault: ScheduledFault,
    /// The control node that the fault affects.
    pub control_node: usize,
    /// Another control node, for faults between two control nodes.
    pub peer_control_node: usize,
    /// All control nodes at the time of the injection.
    pub control_nodes: Vec<usize>,
    /// The front-end node that the fault affects.
    pub front: usize,
    /// The agent of that front-end node, or the control process that it hosts.
    agent: ProcessId,
    /// The server that the fault affects.
    server: usize,
    /// The control node that was added as a replacement.
    added_control_node: Option<usize>,
    /// The processes that are repeatedly stopped and continued.
    throttled: Vec<ProcessId>,
    /// The connections of a connection flood.
    idle_connections: Vec<TcpStream>,
}

/// Whether the recovery of a fault is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryProgress {
    /// The fault is over.
    Complete,
    /// A process that was asked to terminate is still running. The recovery must be retried.
    Pending,
}

impl ActiveFault {
    /// Selects the machines and the server that the fault affects, among those that the fleet has now.
    pub fn select(fleet: &Fleet, fault: &ScheduledFault) -> ActiveFault {
        let control_node = fleet.control_node(fault.target);
        let peers: Vec<usize> =
            fleet.control_nodes.iter().copied().filter(|index| *index != control_node).collect();
        let front = fault.target % fleet.front_count;
        let is_quota = fault.kind == FaultKind::ProcessorQuota;
        let throttled = [ProcessId::Control(control_node), ProcessId::Proxy(front), fleet.agent(front)];
        ActiveFault {
            fault: fault.clone(),
            control_node,
            // A fleet has at least three control nodes, and a replacement keeps their number.
            peer_control_node: peers[fault.peer % peers.len()],
            control_nodes: fleet.control_nodes.clone(),
            front,
            agent: fleet.agent(front),
            server: fault.target % fleet.servers.len(),
            added_control_node: None,
            throttled: throttled.into_iter().filter(|_| is_quota).collect(),
            idle_connections: Vec::new(),
        }
    }

    /// The instance id of the server that the fault drains; `None` for other kinds of faults.
    pub fn drained_instance(&self, fleet: &Fleet) -> Option<String> {
        let drains = self.fault.kind == FaultKind::ServerDrain;
        drains.then(|| fleet.servers.instance_id(self.server).to_owned())
    }

    /// The processes that are repeatedly stopped and continued while the fault is active.
    pub fn throttled(&self) -> &[ProcessId] {
        &self.throttled
    }

    /// Injects the fault. The caller applies the link faults.
    ///
    /// # Errors
    /// A process cannot be signalled or started.
    pub async fn inject(
        &mut self, fleet: &mut Fleet, operators: &UnboundedSender<OperatorRequest>,
    ) -> Result<()> {
        match self.fault.kind {
            FaultKind::ControlKill
            | FaultKind::ControlTerm
            | FaultKind::ControlPause
            | FaultKind::ControlDiskLoss
            | FaultKind::AllControlKill
            | FaultKind::ControlReplace
            | FaultKind::ControlDescriptorExhaustion
            | FaultKind::ControlDiskFull => self.inject_control_fault(fleet)?,
            FaultKind::ProxyKill
            | FaultKind::AgentKill
            | FaultKind::FrontTerm
            | FaultKind::FrontPause
            | FaultKind::ProxyDescriptorExhaustion
            | FaultKind::AgentDescriptorExhaustion
            | FaultKind::ConnectionFlood => self.inject_front_fault(fleet).await?,
            FaultKind::Reload => reload_all(fleet)?,
            FaultKind::SettingsChange => fleet.cluster.rotate_seeds_without_signal()?,
            FaultKind::PlatformBlackhole
            | FaultKind::PlatformReset
            | FaultKind::ServerCrash
            | FaultKind::ServerDrain
            | FaultKind::ServerBlackhole
            | FaultKind::ServerFailing
            | FaultKind::ResponsesLost
            | FaultKind::ResponsesMalformed
            | FaultKind::ResponsesUnmatched
            | FaultKind::StreamsTruncated
            | FaultKind::IdleConnectionRace
            | FaultKind::HigherFencingToken => self.inject_server_fault(fleet).await,
            // Sending fails if the operators have stopped; the run then needs no more writes.
            FaultKind::ConcurrentConfigWrites => drop(operators.send(OperatorRequest::RaceWrites)),
            FaultKind::ConfigWriteBurst => drop(operators.send(OperatorRequest::BurstWrites)),
            FaultKind::PairBlackhole
            | FaultKind::PairReset
            | FaultKind::PairOneWayBlackhole
            | FaultKind::PairLatency
            | FaultKind::ControlPartition
            | FaultKind::ControlOutboundBlackhole
            | FaultKind::AgentLinkBlackhole
            | FaultKind::AgentInboundBlackhole
            | FaultKind::AgentReset
            | FaultKind::ProcessorQuota => {}
        }
        Ok(())
    }

    fn inject_control_fault(&mut self, fleet: &mut Fleet) -> Result<()> {
        let control = ProcessId::Control(self.control_node);
        match self.fault.kind {
            FaultKind::ControlKill => fleet.kill(control),
            FaultKind::ControlTerm => fleet.terminate(control),
            FaultKind::ControlPause => fleet.pause(control),
            FaultKind::ControlDiskLoss => {
                fleet.kill(control)?;
                Ok(fleet.cluster.wipe_control_disk(self.control_node)?)
            }
            FaultKind::AllControlKill => {
                self.control_nodes.iter().try_for_each(|index| fleet.kill(ProcessId::Control(*index)))
            }
            FaultKind::ControlReplace => {
                self.added_control_node = fleet.add_control_node()?;
                Ok(())
            }
            FaultKind::ControlDescriptorExhaustion => {
                fleet.limit_descriptors(control, DescriptorLimit::Exhausted)
            }
            FaultKind::ControlDiskFull => fleet.limit_disk(control, DiskLimit::Full),
            // `inject` calls this function for no other kind.
            _ => Ok(()),
        }
    }

    async fn inject_front_fault(&mut self, fleet: &mut Fleet) -> Result<()> {
        let proxy = ProcessId::Proxy(self.front);
        let mut processes = self.front_processes().into_iter();
        match self.fault.kind {
            FaultKind::ProxyKill => fleet.kill(proxy),
            FaultKind::AgentKill => fleet.kill(self.agent),
            FaultKind::FrontTerm => processes.try_for_each(|process_id| fleet.terminate(process_id)),
            FaultKind::FrontPause => processes.try_for_each(|process_id| fleet.pause(process_id)),
            FaultKind::ProxyDescriptorExhaustion => {
                fleet.limit_descriptors(proxy, DescriptorLimit::Exhausted)
            }
            FaultKind::AgentDescriptorExhaustion => {
                fleet.limit_descriptors(self.agent, DescriptorLimit::Exhausted)
            }
            FaultKind::ConnectionFlood => {
                self.idle_connections = open_idle_connections(fleet.cluster.front_address(self.front)).await;
                Ok(())
            }
            // `inject` calls this function for no other kind.
            _ => Ok(()),
        }
    }

    async fn inject_server_fault(&self, fleet: &mut Fleet) {
        let servers = &mut fleet.servers;
        match self.fault.kind {
            FaultKind::PlatformBlackhole => servers.platform.set_reachability(Reachability::Blackholed),
            FaultKind::PlatformReset => servers.platform.set_reachability(Reachability::Refusing),
            FaultKind::ServerCrash => servers.crash_server(self.server).await,
            FaultKind::ServerDrain => servers.drain_server(self.server),
            FaultKind::ServerBlackhole => {
                servers.set_server_reachability(self.server, Reachability::Blackholed)
            }
            FaultKind::ServerFailing => servers.set_server_failing(self.server, true),
            FaultKind::ResponsesLost => {
                servers.inject_request_fault(&Fault::DropResponse, REQUEST_FAULTS_PER_SERVER)
            }
            FaultKind::ResponsesMalformed => {
                servers.inject_request_fault(&Fault::Garbage, REQUEST_FAULTS_PER_SERVER)
            }
            FaultKind::ResponsesUnmatched => {
                servers.inject_request_fault(&Fault::SurplusResponse, REQUEST_FAULTS_PER_SERVER);
                servers.inject_request_fault(&Fault::WrongRequestId, 1);
            }
            FaultKind::StreamsTruncated => servers.inject_request_fault(
                &Fault::TruncateStream { after_events: 1, reset: true },
                REQUEST_FAULTS_PER_SERVER,
            ),
            FaultKind::IdleConnectionRace => servers.set_drops_idle_connections(true),
            FaultKind::HigherFencingToken => servers.send_foreign_order(self.server).await,
            // `inject` calls this function for no other kind.
            _ => {}
        }
    }

    /// Recovers from the fault, or returns that the recovery must be retried. The caller applies the link
    /// faults.
    ///
    /// # Errors
    /// A process or server cannot be signalled or started.
    pub async fn recover(&mut self, fleet: &mut Fleet) -> Result<RecoveryProgress> {
        match self.fault.kind {
            FaultKind::ControlTerm => {
                return restart_once_exited(fleet, &[ProcessId::Control(self.control_node)]);
            }
            FaultKind::FrontTerm => return restart_once_exited(fleet, &self.front_processes()),
            FaultKind::ServerCrash => fleet.servers.start_server(self.server).await?,
            // The new instance has not seen the higher token.
            FaultKind::HigherFencingToken => {
                fleet.servers.crash_server(self.server).await;
                fleet.servers.start_server(self.server).await?;
            }
            FaultKind::ServerDrain => {
                fleet.servers.crash_server(self.server).await;
                fleet.servers.start_server(self.server).await?;
            }
            FaultKind::ConnectionFlood => self.idle_connections.clear(),
            FaultKind::PlatformBlackhole | FaultKind::PlatformReset => {
                fleet.servers.platform.set_reachability(Reachability::Serving);
            }
            _ => {
                self.recover_processes(fleet)?;
                self.recover_servers(fleet);
            }
        }
        Ok(RecoveryProgress::Complete)
    }

    fn recover_processes(&mut self, fleet: &mut Fleet) -> Result<()> {
        let control = ProcessId::Control(self.control_node);
        match self.fault.kind {
            FaultKind::ControlKill | FaultKind::ControlDiskLoss => fleet.release_stop(control),
            FaultKind::ControlPause => fleet.release_pause(control),
            FaultKind::AllControlKill => {
                self.control_nodes.iter().try_for_each(|index| fleet.release_stop(ProcessId::Control(*index)))
            }
            FaultKind::ControlReplace => {
                if let Some(added) = self.added_control_node.take() {
                    fleet.cluster.terminate(&control.name())?;
                    fleet.replace_control_node(self.control_node, added);
                }
                Ok(())
            }
            FaultKind::ProxyKill => fleet.release_stop(ProcessId::Proxy(self.front)),
            FaultKind::AgentKill => fleet.release_stop(self.agent),
            FaultKind::FrontPause => {
                self.front_processes().into_iter().try_for_each(|process_id| fleet.release_pause(process_id))
            }
            FaultKind::ControlDescriptorExhaustion => {
                fleet.limit_descriptors(control, DescriptorLimit::Sufficient)
            }
            FaultKind::ControlDiskFull => fleet.limit_disk(control, DiskLimit::Unlimited),
            FaultKind::ProcessorQuota => fleet.release_throttle(&self.throttled),
            FaultKind::ProxyDescriptorExhaustion => {
                fleet.limit_descriptors(ProcessId::Proxy(self.front), DescriptorLimit::Sufficient)
            }
            FaultKind::AgentDescriptorExhaustion => {
                fleet.limit_descriptors(self.agent, DescriptorLimit::Sufficient)
            }
            // All other kinds need no recovery of processes.
            _ => Ok(()),
        }
    }

    fn recover_servers(&self, fleet: &Fleet) {
        let servers = &fleet.servers;
        match self.fault.kind {
            FaultKind::ServerBlackhole => servers.set_server_reachability(self.server, Reachability::Serving),
            FaultKind::ServerFailing => servers.set_server_failing(self.server, false),
            FaultKind::ResponsesLost
            | FaultKind::ResponsesMalformed
            | FaultKind::ResponsesUnmatched
            | FaultKind::StreamsTruncated => servers.clear_request_faults(),
            FaultKind::IdleConnectionRace => servers.set_drops_idle_connections(false),
            // All other kinds need no recovery of servers.
            _ => {}
        }
    }

    fn front_processes(&self) -> [ProcessId; 2] {
        [ProcessId::Proxy(self.front), self.agent]
    }
}

/// Makes all processes reload their settings.
fn reload_all(fleet: &mut Fleet) -> Result<()> {
    fleet.processes().into_iter().try_for_each(|process_id| fleet.signal(process_id, Signal::Reload))
}

/// Opens connections to a front-end node without sending anything on them.
async fn open_idle_connections(front: SocketAddr) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    for _ in 0..FLOOD_CONNECTIONS {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(front)).await {
            connections.push(stream);
        }
    }
    connections
}

/// Restarts processes that were asked to terminate, once all of them have exited.
fn restart_once_exited(fleet: &mut Fleet, processes: &[ProcessId]) -> Result<RecoveryProgress> {
    let mut have_exited = true;
    for process_id in processes {
        have_exited &= fleet.has_exited(*process_id);
    }
    if !have_exited {
        return Ok(RecoveryProgress::Pending);
    }
    processes.iter().try_for_each(|process_id| fleet.release_stop(*process_id))?;
    Ok(RecoveryProgress::Complete)
}
