//! The machines of a fleet on one box: settings files, processes of the real binary, kills and restarts.
//!
//! Each machine has an address of its own in 127.0.0.0/8, so that ports are alike on all of them, as in a deployment.

mod addresses;
mod process;
mod settings_file;

pub use addresses::Subnet;
pub use process::{Process, Signal};
pub use settings_file::{SettingsSpec, class};

use crate::operator::{Operator, call_once};
use crate::wire::{Connection, Request};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The ports of a machine, alike on all machines.
pub mod ports {
    /// Clients' requests.
    pub const FRONT: u16 = 8_161;
    /// The operator's API.
    pub const CONTROL: u16 = 8_166;
    /// Readiness checks.
    pub const READY: u16 = 8_167;
    /// The first of the ports for internal traffic.
    pub const INTERNAL_FIRST: u16 = 7_720;
    /// The last of them.
    pub const INTERNAL_LAST: u16 = 7_735;
    /// The agent's feed of its proxy.
    pub const FEED: u16 = 7_722;
    /// A server, each at an address of its own.
    pub const SERVER: u16 = 9_100;
    /// `GET /metrics` of the proxy, or of a control process.
    pub const METRICS: u16 = 7_733;
    /// `GET /metrics` of the agent.
    pub const AGENT_METRICS: u16 = 7_734;
}

/// The pause between looks at a process that is starting.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Looks before a process counts as one that does not start: 15 s.
const MAX_POLLS: usize = 600;
/// A look that takes longer has failed.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);

/// The processes of a front.
const FRONT_ROLES: [&str; 2] = ["proxy", AGENT];
const AGENT: &str = "agent";

/// Where control runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// On machines of its own.
    #[default]
    Core,
    /// On the first fronts, hosted by their agents; the agents of the others send callers of control on.
    Fronts,
}

/// What a cluster consists of.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Fronts.
    pub fronts: usize,
    /// Control machines.
    pub controls: usize,
    /// Where they are; on the first fronts, there must be as many of these.
    pub placement: Placement,
    /// Machines that count and may be lost at once.
    pub fault_tolerance: usize,
    /// The platform's list.
    pub cloud: SocketAddr,
    /// Added to the `[Bounds]` of the settings, as `Name = value` lines.
    pub bounds: Vec<(String, String)>,
    /// Arguments of every process behind its subcommand.
    pub arguments: Vec<String>,
    /// Descriptors that each process is told it may hold.
    pub max_fds: usize,
    /// Whether machines are reached through relays: processes then listen on and connect from addresses of their own.
    pub relayed: bool,
}

/// The machines and processes of a fleet. All processes end when it is dropped.
pub struct Cluster {
    binary: PathBuf,
    directory: PathBuf,
    subnet: Subnet,
    options: ClusterOptions,
    processes: BTreeMap<String, Process>,
    is_first_start: bool,
    /// Control machines that count, the first ones; the others serve without a vote.
    voting_machines: usize,
    /// Other seeds than the first control machines, from the next starts on.
    seeds: Option<Vec<SocketAddr>>,
    /// Whether somebody else has taken the violated invariants up.
    are_violations_reported: bool,
}

impl Cluster {
    /// Prepares folders and addresses; starts nothing. `subnet` has to be held by the caller's servers as well, if they are
    /// to stand beside the machines.
    pub fn new(binary: &Path, subnet: Subnet, options: ClusterOptions) -> io::Result<Cluster> {
        let directory =
            std::env::temp_dir().join(format!("lugwharf-cluster-{}-{}", std::process::id(), subnet.number()));
        if directory.exists() {
            std::fs::remove_dir_all(&directory)?;
        }
        std::fs::create_dir_all(&directory)?;
        let binary = binary.to_owned();
        let (processes, voting_machines) = (BTreeMap::new(), usize::MAX);
        Ok(Cluster {
            binary,
            directory,
            subnet,
            options,
            processes,
            is_first_start: true,
            voting_machines,
            seeds: None,
            are_violations_reported: false,
        })
    }

    /// Lets only the first control machines count, from their next start on.
    pub fn set_voting_machines(&mut self, machines: usize) {
        self.voting_machines = machines;
    }

