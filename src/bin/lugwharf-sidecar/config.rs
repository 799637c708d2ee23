//! The configuration of a sidecar, read from its JSON file and the environment.

use lugwharf_sidecar::api::{RequestClass, Settings};
use lugwharf_sidecar::settings_text::{self, NetworkSettings, SettingError};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use std::{env, fs, io};

/// The limit on file descriptors where the configuration sets none.
const DEFAULT_MAX_DESCRIPTORS: usize = 1_024;
/// The longest that a client waits where its class sets no deadline.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(60);

/// The errors of reading a configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("BALANCER_CONFIG is not set")]
    NoFile,
    #[error("reading {0}: {1}")]
    Read(String, io::Error),
    #[error("the configuration is no JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("{key}: cannot read {text:?}")]
    Value { key: &'static str, text: String },
    #[error(transparent)]
    Setting(#[from] SettingError),
}

/// The configuration of a sidecar.
pub struct Config {
    /// The name of this sidecar, for its log.
    pub name: String,
    /// The address on which the sidecar listens.
    pub listen: SocketAddr,
    /// The address of discovery at the start.
    pub discovery: SocketAddr,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The limit on the file descriptors of the process.
    pub max_descriptors: usize,
    /// The server list that this sidecar had last, in the JSON form of discovery. The list may be out of date
    /// or missing.
    pub cached_list: Value,
    pub settings: Settings,
    pub network: NetworkSettings,
}

impl Config {
    /// Reads the file that `BALANCER_CONFIG` names, and the environment.
    pub fn from_env() -> Result<Config, ConfigError> {
        Config::read(&read_file()?, |key| env::var(key).ok())
    }

    /// Reads the file again, at SIGHUP, and returns the new address of discovery. The file was changed after
    /// the process started, so the file takes precedence over the address that the environment gave at the
    /// start.
    pub fn reload_discovery() -> Result<SocketAddr, ConfigError> {
        let env = |key: &str| env::var(key).ok().filter(|_| key != "BALANCER_DISCOVERY");
        Ok(Config::read(&read_file()?, env)?.discovery)
    }

    /// Parses the JSON `text`. The environment takes precedence where both set a value.
    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let json: Value = serde_json::from_str(text)?;
        let text = |key: &str, variable: &str| {
            env(variable).or_else(|| json[key].as_str().map(String::from)).unwrap_or_default()
        };
        let address = |key: &'static str, variable: &str| {
            let text = text(key, variable);
            text.parse().map_err(|_| ConfigError::Value { key, text })
        };
        let seed = json["seed"].as_str().unwrap_or_default();
        let seed = u64::from_str_radix(seed, 16)
            .map_err(|_| ConfigError::Value { key: "seed", text: seed.to_owned() })?;
        let max_descriptors = json["limits"]["sockets"].as_u64();
        let mut settings = String::new();
        flatten("", &json["settings"], &mut settings);
        Ok(Config {
            name: text("name", "BALANCER_NAME"),
            listen: address("listen", "BALANCER_LISTEN")?,
            discovery: address("discovery", "BALANCER_DISCOVERY")?,
            seed,
            max_descriptors: max_descriptors.map_or(DEFAULT_MAX_DESCRIPTORS, |n| n as usize),
            cached_list: json["known"].clone(),
            settings: settings_text::parse(&settings)?,
            network: settings_text::parse_network_settings(&settings)?,
        })
    }

    /// Returns the longest that a client of any class waits.
    pub fn max_client_timeout(&self) -> Duration {
        self.settings.classes.iter().map(client_timeout).max().unwrap_or(DEFAULT_CLIENT_TIMEOUT)
    }
}

fn read_file() -> Result<String, ConfigError> {
    let path = env::var("BALANCER_CONFIG").map_err(|_| ConfigError::NoFile)?;
    fs::read_to_string(&path).map_err(|error| ConfigError::Read(path, error))
}

/// Returns the longest that a client of this class waits.
pub fn client_timeout(class: &RequestClass) -> Duration {
    if class.deadline.is_zero() { DEFAULT_CLIENT_TIMEOUT } else { class.deadline }
}

/// Returns a name as the settings text spells it, so that names can be compared: spaces, commas and line
/// breaks become underscores.
pub fn normalize_name(text: &str) -> String {
    text.replace([' ', ',', '\n', '\r'], "_")
}

/// Appends nested settings to `out` as the `path=value` lines of the settings text. A list of objects becomes
/// a `count` and numbered paths; the items of other lists are joined by commas.
fn flatten(path: &str, value: &Value, out: &mut String) {
    let child_path = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    let scalar_text = |value: &Value| match value {
        Value::String(text) => normalize_name(text),
        other => other.to_string(),
    };
    match value {
        Value::Null => {}
        Value::Object(map) => map.iter().for_each(|(key, value)| flatten(&child_path(key), value, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            *out += &format!("{}={}\n", child_path("count"), items.len());
            items.iter().enumerate().for_each(|(i, item)| flatten(&child_path(&i.to_string()), item, out));
        }
        Value::Array(items) => {
            *out += &format!("{path}={}\n", items.iter().map(scalar_text).collect::<Vec<_>>().join(","));
        }
        value => *out += &format!("{path}={}\n", scalar_text(value)),
    }
}

#[cfg(test)]
#[path = "config_tests.rs"]
pub mod tests;
