//! Begins and ends one trouble.

use crate::fleet::{Fleet, ProcessId};
use crate::link_proxy::{Link, LinkState};
use crate::operators::OperatorRequest;
use crate::schedule::{FaultKind, ScheduledFault};
use eyre::Result;
use lugwharf_emulator::cluster::Signal;
use lugwharf_emulator::fault::{Fault, Reachability};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

/// Requests at each server that meet a fault.
const REQUEST_FAULTS_PER_SERVER: usize = 3;

/// Bits that tell which half a machine is in.
const PARTITION_BITS: usize = 6;
/// Connections of a crowd: more than a proxy takes.
const CROWD_CONNECTIONS: usize = 90;
/// The rig waits no longer for one of them.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// A trouble that has begun, with what it was drawn for at that moment.
#[derive(Clone, Debug)]
pub struct ActiveFault {
    /// The trouble.
    pub fault: ScheduledFault,
    /// The control machine that it is for, and another one.
    control: usize,
    other: usize,
    front: usize,
    /// The agent of that front, or the control process that is hosted by it.
    agent: ProcessId,
    server: usize,
    /// All control machines as it began.
    controls: Vec<usize>,
    /// The machine that was added.
    added: Option<usize>,
    /// Connections that rest.
    crowd: Arc<Vec<TcpStream>>,
}

/// Whether a trouble is over, or has to be looked at again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// It is over.
    Complete,
    /// A process that was asked to end still runs.
    Pending,
}

impl ActiveFault {
    /// What the trouble is for, as things stand.
    pub fn new(fleet: &Fleet, fault: &ScheduledFault, fronts: usize) -> ActiveFault {
        let control = fleet.control(fault.target);
        let others: Vec<usize> = fleet.controls.iter().copied().filter(|index| *index != control).collect();
        ActiveFault {
            fault: fault.clone(),
            control,
            other: others[fault.peer % others.len()],
            front: fault.target % fronts,
            agent: fleet.agent(fault.target % fronts),
            server: fault.target % fleet.servers.len(),
            controls: fleet.controls.clone(),
            added: None,
            crowd: Arc::default(),
        }
    }

    /// Begins it. What it does to links is applied by [`apply_links`].
    pub async fn inject(
        &mut self, fleet: &mut Fleet, fronts: usize, requests: &UnboundedSender<OperatorRequest>,
    ) -> Result<()> {
        let control = ProcessId::Control(self.control);
        match self.fault.kind {
            FaultKind::ControlKill => fleet.kill(control)?,
            FaultKind::ControlTerm => fleet.terminate(control)?,
            FaultKind::ControlFreeze => fleet.pause(control)?,
            FaultKind::ControlWipe => {
                fleet.kill(control)?;
                fleet.cluster.wipe_control_disk(self.control)?;
            }
            FaultKind::ControlHerd => {
                self.controls.iter().try_for_each(|index| fleet.kill(ProcessId::Control(*index)))?;
            }
            FaultKind::ControlReplace => self.added = fleet.add_control()?,
            FaultKind::ProxyKill => fleet.kill(ProcessId::Proxy(self.front))?,
            FaultKind::AgentKill => fleet.kill(self.agent)?,
            FaultKind::FrontTerm => {
                self.front_units().into_iter().try_for_each(|process_id| fleet.terminate(process_id))?;
            }
            FaultKind::FrontFreeze => {
                self.front_units().into_iter().try_for_each(|process_id| fleet.pause(process_id))?;
            }
            FaultKind::ControlDescriptors => fleet.limit_descriptors(control, true)?,
            FaultKind::ProxyDescriptors => fleet.limit_descriptors(ProcessId::Proxy(self.front), true)?,
            FaultKind::AgentDescriptors => fleet.limit_descriptors(self.agent, true)?,
            FaultKind::Crowd => {
                self.crowd = open_idle_connections(fleet.cluster.front_address(self.front)).await
            }
            FaultKind::Reload => {
                fleet
                    .processes(fronts)
                    .into_iter()
                    .try_for_each(|process_id| fleet.signal(process_id, Signal::Reload))?;
            }
            FaultKind::PlatformDark => fleet.platform.set_reachability(Reachability::Blackholed),
            FaultKind::PlatformReset => fleet.platform.set_reachability(Reachability::Refusing),
            FaultKind::ServerCrash => fleet.crash_server(self.server).await,
            FaultKind::ServerDrain => fleet.drain_server(self.server),
            FaultKind::ServerDark => fleet.reach_server(self.server, Reachability::Blackholed),
            FaultKind::ServerFailing => fleet.fail_server(self.server, true),
            FaultKind::AnswersLost => fleet.inject(&Fault::DropResponse, REQUEST_FAULTS_PER_SERVER),
            FaultKind::AnswersGarbled => fleet.inject(&Fault::Garbage, REQUEST_FAULTS_PER_SERVER),
            FaultKind::AnswersSurplus => {
                fleet.inject(&Fault::SurplusResponse, REQUEST_FAULTS_PER_SERVER);
                fleet.inject(&Fault::WrongRequestId, 1);
            }
            FaultKind::StreamsCut => fleet
                .inject(&Fault::TruncateStream { after_events: 1, reset: true }, REQUEST_FAULTS_PER_SERVER),
            FaultKind::IdleRace => fleet.forget_connections(true),
            // Operators that have stopped wish for nothing more.
            FaultKind::ConfigRace => drop(requests.send(OperatorRequest::Race)),
            FaultKind::ConfigBurst => drop(requests.send(OperatorRequest::Burst)),
            FaultKind::PairSilent
            | FaultKind::PairReset
            | FaultKind::PairOneWay
            | FaultKind::PairSlow
            | FaultKind::Halves
            | FaultKind::Mute
            | FaultKind::AgentSilent
            | FaultKind::AgentDeaf
            | FaultKind::AgentReset => {}
        }
        Ok(())
    }