    /// Names these control addresses as seeds to processes that start from now on.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = Some(seeds);
    }

    /// The address of a front for clients.
    pub fn front_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.subnet.front(index), ports::FRONT))
    }

    /// The addresses of all fronts for clients.
    pub fn front_addresses(&self) -> Vec<SocketAddr> {
        (0..self.options.fronts).map(|index| self.front_address(index)).collect()
    }

    /// Where a front tells whether it is ready.
    pub fn ready_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.subnet.front(index), ports::READY))
    }

    /// The address of a control machine for the operator.
    pub fn control_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.control_ip(index), ports::CONTROL))
    }

    /// Where the agent of a front takes callers of control, if control runs on fronts.
    pub fn gateway_address(&self, front: usize) -> SocketAddr {
        SocketAddr::from((self.subnet.front(front), ports::CONTROL))
    }

    /// The same of all fronts whose agents send callers on.
    pub fn gateway_addresses(&self) -> Vec<SocketAddr> {
        let fronts = match self.options.placement {
            Placement::Core => 0..0,
            Placement::Fronts => self.options.controls..self.options.fronts,
        };
        fronts.map(|front| self.gateway_address(front)).collect()
    }

    fn control_ip(&self, index: usize) -> Ipv4Addr {
        match self.options.placement {
            Placement::Core => self.subnet.control(index),
            Placement::Fronts => self.subnet.front(index),
        }
    }

    /// Whether the agent of that front hosts a control machine.
    pub fn hosts_control(&self, front: usize) -> bool {
        self.options.placement == Placement::Fronts && front < self.options.controls
    }

    /// An address for a server, which nothing else of this box is given while the server is down.
    pub fn server_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.subnet.server(index), ports::SERVER))
    }

    /// The address from which the processes of a control machine connect, and on which they listen.
    pub fn control_bind_ip(&self, index: usize) -> Ipv4Addr {
        match (self.options.placement, self.options.relayed) {
            (Placement::Core, true) => self.subnet.control_behind_relay(index),
            (Placement::Core, false) => self.subnet.control(index),
            (Placement::Fronts, _) => self.front_bind_ip(index),
        }
    }

    /// The address from which the agent of a front connects.
    pub fn front_bind_ip(&self, index: usize) -> Ipv4Addr {
        if self.options.relayed { self.subnet.front_behind_relay(index) } else { self.subnet.front(index) }
    }

    /// Where a process of a control machine listens, and where others reach it: the operator's API, peers, agents.
    pub fn relayed_addresses(&self, index: usize) -> [(SocketAddr, SocketAddr); 3] {
        let (public, bound) = (self.control_ip(index), self.control_bind_ip(index));
        [ports::CONTROL, ports::INTERNAL_FIRST, ports::INTERNAL_FIRST + 1]
            .map(|port| (SocketAddr::from((public, port)), SocketAddr::from((bound, port))))
    }

    /// The ports of a control machine for internal traffic: peers, then agents.
    pub fn internal_addresses(&self, index: usize) -> [SocketAddr; 2] {
        [0, 1].map(|offset| SocketAddr::from((self.control_ip(index), ports::INTERNAL_FIRST + offset)))
    }

    /// What a control machine tells of itself; nothing if it does not answer.
    pub async fn control_status(&self, index: usize) -> Option<serde_json::Value> {
        let response = call_once(self.control_address(index), &Request::new("GET", "/status")).await.ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    /// An operator who knows all control machines.
    pub fn operator(&self) -> Operator {
        let controls = (0..self.options.controls).map(|index| self.control_address(index));
        Operator::new(controls.chain(self.gateway_addresses()).collect())
    }

    /// Starts all processes of all machines, control first.
    pub fn start_all(&mut self) -> io::Result<()> {
        for index in 0..self.options.controls {
            if !self.hosts_control(index) {
                self.start_control(index)?;
            }
        }
        for index in 0..self.options.fronts {
            self.start_front(index)?;
        }
        self.is_first_start = false;
        Ok(())
    }

    /// Starts the process of a control machine, with whatever is on its disk. An index beyond the machines of the first start
    /// stands for a machine that was added.
    pub fn start_control(&mut self, index: usize) -> io::Result<()> {
        std::fs::create_dir_all(self.data_directory(index))?;
        let spec = self.control_settings(index);
        self.start_process(&control_name(index), &spec.role, &spec)
    }

    /// Starts both processes of a front.
    pub fn start_front(&mut self, index: usize) -> io::Result<()> {
        for role in FRONT_ROLES {
            self.start_front_process(index, role)?;
        }
        Ok(())
    }

    /// Starts one process of a front (`proxy` or `agent`).
    pub fn start_front_process(&mut self, index: usize, role: &str) -> io::Result<()> {
        if role == AGENT && self.hosts_control(index) {
            return self.start_control(index);
        }
        let spec = self.front_settings(index, role);
        self.start_process(&self.front_name(index, role), role, &spec)
    }

    /// Ends the process of a control machine as a kill does.
    pub fn kill_control(&mut self, index: usize) -> io::Result<()> {
        self.end(&control_name(index), Signal::Kill)
    }

    /// Sends a signal to the process of a control machine; it may go on.
    pub fn signal_control(&mut self, index: usize, signal: Signal) -> io::Result<()> {
        match self.processes.get_mut(&control_name(index)) {
            Some(process) => process.signal(signal),
            None => Ok(()),
        }
    }

    /// Ends one process of a front (`proxy` or `agent`) as a kill does.
    pub fn kill_front(&mut self, index: usize, role: &str) -> io::Result<()> {
        self.end(&self.front_name(index, role), Signal::Kill)
    }

    /// Asks both processes of a front to end; they go on until they are done.
    pub fn terminate_front(&mut self, index: usize) -> io::Result<()> {
        self.signal_front(index, Signal::Terminate)
    }

    /// Sends a signal to both processes of a front.
    pub fn signal_front(&mut self, index: usize, signal: Signal) -> io::Result<()> {
        for role in FRONT_ROLES {
            if let Some(process) = self.processes.get_mut(&self.front_name(index, role)) {
                process.signal(signal)?;
            }
        }
        Ok(())
    }

    /// Ends all processes of all machines at once, as a kill does.
    pub fn kill_all(&mut self) -> io::Result<()> {
        for process in self.processes.values_mut() {
            process.signal(Signal::Kill)?;
        }
        for process in self.processes.values_mut() {
            process.wait()?;
        }
        Ok(())
    }

    /// Empties the disk of a control machine whose process does not run.
    pub fn wipe_control_disk(&mut self, index: usize) -> io::Result<()> {
        std::fs::remove_dir_all(self.data_directory(index))
    }

    /// The disk of a control machine.
    pub fn data_directory(&self, index: usize) -> PathBuf {
        self.directory.join(control_name(index)).join("data")
    }

    /// Asks one process to end, as SIGTERM does.
    pub fn terminate(&mut self, name: &str) -> io::Result<()> {
        match self.processes.get_mut(name) {
            Some(process) => process.signal(Signal::Terminate),
            None => Ok(()),
        }
    }

    /// The names of all processes that were started.
    pub fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// The folder with the settings and the output of each process.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// The process of that name: `control-0`, `front-0-proxy`, `front-0-agent`.
    pub fn process(&mut self, name: &str) -> Option<&mut Process> {
        self.processes.get_mut(name)
    }

    /// The metrics of both processes of a front, proxy first, or nothing of one that does not answer.
    pub async fn front_metrics(&self, index: usize) -> [Option<String>; 2] {
        let ip = self.front_bind_ip(index);
        let proxy = metrics_text(SocketAddr::from((ip, ports::METRICS))).await;
        [proxy, metrics_text(SocketAddr::from((ip, ports::AGENT_METRICS))).await]
    }

    /// The metrics of a control process, if it answers.
    pub async fn control_metrics(&self, index: usize) -> Option<String> {
        let port = match self.options.placement {
            Placement::Core => ports::METRICS,
            // The port of the machine's proxy; the replica tells its metrics beside the operator's API.
            Placement::Fronts => ports::CONTROL,
        };
        metrics_text(SocketAddr::from((self.control_bind_ip(index), port))).await
    }

    /// Lines that tell of violated invariants, for a caller that judges them itself: the cluster then ends without a word.
    pub fn take_violations(&mut self) -> Vec<String> {
        self.are_violations_reported = true;
        self.violations()
    }

    /// Lines that tell of violated invariants.
    pub fn violations(&self) -> Vec<String> {
        let logs = self.logs();
        let is_violation = |line: &&str| line.contains("[invariant]") || line.contains("outcome=violated");
        logs.lines().filter(is_violation).map(str::to_owned).collect()
    }

    /// What all processes have written so far, by name.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for (name, process) in &self.processes {
            text.push_str(&format!("--- {name}\n{}", process.output()));
        }
        text
    }

    /// Waits until all fronts call themselves ready; false if one does not in the number of looks.
    pub async fn wait_ready(&self) -> bool {
        for index in 0..self.options.fronts {
            if !self.wait_front_ready(index).await {
                return false;
            }
        }
        true
    }

    /// Waits until a front calls itself ready.
    pub async fn wait_front_ready(&self, index: usize) -> bool {
        let address = self.ready_address(index);
        poll(|| async move { readiness_status(address).await == Some(200) }).await
    }

    fn end(&mut self, name: &str, signal: Signal) -> io::Result<()> {
        let Some(process) = self.processes.get_mut(name) else {
            return Ok(());
        };
        process.signal(signal)?;
        process.wait()?;
        Ok(())
    }

    fn start_process(&mut self, name: &str, role: &str, spec: &SettingsSpec) -> io::Result<()> {
        let directory = self.directory.join(name);
        std::fs::create_dir_all(&directory)?;
        let settings = directory.join("settings.toml");
        std::fs::write(&settings, spec.to_toml())?;
        let metrics = if role == AGENT { ports::AGENT_METRICS } else { ports::METRICS };
        let mut arguments = self.options.arguments.clone();
        arguments.extend(["--metrics".to_owned(), metrics.to_string()]);
        let process = Process::start(&self.binary, role, &arguments, &settings, &directory)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn front_name(&self, index: usize, role: &str) -> String {
        if role == AGENT && self.hosts_control(index) {
            return control_name(index);
        }
        format!("front-{index}-{role}")
    }

    fn common_settings(&self, node: String) -> SettingsSpec {
        let first_seeds =
            || (0..self.options.controls.min(3)).map(|index| self.control_address(index)).collect();
        SettingsSpec {
            node,
            bootstrap: self.is_first_start,
            seeds: self.seeds.clone().unwrap_or_else(first_seeds),
            fault_tolerance: self.options.fault_tolerance,
            cloud: Some(self.options.cloud),
            bounds: self.options.bounds.clone(),
            max_fds: self.options.max_fds,
            ..SettingsSpec::default()
        }
    }

    fn control_settings(&self, index: usize) -> SettingsSpec {
        let is_hosted = self.options.placement == Placement::Fronts;
        let (role, machine_class) = if is_hosted { (AGENT, class::FRONT) } else { ("control", class::CORE) };
        SettingsSpec {
            role: role.to_owned(),
            machine_class,
            serves: vec!["control".to_owned()],
            ip: self.control_ip(index).into(),
            feed_address: is_hosted.then(|| SocketAddr::from((self.subnet.front(index), ports::FEED))),
            bind: self.options.relayed.then(|| IpAddr::from(self.control_bind_ip(index))),
            control: Some(SocketAddr::from((self.control_bind_ip(index), ports::CONTROL))),
            data_dir: Some(self.data_directory(index)),
            counts_for_quorum: index < self.voting_machines,
            ..self.common_settings(control_name(index))
        }
    }

    fn front_settings(&self, index: usize, role: &str) -> SettingsSpec {
        let is_proxy = role == "proxy";
        let is_gateway = !is_proxy && self.options.placement == Placement::Fronts;
        let serves = match (is_proxy, is_gateway) {
            (true, _) => vec!["front".to_owned()],
            (false, true) => vec!["control".to_owned()],
            (false, false) => Vec::new(),
        };
        SettingsSpec {
            control: is_gateway.then(|| SocketAddr::from((self.front_bind_ip(index), ports::CONTROL))),
            role: role.to_owned(),
            machine_class: class::FRONT,
            serves,
            ip: self.subnet.front(index).into(),
            bind: self.options.relayed.then(|| IpAddr::from(self.front_bind_ip(index))),
            front: is_proxy.then(|| self.front_address(index)),
            ready: is_proxy.then(|| self.ready_address(index)),
            feed_address: Some(SocketAddr::from((self.subnet.front(index), ports::FEED))),
            ..self.common_settings(format!("front-{index}"))
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let violations = self.violations();
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
        // No test passes beside a violated invariant. One that fails already tells its own reason.
        if !std::thread::panicking() && !self.are_violations_reported {
            assert!(violations.is_empty(), "violated invariants: {violations:#?}");
        }
    }
}

/// What `GET /metrics` at that address tells, if it answers.
async fn metrics_text(address: SocketAddr) -> Option<String> {
    let response = call_once(address, &Request::new("GET", "/metrics")).await.ok()?;
    (response.status == 200).then(|| String::from_utf8_lossy(&response.body).into_owned())
}

fn control_name(index: usize) -> String {
    format!("control-{index}")
}

/// Looks again and again until `look` holds; false if it never does. Only for real processes, whose pace is not ours.
pub async fn poll<F: Future<Output = bool>>(mut look: impl FnMut() -> F) -> bool {
    for _ in 0..MAX_POLLS {
        if look().await {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

/// The status of `GET /ready` at that address, if there is a response.
pub async fn readiness_status(address: SocketAddr) -> Option<u16> {
    let call = async {
        let mut connection = Connection::open(address).await.ok()?;
        let mut request = Request::new("GET", "/ready");
        request.headers.push("Host", address.to_string());
        connection.write(&request.encode()).await.ok()?;
        connection.read_response().await.ok().map(|response| response.status)
    };
    tokio::time::timeout(READINESS_TIMEOUT, call).await.ok().flatten()
}
