//! Injects a scheduled fault into a fleet, and recovers from it.
//!
//! Faults of links have no action of their own: `link_faults` derives the state of all links from the active faults.

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

/// Requests at each server that meet a planned fault.
const REQUEST_FAULTS_PER_SERVER: usize = 3;
/// Idle connections of a crowd: more than a proxy accepts.
const CROWD_CONNECTIONS: usize = 90;
/// The harness waits no longer for one of them.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// A scheduled fault that is being injected, with the machines and servers that its draws selected.
///
/// The selection is made once, at the injection: later changes of the fleet do not move a fault.
#[derive(Debug)]
pub struct ActiveFault {
    /// The fault.
    pub fault: ScheduledFault,
    /// The control node that is hit.
    pub control_node: usize,
    /// Another control node, for faults between two.
    pub peer_control_node: usize,
    /// All control nodes at the injection.
    pub control_nodes: Vec<usize>,
    /// The front-end node that is hit.
    pub front: usize,
    /// The agent of that front-end node, or the control process that it hosts.
    agent: ProcessId,
    /// The server that is hit.
    server: usize,
    /// The control node that was added as a replacement.
    added_control_node: Option<usize>,
    /// The processes that stand still by turns.
    throttled: Vec<ProcessId>,
    /// The idle connections of a crowd.
    crowd: Vec<TcpStream>,
}

/// Whether the recovery of a fault is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryProgress {
    /// The fault is over.
    Complete,
    /// A process that was asked to terminate still runs; the recovery has to be tried again.
    Pending,
}

