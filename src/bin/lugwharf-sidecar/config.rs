//! The configuration of a sidecar: the environment and its JSON file.

use lugwharf_sidecar::api::{RequestClass, Settings};
use lugwharf_sidecar::settings_text::{self, NetworkSettings, SettingError};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use std::{env, fs, io};

/// The limit on descriptors where the configuration names none.
const DEFAULT_MAX_DESCRIPTORS: usize = 1_024;
/// How long a client waits at most where its class names no deadline.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Why the configuration cannot be used.
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

pub struct Config {
    /// The name of this sidecar, for its log.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where discovery is at the start.
    pub discovery: SocketAddr,
    /// The seed of all random draws.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The server list as this sidecar had it last, in discovery's form. It may be out of date, or missing.
    pub known: Value,
    pub settings: Settings,
    pub deployment: NetworkSettings,
}

impl Config {
    /// Reads the file that `BALANCER_CONFIG` names, and the environment.
    pub fn from_env() -> Result<Config, ConfigError> {
        Config::read(&read_file()?, |key| env::var(key).ok())
    }

    /// Reads the file again, at SIGHUP, and returns where discovery is from now on. The file was changed after the process
    /// started, so it takes precedence over the address that the environment gave at the start.
    pub fn reload_discovery() -> Result<SocketAddr, ConfigError> {
        let env = |key: &str| env::var(key).ok().filter(|_| key != "BALANCER_DISCOVERY");
        Ok(Config::read(&read_file()?, env)?.discovery)
    }

    /// Reads the JSON. The environment takes precedence where both name a value.
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
            known: json["known"].clone(),
            settings: settings_text::parse(&settings)?,
            deployment: settings_text::parse_network_settings(&settings)?,
        })
    }

    /// The longest that a client of any class waits.
    pub fn max_client_timeout(&self) -> Duration {
        self.settings.classes.iter().map(client_timeout).max().unwrap_or(DEFAULT_CLIENT_TIMEOUT)
    }
}

fn read_file() -> Result<String, ConfigError> {
    let path = env::var("BALANCER_CONFIG").map_err(|_| ConfigError::NoFile)?;
    fs::read_to_string(&path).map_err(|error| ConfigError::Read(path, error))
}

/// How long a client of this class waits at most.
pub fn client_timeout(class: &RequestClass) -> Duration {
    if class.deadline.is_zero() { DEFAULT_CLIENT_TIMEOUT } else { class.deadline }
}

/// A name in the form that it has in the settings text, in which names are compared.
pub fn flat_name(text: &str) -> String {
    text.replace([' ', ',', '\n', '\r'], "_")
}

/// Writes nested settings as the `path=value` lines of the settings text. A list of objects gets a `count` and numbered
/// paths; other lists are joined by commas.
fn flatten(path: &str, value: &Value, out: &mut String) {
    let below = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    let plain = |value: &Value| match value {
        Value::String(text) => flat_name(text),
        other => other.to_string(),
    };
    match value {
        Value::Null => {}
        Value::Object(map) => map.iter().for_each(|(key, value)| flatten(&below(key), value, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            *out += &format!("{}={}\n", below("count"), items.len());
            items.iter().enumerate().for_each(|(i, item)| flatten(&below(&i.to_string()), item, out));
        }
        Value::Array(items) => {
            *out += &format!("{path}={}\n", items.iter().map(plain).collect::<Vec<_>>().join(","));
        }
        value => *out += &format!("{path}={}\n", plain(value)),
    }
}

#[cfg(test)]
#[path = "config_tests.rs"]
pub mod tests;
