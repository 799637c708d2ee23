//! The processes of one run, the relays between them, and what surrounds them.

use crate::configuration::configuration;
use crate::link_proxy::{LinkProxy, LinkTable};
use crate::schedule::Scenario;
use crate::servers::Server;
use eyre::{Result, WrapErr, ensure};
use lugwharf_emulator::cluster::{Cluster, ClusterOptions, Signal, Subnet};
use lugwharf_emulator::host::World;
use lugwharf_emulator::operator::Operator;
use lugwharf_emulator::platform::{PlatformHost, PlatformParameters};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

/// Control machines at most, those included that replace others.
const MAX_CONTROL_NODES: usize = 8;
/// Descriptors that processes are told they may hold: a proxy then takes some 60 clients, which a crowd goes beyond.
const MAX_FDS: usize = 300;
/// Descriptors that a process may open beyond those that it has while these run out.
const DESCRIPTOR_HEADROOM: usize = 0;
/// Enough for every process.
const AMPLE_DESCRIPTORS: usize = 1_024;

/// All of one run.
pub struct Fleet {
    /// The clock and the record of the servers.
    pub world: World,
    /// The list of servers.
    pub platform: PlatformHost,
    /// The links between machines.
    pub links: LinkTable,
    /// The processes.
    pub cluster: Cluster,
    /// The servers.
    pub servers: Vec<Server>,
    /// Control machines that are in use.
    pub controls: Vec<usize>,
    /// How many troubles keep a process from running.
    stop_counts: BTreeMap<String, usize>,
    /// How many troubles keep a process from going on.
    pause_counts: BTreeMap<String, usize>,
    /// Processes that ended for good.
    pub retired: BTreeSet<String>,
    next_control: usize,
    _relays: Vec<LinkProxy>,
}

/// A process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessId {
    /// A control process.
    Control(usize),
    /// The proxy of a front.
    Proxy(usize),
    /// The agent of a front.
    Agent(usize),
}

impl ProcessId {
    /// The name of its process in the cluster.
    pub fn name(self) -> String {
        match self {
            ProcessId::Control(index) => format!("control-{index}"),
            ProcessId::Proxy(index) => format!("front-{index}-proxy"),
            ProcessId::Agent(index) => format!("front-{index}-agent"),
        }
    }
}

impl Fleet {
    /// Starts everything and waits until it serves.
    pub async fn start(scenario: &Scenario, binary: &Path) -> Result<Fleet> {
        let world = World::new();
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let platform = PlatformHost::start(&world, any, PlatformParameters::default()).await?;
        let options = ClusterOptions {
            fronts: scenario.fronts,
            controls: scenario.controls,
            placement: scenario.placement,
            fault_tolerance: if scenario.controls > 3 { 2 } else { 1 },
            cloud: platform.address(),
            bounds: Vec::new(),
            arguments: ["--log", "info"].map(str::to_owned).to_vec(),
            max_fds: MAX_FDS,
            relayed: true,
        };
        let cluster = Cluster::new(binary, Subnet::claim()?, options)?;
        let links = LinkTable::default();
        let mut relays = Vec::new();
        for index in 0..MAX_CONTROL_NODES {
            for (public, bound) in cluster.relayed_addresses(index) {
                relays.push(LinkProxy::start(&links, public, bound).await.wrap_err("a relay")?);
            }
        }
        let mut fleet = Fleet {
            world,
            platform,
            links,
            cluster,
            servers: Vec::new(),
            controls: (0..scenario.controls).collect(),
            stop_counts: BTreeMap::new(),
            pause_counts: BTreeMap::new(),
            retired: BTreeSet::new(),
            next_control: scenario.controls,
            _relays: relays,
        };
        fleet.start_servers().await?;
        fleet.cluster.start_all()?;
        Ok(fleet)
    }

    /// Sends the first configuration and waits until all fronts are ready.
    pub async fn open(&self) -> Result<()> {
        let verdict = self.operator().put(&configuration(1).to_bytes(), 0).await;
        ensure!(verdict.status() == Some(200), "the first configuration: {verdict:?}");
        ensure!(self.cluster.wait_ready().await, "a front is not ready");
        Ok(())
    }