impl ActiveFault {
    /// Selects what the fault hits, among what the fleet has now.
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
            crowd: Vec::new(),
        }
    }

    /// The instance id of the server that the fault drains, if it drains one.
    pub fn drained_instance(&self, fleet: &Fleet) -> Option<String> {
        let drains = self.fault.kind == FaultKind::ServerDrain;
        drains.then(|| fleet.servers.instance_id(self.server).to_owned())
    }

    /// The processes that stand still by turns while the fault is active.
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
            | FaultKind::ControlFreeze
            | FaultKind::ControlWipe
            | FaultKind::ControlHerd
            | FaultKind::ControlReplace
            | FaultKind::ControlDescriptors
            | FaultKind::ControlDiskFull => self.inject_control_fault(fleet)?,
            FaultKind::ProxyKill
            | FaultKind::AgentKill
            | FaultKind::FrontTerm
            | FaultKind::FrontFreeze
            | FaultKind::ProxyDescriptors
            | FaultKind::AgentDescriptors
            | FaultKind::Crowd => self.inject_front_fault(fleet).await?,
            FaultKind::Reload => reload_all(fleet)?,
            FaultKind::PlatformDark
            | FaultKind::PlatformReset
            | FaultKind::ServerCrash
            | FaultKind::ServerDrain
            | FaultKind::ServerDark
            | FaultKind::ServerFailing
            | FaultKind::AnswersLost
            | FaultKind::AnswersGarbled
            | FaultKind::AnswersSurplus
            | FaultKind::StreamsCut
            | FaultKind::IdleRace
            | FaultKind::HigherToken => self.inject_server_fault(fleet).await,
            // Operators that have stopped take no requests, and none are needed any more.
            FaultKind::ConfigRace => drop(operators.send(OperatorRequest::RaceWrites)),
            FaultKind::ConfigBurst => drop(operators.send(OperatorRequest::BurstWrites)),
            FaultKind::PairSilent
            | FaultKind::PairReset
            | FaultKind::PairOneWay
            | FaultKind::PairSlow
            | FaultKind::Halves
            | FaultKind::Mute
            | FaultKind::AgentSilent
            | FaultKind::AgentDeaf
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
            FaultKind::ControlFreeze => fleet.pause(control),
            FaultKind::ControlWipe => {
                fleet.kill(control)?;
                Ok(fleet.cluster.wipe_control_disk(self.control_node)?)
            }
            FaultKind::ControlHerd => {
                self.control_nodes.iter().try_for_each(|index| fleet.kill(ProcessId::Control(*index)))
            }
            FaultKind::ControlReplace => {
                self.added_control_node = fleet.add_control_node()?;
                Ok(())
            }
            FaultKind::ControlDescriptors => fleet.limit_descriptors(control, DescriptorLimit::Exhausted),
            FaultKind::ControlDiskFull => fleet.limit_disk(control, DiskLimit::Full),
            // `inject` sends no other kind here.
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
            FaultKind::FrontFreeze => processes.try_for_each(|process_id| fleet.pause(process_id)),
            FaultKind::ProxyDescriptors => fleet.limit_descriptors(proxy, DescriptorLimit::Exhausted),
            FaultKind::AgentDescriptors => fleet.limit_descriptors(self.agent, DescriptorLimit::Exhausted),
            FaultKind::Crowd => {
                self.crowd = open_idle_connections(fleet.cluster.front_address(self.front)).await;
                Ok(())
            }
            // `inject` sends no other kind here.
            _ => Ok(()),
        }
    }

    async fn inject_server_fault(&self, fleet: &mut Fleet) {
        let servers = &mut fleet.servers;
        match self.fault.kind {
            FaultKind::PlatformDark => servers.platform.set_reachability(Reachability::Blackholed),
            FaultKind::PlatformReset => servers.platform.set_reachability(Reachability::Refusing),
            FaultKind::ServerCrash => servers.crash_server(self.server).await,
            FaultKind::ServerDrain => servers.drain_server(self.server),
            FaultKind::ServerDark => servers.set_server_reachability(self.server, Reachability::Blackholed),
            FaultKind::ServerFailing => servers.set_server_failing(self.server, true),
            FaultKind::AnswersLost => {
                servers.inject_request_fault(&Fault::DropResponse, REQUEST_FAULTS_PER_SERVER)
            }
            FaultKind::AnswersGarbled => {
                servers.inject_request_fault(&Fault::Garbage, REQUEST_FAULTS_PER_SERVER)
            }
            FaultKind::AnswersSurplus => {
                servers.inject_request_fault(&Fault::SurplusResponse, REQUEST_FAULTS_PER_SERVER);
                servers.inject_request_fault(&Fault::WrongRequestId, 1);
            }
            FaultKind::StreamsCut => servers.inject_request_fault(
                &Fault::TruncateStream { after_events: 1, reset: true },
                REQUEST_FAULTS_PER_SERVER,
            ),
            FaultKind::IdleRace => servers.set_drops_idle_connections(true),
            FaultKind::HigherToken => servers.order_as_stranger(self.server).await,
            // `inject` sends no other kind here.
            _ => {}
        }
    }

    /// Recovers from the fault, or says that recovery has to be tried again. The caller applies the link faults.
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
            // The successor remembers no token.
            FaultKind::HigherToken => {
                fleet.servers.crash_server(self.server).await;
                fleet.servers.start_server(self.server).await?;
            }
            FaultKind::ServerDrain => {
                fleet.servers.crash_server(self.server).await;
                fleet.servers.start_server(self.server).await?;
            }
            FaultKind::Crowd => self.crowd.clear(),
            FaultKind::PlatformDark | FaultKind::PlatformReset => {
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
            FaultKind::ControlKill | FaultKind::ControlWipe => fleet.release_stop(control),
            FaultKind::ControlFreeze => fleet.release_pause(control),
            FaultKind::ControlHerd => {
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
            FaultKind::FrontFreeze => {
                self.front_processes().into_iter().try_for_each(|process_id| fleet.release_pause(process_id))
            }
            FaultKind::ControlDescriptors => fleet.limit_descriptors(control, DescriptorLimit::Ample),
            FaultKind::ControlDiskFull => fleet.limit_disk(control, DiskLimit::Free),
            FaultKind::ProcessorQuota => fleet.release_throttle(&self.throttled),
            FaultKind::ProxyDescriptors => {
                fleet.limit_descriptors(ProcessId::Proxy(self.front), DescriptorLimit::Ample)
            }
            FaultKind::AgentDescriptors => fleet.limit_descriptors(self.agent, DescriptorLimit::Ample),
            // All other kinds leave processes as they are.
            _ => Ok(()),
        }
    }

    fn recover_servers(&self, fleet: &Fleet) {
        let servers = &fleet.servers;
        match self.fault.kind {
            FaultKind::ServerDark => servers.set_server_reachability(self.server, Reachability::Serving),
            FaultKind::ServerFailing => servers.set_server_failing(self.server, false),
            FaultKind::AnswersLost
            | FaultKind::AnswersGarbled
            | FaultKind::AnswersSurplus
            | FaultKind::StreamsCut => servers.clear_request_faults(),
            FaultKind::IdleRace => servers.set_drops_idle_connections(false),
            // All other kinds leave servers as they are.
            _ => {}
        }
    }

    fn front_processes(&self) -> [ProcessId; 2] {
        [ProcessId::Proxy(self.front), self.agent]
    }
}

/// Has all processes reload their settings.
fn reload_all(fleet: &mut Fleet) -> Result<()> {
    fleet.processes().into_iter().try_for_each(|process_id| fleet.signal(process_id, Signal::Reload))
}

/// Opens connections to a front-end node and sends nothing on them.
async fn open_idle_connections(front: SocketAddr) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    for _ in 0..CROWD_CONNECTIONS {
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
