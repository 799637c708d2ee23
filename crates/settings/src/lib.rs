//! The settings file of a process: the machine, the addresses to listen on, resource limits, and the time
//! limits of the deployment.
//!
//! The file is in TOML. The environment variable [`PATH_VARIABLE`] contains the path of the file. Unknown
//! keys are ignored, because deployments may add keys at any time. Every error names the key.
//! `tests/outside_form.rs` fixes all keys, defaults and error texts.
#![forbid(unsafe_code)]

mod bounds;
mod follower;
mod ports;
mod watched_file;

pub use bounds::Bounds;
pub use follower::SettingsFollower;
pub use ports::{InternalPorts, PortRange};
pub use watched_file::WatchedFile;

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// The environment variable that contains the path of the settings file.
pub const PATH_VARIABLE: &str = "LUGWHARF_BOOT";
/// The path of the settings file if the variable is not set.
pub const DEFAULT_PATH: &str = "/etc/lugwharf/settings.toml";

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{path}: {cause}")]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error. It is part of the message and not the `source` of this error, because a report of
        /// the error chain would otherwise contain it twice.
        cause: std::io::Error,
    },
    /// The text is not valid TOML, or a key is missing or has the wrong type. Contains the message of the
    /// parser on one line.
    #[error("{0}")]
    Malformed(String),
    /// The value of a key is out of range or unusable.
    #[error("{field}: {reason}")]
    Invalid {
        /// The key as it is spelled in the file, with its table.
        field: &'static str,
        /// What is wrong with the value.
        reason: &'static str,
    },
}

/// The addresses that a process listens on, by the kind of request.
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
    /// The memory limit, in MB. A process above the limit is killed. Default 256.
    pub memory_mb: u64,
    /// The maximum number of file descriptors, of which 200 are reserved for files outside the data
    /// directory. Default 1,024.
    pub max_fds: usize,
    /// The maximum size of `DataDir`, in MB. Default 0, for a machine without a disk.
    pub disk_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 256, max_fds: 1024, disk_mb: 0 }
    }
}

/// The faults that the deployment must tolerate without a violation of any guarantee.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase", default)]
pub struct FaultTolerance {
    /// The number f of machines that count for the quorum and may be lost at once. Default 0.
    pub machines: usize,
}

/// The platform API that lists the servers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Cloud {
    /// The address of the platform API.
    pub address: SocketAddr,
    /// The rate limit for the whole fleet, in requests per second. Default 10.
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
    /// The agent does not serve the API.
    None,
    /// The agent listens on this address and redirects callers to a control process.
    Gateway(SocketAddr),
    /// The agent hosts a replica of the control plane.
    Replica,
}

/// All settings of one process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    /// The name of the machine.
    pub node: String,
    /// The role of the process, as the deploy file names it. It is used only in the output of
    /// `lugwharf check-settings`. Default empty.
    #[serde(default)]
    pub role: String,
    /// The address of the machine.
    pub ip: IpAddr,
    /// The address that this process listens on and connects from, if other machines reach the process at a
    /// different address ([`Settings::ip`]), for example because of network address translation.
    #[serde(default)]
    pub bind: Option<IpAddr>,
    /// The zone of the machine. Default empty.
    #[serde(default)]
    pub zone: String,
    /// The region of the machine. Default empty.
    #[serde(default)]
    pub region: String,
    /// The range of ports for internal traffic.
    pub port_range: PortRange,
    /// The operator API addresses of some machines, used to join the control plane.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the entire fleet, with empty disks. Default false.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the machine counts for the quorum. Only machines that do can become members of a view, and
    /// only their loss counts for [`FaultTolerance`]. Default true.
    #[serde(default = "default_true")]
    pub counts_for_quorum: bool,
    /// The directory for durable files; absent on a machine without a disk.
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
    /// The faults that must be tolerated.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// The time limits and quotas.
    #[serde(default)]
    pub bounds: Bounds,
    /// The platform API that lists the servers; absent if the deployment has none.
    #[serde(default)]
    pub cloud: Option<Cloud>,
    /// The address on which the agent feeds the proxy of its machine. Default: the feed port on 127.0.0.1.
    /// The key is needed where several machines share one loopback interface.
    #[serde(default)]
    pub feed_address: Option<SocketAddr>,
    /// The file that the settings were read from; `None` if they were parsed from a string. Not a key of the
    /// file.
    #[serde(skip)]
    pub source: Option<PathBuf>,
}

impl Settings {
    /// Parses and validates settings in TOML.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings =
            toml::from_str(text).map_err(|error| SettingsError::Malformed(one_line(&error)))?;
        settings.validate()?;
        Ok(settings)
    }

    /// Reads, parses and validates the file at `path`.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Unreadable { path: path.to_owned(), cause })?;
        let settings = Settings::parse(&text)?;
        Ok(Settings { source: Some(path.to_owned()), ..settings })
    }

    /// Reads the settings file again, as on SIGHUP. Settings that were parsed from a string are read from
    /// [`Settings::path`].
    ///
    /// # Errors
    ///
    /// The same as those of [`Settings::read`].
    pub fn reload(&self) -> Result<Settings, SettingsError> {
        match &self.source {
            Some(path) => Settings::read(path),
            None => Settings::read(&Settings::path()),
        }
    }

    /// The path of the settings file of this process: the value of [`PATH_VARIABLE`], or [`DEFAULT_PATH`].
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

    /// How the agent serves the API of the operator. On a machine that counts for the quorum, the agent hosts
    /// a replica. On any other machine that serves the API, it redirects callers.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] if a replica would have no data directory.
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

/// The message of the parser on one line, so that it fits into a log line.
fn one_line(error: &toml::de::Error) -> String {
    let message = error.to_string();
    let lines: Vec<&str> = message.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
    lines.join(" ")
}