    /// Ends it, or tells that it has to be looked at again.
    pub async fn recover(&mut self, fleet: &mut Fleet) -> Result<Recovery> {
        let control = ProcessId::Control(self.control);
        match self.fault.kind {
            FaultKind::ControlKill | FaultKind::ControlWipe => fleet.release(control)?,
            FaultKind::ControlTerm => return restart(fleet, &[control]),
            FaultKind::ControlFreeze => fleet.resume(control)?,
            FaultKind::ControlHerd => {
                self.controls.iter().try_for_each(|index| fleet.release(ProcessId::Control(*index)))?;
            }
            FaultKind::ControlReplace => {
                if let Some(added) = self.added.take() {
                    fleet.cluster.terminate(&control.name())?;
                    fleet.replace_control(self.control, added);
                }
            }
            FaultKind::ProxyKill => fleet.release(ProcessId::Proxy(self.front))?,
            FaultKind::AgentKill => fleet.release(self.agent)?,
            FaultKind::FrontTerm => return restart(fleet, &self.front_units()),
            FaultKind::FrontFreeze => {
                self.front_units().into_iter().try_for_each(|process_id| fleet.resume(process_id))?;
            }
            FaultKind::ControlDescriptors => fleet.limit_descriptors(control, false)?,
            FaultKind::ProxyDescriptors => fleet.limit_descriptors(ProcessId::Proxy(self.front), false)?,
            FaultKind::AgentDescriptors => fleet.limit_descriptors(self.agent, false)?,
            FaultKind::Crowd => self.crowd = Arc::default(),
            FaultKind::PlatformDark | FaultKind::PlatformReset => {
                fleet.platform.set_reachability(Reachability::Serving)
            }
            FaultKind::ServerCrash => fleet.start_server(self.server).await?,
            FaultKind::ServerDrain => {
                fleet.crash_server(self.server).await;
                fleet.start_server(self.server).await?;
            }
            FaultKind::ServerDark => fleet.reach_server(self.server, Reachability::Serving),
            FaultKind::ServerFailing => fleet.fail_server(self.server, false),
            FaultKind::AnswersLost
            | FaultKind::AnswersGarbled
            | FaultKind::AnswersSurplus
            | FaultKind::StreamsCut => {
                fleet.clear_faults();
            }
            FaultKind::IdleRace => fleet.forget_connections(false),
            _ => {}
        }
        Ok(Recovery::Complete)
    }

