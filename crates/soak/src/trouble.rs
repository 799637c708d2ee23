//! Begins and ends one trouble.

use crate::fleet::{Fleet, Unit};
use crate::operators::Wish;
use crate::relay::{Link, LinkState};
use crate::schedule::{Kind, Trouble};
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
const FAULTS_EACH: usize = 3;

/// Bits that tell which half a machine is in.
const SIDES: usize = 6;
/// Connections of a crowd: more than a proxy takes.
const CROWD: usize = 90;
/// The rig waits no longer for one of them.
const CONNECT_WITHIN: Duration = Duration::from_millis(20);

/// A trouble that has begun, with what it was drawn for at that moment.
#[derive(Clone, Debug)]
pub struct Active {
    /// The trouble.
    pub trouble: Trouble,
    /// The control machine that it is for, and another one.
    control: usize,
    other: usize,
    front: usize,
    /// The agent of that front, or the control process that is hosted by it.
    agent: Unit,
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
pub enum End {
    /// It is over.
    Over,
    /// A process that was asked to end still runs.
    Again,
}

impl Active {
    /// What the trouble is for, as things stand.
    pub fn new(fleet: &Fleet, trouble: &Trouble, fronts: usize) -> Active {
        let control = fleet.control(trouble.target);
        let others: Vec<usize> = fleet.controls.iter().copied().filter(|index| *index != control).collect();
        Active {
            trouble: trouble.clone(),
            control,
            other: others[trouble.other % others.len()],
            front: trouble.target % fronts,
            agent: fleet.agent(trouble.target % fronts),
            server: trouble.target % fleet.servers.len(),
            controls: fleet.controls.clone(),
            added: None,
            crowd: Arc::default(),
        }
    }

    /// Begins it. What it does to links is applied by [`apply_links`].
    pub async fn begin(
        &mut self, fleet: &mut Fleet, fronts: usize, wishes: &UnboundedSender<Wish>,
    ) -> Result<()> {
        let control = Unit::Control(self.control);
        match self.trouble.kind {
            Kind::ControlKill => fleet.kill(control)?,
            Kind::ControlTerm => fleet.terminate(control)?,
            Kind::ControlFreeze => fleet.freeze(control)?,
            Kind::ControlWipe => {
                fleet.kill(control)?;
                fleet.cluster.wipe_control_disk(self.control)?;
            }
            Kind::ControlHerd => {
                self.controls.iter().try_for_each(|index| fleet.kill(Unit::Control(*index)))?;
            }
            Kind::ControlReplace => self.added = fleet.add_control()?,
            Kind::ProxyKill => fleet.kill(Unit::Proxy(self.front))?,
            Kind::AgentKill => fleet.kill(self.agent)?,
            Kind::FrontTerm => {
                self.front_units().into_iter().try_for_each(|unit| fleet.terminate(unit))?;
            }
            Kind::FrontFreeze => {
                self.front_units().into_iter().try_for_each(|unit| fleet.freeze(unit))?;
            }
            Kind::ControlDescriptors => fleet.limit_descriptors(control, true)?,
            Kind::ProxyDescriptors => fleet.limit_descriptors(Unit::Proxy(self.front), true)?,
            Kind::AgentDescriptors => fleet.limit_descriptors(self.agent, true)?,
            Kind::Crowd => self.crowd = gather(fleet.cluster.front_address(self.front)).await,
            Kind::Reload => {
                fleet.units(fronts).into_iter().try_for_each(|unit| fleet.signal(unit, Signal::Reload))?;
            }
            Kind::PlatformDark => fleet.platform.set_reachability(Reachability::Blackholed),
            Kind::PlatformReset => fleet.platform.set_reachability(Reachability::Refusing),
            Kind::ServerCrash => fleet.crash_server(self.server).await,
            Kind::ServerDrain => fleet.drain_server(self.server),
            Kind::ServerDark => fleet.reach_server(self.server, Reachability::Blackholed),
            Kind::ServerFailing => fleet.fail_server(self.server, true),
            Kind::AnswersLost => fleet.inject(&Fault::DropResponse, FAULTS_EACH),
            Kind::AnswersGarbled => fleet.inject(&Fault::Garbage, FAULTS_EACH),
            Kind::AnswersSurplus => {
                fleet.inject(&Fault::SurplusResponse, FAULTS_EACH);
                fleet.inject(&Fault::WrongRequestId, 1);
            }
            Kind::StreamsCut => {
                fleet.inject(&Fault::TruncateStream { after_events: 1, reset: true }, FAULTS_EACH)
            }
            Kind::IdleRace => fleet.forget_connections(true),
            // Operators that have stopped wish for nothing more.
            Kind::ConfigRace => drop(wishes.send(Wish::Race)),
            Kind::ConfigBurst => drop(wishes.send(Wish::Burst)),
            Kind::PairSilent
            | Kind::PairReset
            | Kind::PairOneWay
            | Kind::PairSlow
            | Kind::Halves
            | Kind::Mute
            | Kind::AgentSilent
            | Kind::AgentDeaf
            | Kind::AgentReset => {}
        }
        Ok(())
    }

