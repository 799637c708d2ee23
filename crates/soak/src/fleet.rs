//! The processes of a run, the link proxies between them, their servers and the platform.
//!
//! Faults overlap, so two of them may stop or pause the same process. The fleet counts, per process, the
//! faults that stop and those that pause it; the process runs again once both counts are zero.

use crate::checker::HostedControl;
use crate::configuration::configuration;
use crate::link_proxy::{LinkProxy, LinkTable};
use crate::process_id::ProcessId;
use crate::schedule::Scenario;
use crate::servers::ServerPool;
use eyre::{Result, WrapErr, ensure};
use lugwharf_emulator::cluster::{Cluster, ClusterOptions, Signal, Subnet};
use lugwharf_emulator::host::Environment;
use lugwharf_emulator::operator::Operator;
use lugwharf_emulator::platform::{PlatformHost, PlatformParameters};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

/// The maximum number of control nodes of a run, including those that replace others.
const MAX_CONTROL_NODES: usize = 8;
/// The descriptor limit in the settings. With it a proxy accepts about 60 clients, fewer than a connection
/// flood opens.
const MAX_FDS: usize = 300;
/// The number of further descriptors that a process may open while its descriptors are exhausted.
const EXHAUSTED_HEADROOM: usize = 0;
/// A descriptor limit that no process reaches.
const SUFFICIENT_DESCRIPTORS: usize = 1_024;

/// The file descriptor limit of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorLimit {
    /// No further descriptor can be opened.
    Exhausted,
    /// The limit is higher than a process needs.
    Sufficient,
}

/// The space on the disk of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskLimit {
    /// Every write fails.
    Full,
    /// No write fails.
    Unlimited,
}

/// The processes of a run and their environment.
pub struct Fleet {
    /// The clock of the run, and the log of the requests that servers received.
    pub environment: Environment,
    /// The servers and the platform.
    pub servers: ServerPool,
    /// The links between machines.
    pub links: LinkTable,
    /// The processes.
    pub cluster: Cluster,
    /// The indices of the control nodes in use.
    pub control_nodes: Vec<usize>,
    /// The number of front-end nodes.
    pub front_count: usize,
    /// The number of active faults that stop each process, by process name.
    stop_counts: BTreeMap<String, usize>,
    /// The number of active faults that pause each process, by process name.
    pause_counts: BTreeMap<String, usize>,
    /// The names of processes that were replaced and are not restarted.
    retired: BTreeSet<String>,
    /// The index of the next control node that is added.
    next_control_node: usize,
    /// Kept because a link proxy stops when it is dropped.
    _link_proxies: Vec<LinkProxy>,
}

impl Fleet {
    /// Starts the platform, the link proxies, the servers and all processes.
    ///
    /// # Errors
    /// An address cannot be bound, or a process cannot be started.
    pub async fn start(scenario: &Scenario, binary: &Path) -> Result<Fleet> {
        let environment = Environment::new();
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        let platform = PlatformHost::start(&environment, any_port, PlatformParameters::default()).await?;
        let options = cluster_options(scenario, platform.address());
        let cluster = Cluster::new(binary, Subnet::claim()?, options)?;
        let links = LinkTable::default();
        let link_proxies = start_link_proxies(&cluster, &links).await?;
        let servers =
            ServerPool::start(&environment, platform, |index| cluster.server_address(index)).await?;
        let mut fleet = Fleet {
            environment,
            servers,
            links,
            cluster,
            control_nodes: (0..scenario.control_count).collect(),
            front_count: scenario.front_count,
            stop_counts: BTreeMap::new(),
            pause_counts: BTreeMap::new(),
            retired: BTreeSet::new(),
            next_control_node: scenario.control_count,
            _link_proxies: link_proxies,
        };
        fleet.cluster.start_all()?;
        Ok(fleet)
    }

    /// Writes the first configuration and waits until all front-end nodes are ready.
    ///
    /// # Errors
    /// The write is not acknowledged, or a front-end node does not become ready in time.
    pub async fn bring_into_service(&self) -> Result<()> {
        let outcome = self.operator().put(&configuration(1).to_bytes(), 0).await;
        ensure!(outcome.status() == Some(200), "the first configuration was not acknowledged: {outcome:?}");
        ensure!(self.cluster.wait_ready().await, "a front-end node did not become ready in time");
        Ok(())
    }

