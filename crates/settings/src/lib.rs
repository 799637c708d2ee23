//! The settings file of a process: where it runs, which addresses it listens on, its resource limits and the time limits of the
//! deployment.
//!
//! The file is TOML; the environment variable [`PATH_VARIABLE`] names it. Unknown keys are ignored, since deployments may add
//! some at any time. Every error names the key. `tests/outside_form.rs` fixes all keys, defaults and error texts.
#![forbid(unsafe_code)]

mod bounds;
mod ports;

pub use bounds::Bounds;
pub use ports::{InternalPorts, PortRange};

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// The environment variable that contains the path of the settings file.
pub const PATH_VARIABLE: &str = "LUGWHARF_BOOT";
/// The path that is used when the variable is not set.
pub const DEFAULT_PATH: &str = "/etc/lugwharf/settings.toml";

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{path}: {cause}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the file system. It is a part of the text and no source, or reports of the chain would say it twice.
        cause: std::io::Error,
    },
    /// The text is not TOML, or a key has the wrong type or is missing. The message of the parser, on one line.
    #[error("{0}")]
    Malformed(String),
    /// A key has a value that no process can work with.
    #[error("{field}: {reason}")]
    Invalid {
        /// The key as the file spells it, with its table.
        field: &'static str,
        /// What is wrong with its value.
        reason: &'static str,
    },
}

/// The addresses that a process listens on, by what it serves there.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase", default)]
pub struct Listen {
    /// The requests of clients.
    pub front: Option<SocketAddr>,
    /// The readiness checks of the platform.
    pub ready: Option<SocketAddr>,
    /// The API of the operator.
    pub control: Option<SocketAddr>,
}

/// The resource limits of this process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase", default)]
pub struct Limits {
    /// Memory, in MB; a process above it is killed. Default 256.
    pub memory_mb: u64,
    /// File descriptors, of which 200 are reserved for files outside the data directory. Default 1,024.
    pub max_fds: usize,
    /// The maximum size of `DataDir`, in MB; 0 (the default) where there is no disk.
    pub disk_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 256, max_fds: 1024, disk_mb: 0 }
    }
}

/// The faults that the deployment tolerates with every guarantee intact.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase", default)]
pub struct FaultTolerance {
    /// f: how many machines that count for the quorum may be lost at once. Default 0.
    pub machines: usize,
}

/// The service of the platform that lists the servers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Cloud {
    /// The address that it serves.
    pub address: SocketAddr,
    /// The requests a second that it accepts from the whole fleet. Default 10.
    #[serde(default = "default_rate_per_s")]
    pub rate_per_s: f64,
    /// How far the list may be out of date, in ms. Default 0.
    #[serde(default)]
    pub lag_ms: u64,
}

fn default_true() -> bool {
    true
}

fn default_rate_per_s() -> f64 {
    10.0
}

/// How the agent of a machine serves the API of the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlPlacement {
    /// Not at all.
    None,
    /// It listens on this address and redirects callers to a control process.
    Gateway(SocketAddr),
    /// It hosts a replica of the control plane.
    Replica,
}

/// All settings of one process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    /// The name of the machine.
    pub node: String,
    /// The role of the process, as the deploy file names it. Only `lugwharf check-settings` prints it. Default empty.
    #[serde(default)]
    pub role: String,
    /// The address of the machine.
    pub ip: IpAddr,
    /// The address that this process listens on and connects from instead of [`Settings::ip`], where other machines reach it
    /// under an address that is not its own, as behind network address translation.
    #[serde(default)]
    pub bind: Option<IpAddr>,
    /// The zone of the machine. Default empty.
    #[serde(default)]
    pub zone: String,
    /// The region of the machine. Default empty.
    #[serde(default)]
    pub region: String,
    /// The ports that are free for internal traffic.
    pub port_range: PortRange,
    /// The operator API addresses of some machines that serve it, to join the control plane by.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system, with empty disks. Default false.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the loss of this machine counts for [`FaultTolerance`]. Only such machines become members of a view. Default
    /// true.
    #[serde(default = "default_true")]
    pub counts_for_quorum: bool,
    /// The directory for durable files, if the machine has a disk.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// The addresses to listen on.
    #[serde(default)]
    pub listen: Listen,
    /// The resource limits.
    #[serde(default)]
    pub limits: Limits,
    /// The tolerated faults.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// The time limits and quotas.
    #[serde(default)]
    pub bounds: Bounds,
    /// The list service of the platform, where the deployment has one.
    #[serde(default)]
    pub cloud: Option<Cloud>,
    /// The address on which the agent feeds the proxy of its machine, if not its port on 127.0.0.1. Needed where several
    /// machines share one loopback interface.
    #[serde(default)]
    pub feed_address: Option<SocketAddr>,
    /// The file that these settings were read from; `None` for a text. No key of the file.
    #[serde(skip)]
    pub source: Option<PathBuf>,
}

impl Settings {
    /// Parses and checks settings in TOML.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|e| SettingsError::Malformed(one_line(&e)))?;
        settings.validate()?;
        Ok(settings)
    }

    /// Reads, parses and checks the file at `path`.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Unreadable { path: path.to_owned(), cause })?;
        let settings = Settings::parse(&text)?;
        Ok(Settings { source: Some(path.to_owned()), ..settings })
    }

    /// Reads the same file again, as at SIGHUP; the one at [`Settings::path`] where these settings come from a text.
    ///
    /// # Errors
    /// As [`Settings::read`].
    pub fn reload(&self) -> Result<Settings, SettingsError> {
        match &self.source {
            Some(path) => Settings::read(path),
            None => Settings::read(&Settings::path()),
        }
    }

    /// The path of the settings file of this process: from the environment, or the default.
    pub fn path() -> PathBuf {
        std::env::var_os(PATH_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from)
    }

    /// The address to listen on for internal traffic.
    pub fn listen_ip(&self) -> IpAddr {
        self.bind.unwrap_or(self.ip)
    }

    /// The ports of the internal protocols.
    pub fn internal_ports(&self) -> InternalPorts {
        InternalPorts::in_range(self.port_range)
    }

    /// How an agent serves the API of the operator. A machine that counts for the quorum hosts a replica, wherever the
    /// deployment puts it; any other machine that serves the API redirects callers. An error if a replica would have no disk.
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

    /// The address on which the agent feeds the proxy of its machine.
    pub fn feed_address(&self) -> SocketAddr {
        let port = self.internal_ports().feed;
        self.feed_address.unwrap_or(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let invalid = |field, reason| Err(SettingsError::Invalid { field, reason });
        if self.node.is_empty() {
            return invalid("Node", "must not be empty");
        }
        let PortRange { first, last } = self.port_range;
        if first == 0 || last < first.saturating_add(InternalPorts::COUNT - 1) {
            return invalid("PortRange", "holds too few ports");
        }
        if let Some(cloud) = &self.cloud
            && !(cloud.rate_per_s.is_finite() && cloud.rate_per_s > 0.0)
        {
            return invalid("Cloud.RatePerS", "must be above 0");
        }
        self.bounds.validate()
    }
}

/// The message of the parser on one line, for the log.
fn one_line(error: &toml::de::Error) -> String {
    let message = error.to_string();
    let lines: Vec<&str> = message.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
    lines.join(" ")
}