    fn front_units(&self) -> [ProcessId; 2] {
        [ProcessId::Proxy(self.front), self.agent]
    }

    /// The links that it harms, and how.
    fn links(&self, fleet: &Fleet) -> Vec<(Link, LinkState)> {
        let address = |index: usize| fleet.cluster.control_bind_ip(index);
        let both = |one, other, state| vec![((one, other), state), ((other, one), state)];
        let (one, other) = (address(self.control), address(self.other));
        let agent = fleet.cluster.front_bind_ip(self.front);
        let all = || self.controls.iter().map(|index| address(*index));
        match self.fault.kind {
            FaultKind::PairSilent => both(one, other, LinkState::Blackholed),
            FaultKind::PairReset => both(one, other, LinkState::Reset),
            FaultKind::PairOneWay => vec![((one, other), LinkState::Blackholed)],
            FaultKind::PairSlow => {
                let delay = Duration::from_millis(20 + 4 * self.fault.peer as u64);
                both(one, other, LinkState::Delayed(delay))
            }
            FaultKind::Halves => {
                // Any division; where all would be on one side, the machine that the trouble is for is alone.
                let side =
                    |index: usize| (self.fault.target ^ self.fault.peer) >> (index % PARTITION_BITS) & 1;
                let is_whole = self.controls.iter().all(|index| side(*index) == side(self.control));
                let is_near = |index: &&usize| {
                    if is_whole { **index == self.control } else { side(**index) == side(self.control) }
                };
                let (near, far): (Vec<&usize>, Vec<&usize>) = self.controls.iter().partition(is_near);
                let pairs = near.iter().flat_map(|near| far.iter().map(move |far| (**near, **far)));
                pairs
                    .flat_map(|(near, far)| both(address(near), address(far), LinkState::Blackholed))
                    .collect()
            }
            FaultKind::Mute => {
                all().filter(|to| *to != one).map(|to| ((one, to), LinkState::Blackholed)).collect()
            }
            FaultKind::AgentSilent => both(agent, one, LinkState::Blackholed),
            FaultKind::AgentDeaf => all().map(|from| ((from, agent), LinkState::Blackholed)).collect(),
            FaultKind::AgentReset => all().flat_map(|to| both(agent, to, LinkState::Reset)).collect(),
            _ => Vec::new(),
        }
    }
}

/// Opens connections to a front that rest.
async fn open_idle_connections(front: SocketAddr) -> Arc<Vec<TcpStream>> {
    let mut crowd = Vec::new();
    for _ in 0..CROWD_CONNECTIONS {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(front)).await {
            crowd.push(stream);
        }
    }
    Arc::new(crowd)
}

/// Starts processes again that were asked to end, once all of them have.
fn restart(fleet: &mut Fleet, processes: &[ProcessId]) -> Result<Recovery> {
    let mut have_ended = true;
    for process_id in processes {
        have_ended &= fleet.has_ended(*process_id);
    }
    if !have_ended {
        return Ok(Recovery::Pending);
    }
    processes.iter().try_for_each(|process_id| fleet.release(*process_id))?;
    Ok(Recovery::Complete)
}

/// Brings the links into the state that all troubles that go on give them; the worst counts.
pub fn apply_link_faults(fleet: &Fleet, active: &[ActiveFault]) {
    fleet.links.open_all();
    let harms: Vec<(Link, LinkState)> = active.iter().flat_map(|active| active.links(fleet)).collect();
    let rank = |state: &LinkState| match state {
        LinkState::Open => 0,
        LinkState::Delayed(_) => 1,
        LinkState::Blackholed => 2,
        LinkState::Reset => 3,
    };
    let mut sorted = harms;
    sorted.sort_by_key(|(_, state)| rank(state));
    for (link, state) in sorted {
        fleet.links.set(link, state);
    }
}