    /// The addresses that operators call: the control nodes in use and, if front-end nodes host control, the
    /// gateways of the front-end nodes that do not.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let control_nodes = self.control_nodes.iter().map(|index| self.cluster.control_address(*index));
        control_nodes.chain(self.cluster.gateway_addresses()).collect()
    }

    /// An operator that knows all operator addresses.
    pub fn operator(&self) -> Operator {
        Operator::new(self.operator_addresses())
    }

    /// The control node in use that the target of a fault selects. There is always one, since a replacement
    /// keeps the number of control nodes.
    pub fn control_node(&self, target: usize) -> usize {
        self.control_nodes[target % self.control_nodes.len()]
    }

    /// The process that acts as the agent of a front-end node: its control process if the node hosts control,
    /// otherwise its agent.
    pub fn agent(&self, front: usize) -> ProcessId {
        if self.cluster.hosts_control(front) { ProcessId::Control(front) } else { ProcessId::Agent(front) }
    }

    /// The control that front-end nodes host, with the addresses at which their agents serve operators. Empty
    /// if there are dedicated control nodes.
    pub fn hosted_control(&self) -> HostedControl {
        let replicas: Vec<usize> =
            (0..self.front_count).filter(|front| self.cluster.hosts_control(*front)).collect();
        if replicas.is_empty() {
            return HostedControl::default();
        }
        let replica_addresses = replicas.iter().map(|front| self.cluster.control_address(*front));
        let addresses = replica_addresses.chain(self.cluster.gateway_addresses()).collect();
        HostedControl { addresses, replica_count: replicas.len() }
    }

    /// All processes in use: control processes, then proxies, then agents.
    pub fn processes(&self) -> Vec<ProcessId> {
        let control = self.control_nodes.iter().map(|index| ProcessId::Control(*index));
        let proxies = (0..self.front_count).map(ProcessId::Proxy);
        let agents = (0..self.front_count).map(|front| self.agent(front));
        let agents = agents.filter(|agent| matches!(agent, ProcessId::Agent(_)));
        control.chain(proxies).chain(agents).collect()
    }

    /// Whether an active fault stops or pauses the process, or the process was replaced.
    pub fn is_stopped_or_paused(&self, name: &str) -> bool {
        let is_counted = |counts: &BTreeMap<String, usize>| counts.get(name).is_some_and(|count| *count > 0);
        is_counted(&self.stop_counts) || is_counted(&self.pause_counts) || self.retired.contains(name)
    }

    /// Kills a process (SIGKILL) and waits for its exit. It is not restarted before [`Fleet::release_stop`].
    pub fn kill(&mut self, process_id: ProcessId) -> Result<()> {
        self.count_stop(process_id);
        if let Some(process) = self.cluster.process(&process_id.name()) {
            process.signal(Signal::Kill)?;
            process.wait()?;
        }
        Ok(())
    }

    /// Asks a process to terminate (SIGTERM), without waiting for its exit. It is not restarted before
    /// [`Fleet::release_stop`].
    pub fn terminate(&mut self, process_id: ProcessId) -> Result<()> {
        self.count_stop(process_id);
        Ok(self.cluster.terminate(&process_id.name())?)
    }

    fn count_stop(&mut self, process_id: ProcessId) {
        *self.stop_counts.entry(process_id.name()).or_default() += 1;
    }

    /// Whether a process has exited or was never started.
    pub fn has_exited(&mut self, process_id: ProcessId) -> bool {
        self.cluster.process(&process_id.name()).is_none_or(|process| process.exit_status().is_some())
    }

    /// Ends one stop of a process. The process is restarted once no fault stops it, unless it was replaced or
    /// has not exited.
    pub fn release_stop(&mut self, process_id: ProcessId) -> Result<()> {
        let count = self.stop_counts.entry(process_id.name()).or_default();
        *count = count.saturating_sub(1);
        let may_start = *count == 0 && !self.retired.contains(&process_id.name());
        if !may_start || !self.has_exited(process_id) {
            return Ok(());
        }
        match process_id {
            ProcessId::Control(index) => self.cluster.start_control(index)?,
            ProcessId::Proxy(front) => self.cluster.start_front_process(front, "proxy")?,
            ProcessId::Agent(front) => self.cluster.start_front_process(front, "agent")?,
        }
        Ok(())
    }

    /// Pauses a process (SIGSTOP) until [`Fleet::release_pause`].
    pub fn pause(&mut self, process_id: ProcessId) -> Result<()> {
        *self.pause_counts.entry(process_id.name()).or_default() += 1;
        self.signal(process_id, Signal::Stop)
    }

    /// Ends one pause of a process. The process continues (SIGCONT) once no fault pauses it.
    pub fn release_pause(&mut self, process_id: ProcessId) -> Result<()> {
        let count = self.pause_counts.entry(process_id.name()).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 { self.signal(process_id, Signal::Continue) } else { Ok(()) }
    }

    /// Sets the file descriptor limit of a running process.
    pub fn limit_descriptors(&mut self, process_id: ProcessId, limit: DescriptorLimit) -> Result<()> {
        if let Some(process) = self.cluster.process(&process_id.name()) {
            process.limit_open_descriptors(match limit {
                DescriptorLimit::Exhausted => process.open_descriptors() + EXHAUSTED_HEADROOM,
                DescriptorLimit::Sufficient => SUFFICIENT_DESCRIPTORS,
            })?;
        }
        Ok(())
    }

    /// Sets whether writes of a running process to its disk fail.
    pub fn limit_disk(&mut self, process_id: ProcessId, limit: DiskLimit) -> Result<()> {
        if let Some(process) = self.cluster.process(&process_id.name()) {
            process.limit_file_size(match limit {
                DiskLimit::Full => Some(0),
                DiskLimit::Unlimited => None,
            })?;
        }
        Ok(())
    }

    /// Stops the processes (SIGSTOP) that no other fault has stopped or paused, until
    /// [`Fleet::release_throttle`].
    pub fn throttle(&mut self, processes: &[ProcessId]) -> Result<()> {
        processes.iter().try_for_each(|process_id| {
            let is_already_stopped = self.is_stopped_or_paused(&process_id.name());
            if is_already_stopped { Ok(()) } else { self.signal(*process_id, Signal::Stop) }
        })
    }

    /// Continues the processes (SIGCONT) that no other fault pauses.
    pub fn release_throttle(&mut self, processes: &[ProcessId]) -> Result<()> {
        processes.iter().try_for_each(|process_id| {
            let is_paused = self.pause_counts.get(&process_id.name()).is_some_and(|count| *count > 0);
            if is_paused { Ok(()) } else { self.signal(*process_id, Signal::Continue) }
        })
    }

    /// Sends a signal to a running process.
    pub fn signal(&mut self, process_id: ProcessId, signal: Signal) -> Result<()> {
        if let Some(process) = self.cluster.process(&process_id.name()) {
            process.signal(signal)?;
        }
        Ok(())
    }

    /// Starts an empty control node and returns its index; `None` if all [`MAX_CONTROL_NODES`] indices have
    /// been used.
    pub fn add_control_node(&mut self) -> Result<Option<usize>> {
        if self.next_control_node >= MAX_CONTROL_NODES {
            return Ok(None);
        }
        let index = self.next_control_node;
        self.next_control_node += 1;
        self.cluster.start_control(index)?;
        Ok(Some(index))
    }

    /// Replaces a control node, which was asked to terminate and is not restarted, by one that was added.
    pub fn replace_control_node(&mut self, old: usize, new: usize) {
        self.retired.insert(ProcessId::Control(old).name());
        self.control_nodes.retain(|index| *index != old);
        self.control_nodes.push(new);
    }
}

fn cluster_options(scenario: &Scenario, platform: SocketAddr) -> ClusterOptions {
    ClusterOptions {
        front_ends: scenario.front_count,
        control_machines: scenario.control_count,
        placement: scenario.placement,
        fault_tolerance: if scenario.control_count > 3 { 2 } else { 1 },
        cloud: platform,
        bounds: Vec::new(),
        arguments: ["--log", "info"].map(str::to_owned).to_vec(),
        max_fds: MAX_FDS,
        uses_relays: true,
    }
}

/// Starts the link proxies of all control nodes that a run may use.
async fn start_link_proxies(cluster: &Cluster, links: &LinkTable) -> Result<Vec<LinkProxy>> {
    let mut proxies = Vec::new();
    for index in 0..MAX_CONTROL_NODES {
        for (public, target) in cluster.relay_addresses(index) {
            proxies
                .push(LinkProxy::start(links, public, target).await.wrap_err("cannot start a link proxy")?);
        }
    }
    Ok(proxies)
}