    /// Where operators call: the control machines in use, and the fronts that send them on.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let controls = self.controls.iter().map(|index| self.cluster.control_address(*index));
        controls.chain(self.cluster.gateway_addresses()).collect()
    }

    /// An operator who knows all of them.
    pub fn operator(&self) -> Operator {
        Operator::new(self.operator_addresses())
    }

    /// The control machine in use that a trouble's number stands for.
    pub fn control(&self, target: usize) -> usize {
        self.controls[target % self.controls.len()]
    }

    /// The agent of a front; the control process, where that is hosted by it.
    pub fn agent(&self, front: usize) -> ProcessId {
        if self.cluster.hosts_control(front) { ProcessId::Control(front) } else { ProcessId::Agent(front) }
    }

    /// The name of each process in use.
    pub fn processes(&self, fronts: usize) -> Vec<ProcessId> {
        let controls = self.controls.iter().map(|index| ProcessId::Control(*index));
        let agents =
            (0..fronts).map(|front| self.agent(front)).filter(|agent| matches!(agent, ProcessId::Agent(_)));
        controls.chain((0..fronts).map(ProcessId::Proxy)).chain(agents).collect()
    }

    /// Whether some trouble keeps the process from running or going on.
    pub fn is_stopped_or_paused(&self, name: &str) -> bool {
        let counts = |table: &BTreeMap<String, usize>| table.get(name).is_some_and(|count| *count > 0);
        counts(&self.stop_counts) || counts(&self.pause_counts) || self.retired.contains(name)
    }

    /// Ends a process as a kill does, until it is released.
    pub fn kill(&mut self, process_id: ProcessId) -> Result<()> {
        *self.stop_counts.entry(process_id.name()).or_default() += 1;
        if let Some(process) = self.cluster.process(&process_id.name()) {
            process.signal(Signal::Kill)?;
            process.wait()?;
        }
        Ok(())
    }

    /// Asks a process to end, until it is released.
    pub fn terminate(&mut self, process_id: ProcessId) -> Result<()> {
        *self.stop_counts.entry(process_id.name()).or_default() += 1;
        Ok(self.cluster.terminate(&process_id.name())?)
    }

    /// Whether a process that was asked to end has ended.
    pub fn has_ended(&mut self, process_id: ProcessId) -> bool {
        self.cluster.process(&process_id.name()).is_none_or(|process| process.ended().is_some())
    }

    /// One trouble less keeps the process from running; it starts again once none does.
    pub fn release(&mut self, process_id: ProcessId) -> Result<()> {
        let count = self.stop_counts.entry(process_id.name()).or_default();
        *count = count.saturating_sub(1);
        let may_start = *count == 0 && !self.retired.contains(&process_id.name());
        if !may_start || !self.has_ended(process_id) {
            return Ok(());
        }
        match process_id {
            ProcessId::Control(index) => self.cluster.start_control(index)?,
            ProcessId::Proxy(front) => self.cluster.start_front_process(front, "proxy")?,
            ProcessId::Agent(front) => self.cluster.start_front_process(front, "agent")?,
        }
        Ok(())
    }

    /// Lets a process stand still.
    pub fn pause(&mut self, process_id: ProcessId) -> Result<()> {
        *self.pause_counts.entry(process_id.name()).or_default() += 1;
        self.signal(process_id, Signal::Freeze)
    }

    /// One trouble less lets the process stand still.
    pub fn resume(&mut self, process_id: ProcessId) -> Result<()> {
        let count = self.pause_counts.entry(process_id.name()).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 { self.signal(process_id, Signal::Thaw) } else { Ok(()) }
    }

    /// Lets a process open hardly any more descriptors, or as many as it needs.
    pub fn limit_descriptors(&mut self, process_id: ProcessId, are_short: bool) -> Result<()> {
        if let Some(process) = self.cluster.process(&process_id.name()) {
            let few = process.open_descriptors() + DESCRIPTOR_HEADROOM;
            process.limit_open_descriptors(if are_short { few } else { AMPLE_DESCRIPTORS })?;
        }
        Ok(())
    }

    /// Sends a signal.
    pub fn signal(&mut self, process_id: ProcessId, signal: Signal) -> Result<()> {
        if let Some(process) = self.cluster.process(&process_id.name()) {
            process.signal(signal)?;
        }
        Ok(())
    }

    /// Adds an empty control machine.
    pub fn add_control(&mut self) -> Result<Option<usize>> {
        if self.next_control >= MAX_CONTROL_NODES {
            return Ok(None);
        }
        let index = self.next_control;
        self.next_control += 1;
        self.cluster.start_control(index)?;
        Ok(Some(index))
    }

    /// A control machine takes the place of another one, which was asked to end for good.
    pub fn replace_control(&mut self, old: usize, new: usize) {
        self.retired.insert(ProcessId::Control(old).name());
        self.controls.retain(|index| *index != old);
        self.controls.push(new);
    }
}