    /// Ends it, or tells that it has to be looked at again.
    pub async fn end(&mut self, fleet: &mut Fleet) -> Result<End> {
        let control = Unit::Control(self.control);
        match self.trouble.kind {
            Kind::ControlKill | Kind::ControlWipe => fleet.release(control)?,
            Kind::ControlTerm => return restart(fleet, &[control]),
            Kind::ControlFreeze => fleet.thaw(control)?,
            Kind::ControlHerd => {
                self.controls.iter().try_for_each(|index| fleet.release(Unit::Control(*index)))?;
            }
            Kind::ControlReplace => {
                if let Some(added) = self.added.take() {
                    fleet.cluster.terminate(&control.name())?;
                    fleet.replace_control(self.control, added);
                }
            }
            Kind::ProxyKill => fleet.release(Unit::Proxy(self.front))?,
            Kind::AgentKill => fleet.release(self.agent)?,
            Kind::FrontTerm => return restart(fleet, &self.front_units()),
            Kind::FrontFreeze => {
                self.front_units().into_iter().try_for_each(|unit| fleet.thaw(unit))?;
            }
            Kind::ControlDescriptors => fleet.limit_descriptors(control, false)?,
            Kind::ProxyDescriptors => fleet.limit_descriptors(Unit::Proxy(self.front), false)?,
            Kind::AgentDescriptors => fleet.limit_descriptors(self.agent, false)?,
            Kind::Crowd => self.crowd = Arc::default(),
            Kind::PlatformDark | Kind::PlatformReset => {
                fleet.platform.set_reachability(Reachability::Serving)
            }
            Kind::ServerCrash => fleet.start_server(self.server).await?,
            Kind::ServerDrain => {
                fleet.crash_server(self.server).await;
                fleet.start_server(self.server).await?;
            }
            Kind::ServerDark => fleet.reach_server(self.server, Reachability::Serving),
            Kind::ServerFailing => fleet.fail_server(self.server, false),
            Kind::AnswersLost | Kind::AnswersGarbled | Kind::AnswersSurplus | Kind::StreamsCut => {
                fleet.clear_faults();
            }
            Kind::IdleRace => fleet.forget_connections(false),
            _ => {}
        }
        Ok(End::Over)
    }

    fn front_units(&self) -> [Unit; 2] {
        [Unit::Proxy(self.front), self.agent]
    }

    /// The links that it harms, and how.
    fn links(&self, fleet: &Fleet) -> Vec<(Link, LinkState)> {
        let address = |index: usize| fleet.cluster.control_bind_ip(index);
        let both = |one, other, state| vec![((one, other), state), ((other, one), state)];
        let (one, other) = (address(self.control), address(self.other));
        let agent = fleet.cluster.front_bind_ip(self.front);
        let all = || self.controls.iter().map(|index| address(*index));
        match self.trouble.kind {
            Kind::PairSilent => both(one, other, LinkState::Silent),
            Kind::PairReset => both(one, other, LinkState::Reset),
            Kind::PairOneWay => vec![((one, other), LinkState::Silent)],
            Kind::PairSlow => {
                let delay = Duration::from_millis(20 + 4 * self.trouble.other as u64);
                both(one, other, LinkState::Slow(delay))
            }
            Kind::Halves => {
                // Any division; where all would be on one side, the machine that the trouble is for is alone.
                let side = |index: usize| (self.trouble.target ^ self.trouble.other) >> (index % SIDES) & 1;
                let is_whole = self.controls.iter().all(|index| side(*index) == side(self.control));
                let is_near = |index: &&usize| {
                    if is_whole { **index == self.control } else { side(**index) == side(self.control) }
                };
                let (near, far): (Vec<&usize>, Vec<&usize>) = self.controls.iter().partition(is_near);
                let pairs = near.iter().flat_map(|near| far.iter().map(move |far| (**near, **far)));
                pairs.flat_map(|(near, far)| both(address(near), address(far), LinkState::Silent)).collect()
            }
            Kind::Mute => all().filter(|to| *to != one).map(|to| ((one, to), LinkState::Silent)).collect(),
            Kind::AgentSilent => both(agent, one, LinkState::Silent),
            Kind::AgentDeaf => all().map(|from| ((from, agent), LinkState::Silent)).collect(),
            Kind::AgentReset => all().flat_map(|to| both(agent, to, LinkState::Reset)).collect(),
            _ => Vec::new(),
        }
    }
}

/// Opens connections to a front that rest.
async fn gather(front: SocketAddr) -> Arc<Vec<TcpStream>> {
    let mut crowd = Vec::new();
    for _ in 0..CROWD {
        if let Ok(Ok(stream)) = timeout(CONNECT_WITHIN, TcpStream::connect(front)).await {
            crowd.push(stream);
        }
    }
    Arc::new(crowd)
}

/// Starts processes again that were asked to end, once all of them have.
fn restart(fleet: &mut Fleet, units: &[Unit]) -> Result<End> {
    let mut have_ended = true;
    for unit in units {
        have_ended &= fleet.has_ended(*unit);
    }
    if !have_ended {
        return Ok(End::Again);
    }
    units.iter().try_for_each(|unit| fleet.release(*unit))?;
    Ok(End::Over)
}

/// Brings the links into the state that all troubles that go on give them; the worst counts.
pub fn apply_links(fleet: &Fleet, active: &[Active]) {
    fleet.links.open_all();
    let harms: Vec<(Link, LinkState)> = active.iter().flat_map(|active| active.links(fleet)).collect();
    let rank = |state: &LinkState| match state {
        LinkState::Open => 0,
        LinkState::Slow(_) => 1,
        LinkState::Silent => 2,
        LinkState::Reset => 3,
    };
    let mut sorted = harms;
    sorted.sort_by_key(|(_, state)| rank(state));
    for (link, state) in sorted {
        fleet.links.set(link, state);
    }
}
