//! The settings file of a process: where it runs, what it listens on, its limits and the bounds in force.
//!
//! The file is TOML; its path stands in the environment variable [`PATH_VARIABLE`]. Unknown fields are ignored, since new
//! ones may appear at any time. Every fault names the field.
#![forbid(unsafe_code)]

mod bounds;
mod ports;

pub use bounds::Bounds;
pub use ports::InternalPorts;

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "LUGWHARF_BOOT";
/// The path that is used when the variable is not set.
pub const DEFAULT_PATH: &str = "/etc/lugwharf/settings.toml";

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The text is not TOML, or a field has the wrong type or is missing.
    #[error("{0}")]
    Malformed(String),
    /// A field has a value that no process can work with.
    #[error("{field}: {reason}")]
    Invalid {
        /// The field as the file names it.
        field: &'static str,
        /// What is wrong with it.
        reason: &'static str,
    },
}

/// The addresses a process listens on, by what it serves.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase", default)]
pub struct Listen {
    /// Clients' requests.
    pub front: Option<SocketAddr>,
    /// The platform's readiness checks.
    pub ready: Option<SocketAddr>,
    /// The operator's API.
    pub control: Option<SocketAddr>,
}

/// What the machine grants this process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase", default)]
pub struct Limits {
    /// Memory in MB; a process over it is killed.
    pub memory_mb: u64,
    /// Descriptors, of which 200 are reserved for files outside the data directory.
    pub max_fds: usize,
    /// Bytes that `DataDir` may hold, in MB; 0 where there is no disk.
    pub disk_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 256, max_fds: 1024, disk_mb: 0 }
    }
}

/// What may be lost at once while every guarantee still holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase", default)]
pub struct FaultTolerance {
    /// Machines that count for the quorum.
    pub machines: usize,
}

/// The platform's list service.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Cloud {
    /// Where it answers.
    pub address: SocketAddr,
    /// Calls a second that it takes from the whole fleet.
    #[serde(default = "default_rate")]
    pub rate_per_s: f64,
    /// How far the list lags behind, in ms.
    #[serde(default)]
    pub lag_ms: u64,
}

fn yes() -> bool {
    true
}

fn default_rate() -> f64 {
    10.0
}

/// What a front does for callers of control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlPlacement {
    /// Nothing.
    None,
    /// It sends those who call this address on to a control process.
    Gateway(SocketAddr),
    /// It hosts a replica.
    Replica,
}

/// All settings of one process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    /// The name of the machine.
    pub node: String,
    /// The role of the process, as the deploy file names it.
    #[serde(default)]
    pub role: String,
    /// The address of the machine.
    pub ip: IpAddr,
    /// The address that this process listens on and connects from in place of [`Settings::ip`], where other machines reach
    /// it under an address that is not its own, as behind an address translation.
    #[serde(default)]
    pub bind: Option<IpAddr>,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its region.
    #[serde(default)]
    pub region: String,
    /// First and last of the ports that are free for internal traffic.
    pub port_range: (u16, u16),
    /// Control addresses of some machines that serve control.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the loss of this machine is counted; only such machines become members of a view.
    #[serde(default = "yes")]
    pub counts_for_quorum: bool,
    /// Where files last, if anywhere.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Region by zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses to listen on.
    #[serde(default)]
    pub listen: Listen,
    /// What the machine grants.
    #[serde(default)]
    pub limits: Limits,
    /// What may be lost at once.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// The bounds of the rules.
    #[serde(default)]
    pub bounds: Bounds,
    /// The platform's list, where the deployment has one.
    #[serde(default)]
    pub cloud: Option<Cloud>,
    /// Where the agent feeds the proxy of its machine, if not at its port on 127.0.0.1. Needed where several machines
    /// share one loopback interface.
    #[serde(default)]
    pub feed_address: Option<SocketAddr>,
}

impl Settings {
    /// Reads settings from TOML text.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|e| SettingsError::Malformed(one_line(&e)))?;
        settings.check()?;
        Ok(settings)
    }

    /// Reads the file at `path`.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        Settings::parse(&text)
    }

    /// The path of this process's settings file.
    pub fn path() -> PathBuf {
        std::env::var_os(PATH_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from)
    }

    /// The address to listen on for internal traffic.
    pub fn listen_ip(&self) -> IpAddr {
        self.bind.unwrap_or(self.ip)
    }

    /// The ports of the internal protocols.
    pub fn internal_ports(&self) -> InternalPorts {
        InternalPorts::of(self.port_range)
    }

    /// What a process that is no control process of its own does for callers of control. A machine that counts hosts a
    /// replica, wherever the deployment puts it; any other machine that serves control sends callers on.
    pub fn control_placement(&self) -> Result<ControlPlacement, SettingsError> {
        let Some(address) = self.listen.control else { return Ok(ControlPlacement::None) };
        if !self.counts_for_quorum {
            return Ok(ControlPlacement::Gateway(address));
        }
        if self.data_dir.is_none() {
            let reason = "is missing on a machine that counts and serves control";
            return Err(SettingsError::Invalid { field: "DataDir", reason });
        }
        Ok(ControlPlacement::Replica)
    }

    /// Where the agent feeds the proxy of its machine.
    pub fn feed_address(&self) -> SocketAddr {
        let port = self.internal_ports().feed;
        self.feed_address.unwrap_or(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
    }

    fn check(&self) -> Result<(), SettingsError> {
        let invalid = |field, reason| Err(SettingsError::Invalid { field, reason });
        if self.node.is_empty() {
            return invalid("Node", "must not be empty");
        }
        let (first, last) = self.port_range;
        if first == 0 || last < first.saturating_add(InternalPorts::NEEDED - 1) {
            return invalid("PortRange", "holds too few ports");
        }
        if let Some(cloud) = &self.cloud
            && !(cloud.rate_per_s.is_finite() && cloud.rate_per_s > 0.0)
        {
            return invalid("Cloud.RatePerS", "must be above 0");
        }
        self.bounds.check()
    }
}

/// The parser's message without its excerpt, so that a fault takes one line in the log.
fn one_line(error: &toml::de::Error) -> String {
    let whole = error.to_string();
    let parts: Vec<&str> = whole.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
    parts.join(" ")
}
