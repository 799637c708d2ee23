//! The machines of a fleet on one host: settings files, processes of the real binary, and their kills and
//! restarts.
//!
//! Each machine has its own address in 127.0.0.0/8, so that all machines use the same ports, as in a
//! deployment.
//!
//! | module | concern |
//! | --- | --- |
//! | `options` | the machines of a cluster and the settings of their processes |
//! | `addresses`, `ports` | a block of loopback addresses for each cluster, and the ports of a machine |
//! | `layout` | the addresses of the machines of a cluster |
//! | `settings_file`, `settings` | the format of settings files, and the settings of each process |
//! | `process` | one process of the real binary |
//! | `signals` | kills, signals and the loss of disks |
//! | `observation`, `poll` | status, metrics, logs and readiness of the processes, and waiting for them |

mod addresses;
mod layout;
mod observation;
mod options;
mod poll;
pub mod ports;
mod process;
mod settings;
mod settings_file;
mod signals;

pub use addresses::Subnet;
pub use observation::readiness_status;
pub use options::{ClusterOptions, ControlPlacement};
pub use poll::poll;
pub use process::{Process, Signal};
pub use settings_file::{SettingsSpec, machine_class};

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The roles of the processes of a front-end node.
const FRONT_ROLES: [&str; 2] = ["proxy", AGENT];
/// The role of an agent.
const AGENT: &str = "agent";

/// The machines and processes of a fleet.
///
/// Dropping a cluster kills all processes and removes their directories. The drop panics if a process has
/// logged a violated invariant, unless the caller has called [`Cluster::take_violations`].
pub struct Cluster {
    binary: PathBuf,
    directory: PathBuf,
    subnet: Subnet,
    options: ClusterOptions,
    processes: BTreeMap<String, Process>,
    is_first_start: bool,
    /// The number of control machines that vote. The first ones vote, the others are learners.
    voting_machines: usize,
    /// The seeds of processes that are started from now on; `None` for the first three control machines.
    seeds: Option<Vec<SocketAddr>>,
    /// Whether the caller reports violated invariants itself.
    are_violations_reported: bool,
}

/// The name of the settings file in the directory of a process.
const SETTINGS_FILE: &str = "settings.toml";

impl Cluster {
    /// Prepares the directories and addresses. Starts no process.
    ///
    /// # Errors
    ///
    /// The directory of the cluster cannot be removed or created.
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

    /// Lets only the first `machines` control machines vote. Takes effect when they are next started.
    pub fn set_voting_machines(&mut self, machines: usize) {
        self.voting_machines = machines;
    }

    /// Sets the control addresses that processes which are started from now on have as seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = Some(seeds);
    }

    /// Sets the seeds and replaces the settings files of all processes that have been started, without a
    /// signal to any of them.
    pub fn replace_seeds_without_signal(&mut self, seeds: Vec<SocketAddr>) -> io::Result<()> {
        self.seeds = Some(seeds);
        for index in 0..self.options.control_machines {
            self.replace_settings(&control_name(index), &self.control_settings(index))?;
        }
        for index in 0..self.options.front_ends {
            for role in FRONT_ROLES.into_iter().filter(|role| *role != AGENT || !self.hosts_control(index)) {
                self.replace_settings(&self.front_name(index, role), &self.front_settings(index, role))?;
            }
        }
        Ok(())
    }

    /// Replaces the settings files of all processes that have been started by files with the same seeds in
    /// another order, without a signal to any of them.
    pub fn rotate_seeds_without_signal(&mut self) -> io::Result<()> {
        let mut seeds = self.current_seeds();
        seeds.rotate_left(1);
        self.replace_seeds_without_signal(seeds)
    }

    /// Replaces the settings file of a process that has been started.
    fn replace_settings(&self, name: &str, spec: &SettingsSpec) -> io::Result<()> {
        let directory = self.directory.join(name);
        let replacement = directory.join("settings.new");
        std::fs::write(&replacement, spec.to_toml())?;
        std::fs::rename(replacement, directory.join(SETTINGS_FILE))
    }

    /// Starts all processes of all machines, control processes first. The first call bootstraps the fleet.
    pub fn start_all(&mut self) -> io::Result<()> {
        for index in 0..self.options.control_machines {
            if !self.hosts_control(index) {
                self.start_control(index)?;
            }
        }
        for index in 0..self.options.front_ends {
            self.start_front(index)?;
        }
        self.is_first_start = false;
        Ok(())
    }

    /// Starts the process of a control machine, with the current contents of its disk. A new index adds a
    /// machine.
    pub fn start_control(&mut self, index: usize) -> io::Result<()> {
        std::fs::create_dir_all(self.data_directory(index))?;
        let spec = self.control_settings(index);
        self.start_process(&control_name(index), &spec.role, &spec)
    }

    /// Starts both processes of a front-end node.
    pub fn start_front(&mut self, index: usize) -> io::Result<()> {
        for role in FRONT_ROLES {
            self.start_front_process(index, role)?;
        }
        Ok(())
    }

    /// Starts one process of a front-end node (`proxy` or `agent`).
    pub fn start_front_process(&mut self, index: usize, role: &str) -> io::Result<()> {
        if role == AGENT && self.hosts_control(index) {
            return self.start_control(index);
        }
        let spec = self.front_settings(index, role);
        self.start_process(&self.front_name(index, role), role, &spec)
    }

    /// The directory that serves as the disk of a control machine.
    pub fn data_directory(&self, index: usize) -> PathBuf {
        self.directory.join(control_name(index)).join("data")
    }

    /// The names of all processes that were ever started, in sorted order.
    pub fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// The directory with the settings and the output of each process.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// The process with a name such as `control-0`, `front-0-proxy` or `front-0-agent`.
    pub fn process(&mut self, name: &str) -> Option<&mut Process> {
        self.processes.get_mut(name)
    }

    /// Writes the settings file and starts the process. It replaces an earlier process with the same name.
    fn start_process(&mut self, name: &str, role: &str, spec: &SettingsSpec) -> io::Result<()> {
        let directory = self.directory.join(name);
        std::fs::create_dir_all(&directory)?;
        let settings = directory.join(SETTINGS_FILE);
        std::fs::write(&settings, spec.to_toml())?;
        let metrics = if role == AGENT { ports::AGENT_METRICS } else { ports::METRICS };
        let mut arguments = self.options.arguments.clone();
        arguments.extend(["--metrics".to_owned(), metrics.to_string()]);
        let process = Process::start(&self.binary, role, &arguments, &settings, &directory)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// The name of a process of a front-end node. An agent that hosts a control process has the name of the
    /// control machine.
    fn front_name(&self, index: usize, role: &str) -> String {
        if role == AGENT && self.hosts_control(index) {
            return control_name(index);
        }
        format!("front-{index}-{role}")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let violations = self.violations();
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
        // A test must not pass despite a violated invariant. A test that is already panicking fails anyway.
        if !std::thread::panicking() && !self.are_violations_reported {
            assert!(violations.is_empty(), "processes logged violated invariants: {violations:#?}");
        }
    }
}

fn control_name(index: usize) -> String {
    format!("control-{index}")
}
