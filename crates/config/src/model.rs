//! The types of a configuration. They spell the fields of the operator's JSON; unknown fields are ignored.

use serde::Deserialize;

/// The version of a configuration. Versions increase, not always by 1; 0 means that there is none yet.
pub type VersionNumber = u64;

/// Whether the requests of a route may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Idempotent: may be executed more than once.
    Safe,
    /// Executed at most once for each attempt of the client.
    Unsafe,
    /// The response is a stream of events; like `Unsafe` unless the route is resumable.
    Streaming,
}

/// One target of a route that is split by weight.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct WeightedService {
    /// The name of the service.
    pub service: String,
    /// Its share of the requests, relative to the other weights.
    pub weight: f64,
}

/// A service that requests of a route go to, borrowed from the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteTarget<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// Its share of the requests, relative to the other weights.
    pub weight: f64,
}

/// A route: which requests it matches, where they go and by which limits.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Route {
    /// Its name, for patches. Default empty.
    #[serde(default)]
    pub name: String,
    /// The `Host` that it matches, in any case.
    pub host: String,
    /// The prefix of the paths that it matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may be executed more than once.
    pub route_kind: RouteKind,
    /// The time limit of a client's attempt, in ms; above 0.
    pub timeout_ms: f64,
    /// The latency objective: a response within this has its full value, in ms. Default 0, none.
    #[serde(default)]
    pub slo_ms: f64,
    /// Its priority; 0 (the default) is the highest.
    #[serde(default)]
    pub priority: u8,
    /// The service that its requests go to, unless it is split.
    #[serde(default)]
    pub service: Option<String>,
    /// The services that its requests are split between; empty if it is not split.
    #[serde(default)]
    pub traffic_split: Vec<WeightedService>,
    /// The maximum number of servers that one attempt of a client may be sent to. Default 1.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Whether its requests share prefixes of their prompts, so that affinity to a server pays. Default false.
    #[serde(default)]
    pub sticky: bool,
    /// Whether an interrupted stream may be resumed at another server. Default false.
    #[serde(default)]
    pub resumable: bool,
    /// The objective for the time between two events of a stream, in ms. Default 0, none.
    #[serde(rename = "gap_aim_ms", default)]
    pub event_gap_target_ms: f64,
}

fn default_max_attempts() -> u32 {
    1
}

impl Route {
    /// The services that its requests go to, with their weights; weight 1 if it is not split.
    pub fn targets(&self) -> impl Iterator<Item = RouteTarget<'_>> {
        let single = self.service.iter().map(|service| RouteTarget { service, weight: 1.0 });
        let split = self.traffic_split.iter();
        single.chain(split.map(|target| RouteTarget { service: &target.service, weight: target.weight }))
    }

    /// Whether a request may be sent to a second server after a first one may have executed it.
    pub fn is_idempotent(&self) -> bool {
        self.route_kind == RouteKind::Safe
    }
}

/// What the operator states of the model servers of a service. Values that are left out are 0.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Engine {
    /// Requests in a batch.
    #[serde(default)]
    pub slots: u32,
    /// The capacity of a server's KV cache, in tokens.
    #[serde(default)]
    pub kv_tokens: u64,
    /// The size of a token in the KV cache, in bytes.
    #[serde(default)]
    pub kv_token_bytes: f64,
    /// The bandwidth of a link between servers, in Mbit/s.
    #[serde(default)]
    pub link_mbps: f64,
    /// How long a server keeps a prefilled KV cache for its decode server, in s.
    #[serde(rename = "KvHoldS", default)]
    pub kv_handle_ttl_s: f64,
    /// How long a server takes to change its stage, in s.
    #[serde(default)]
    pub switch_s: f64,
}

/// A service: a set of servers that are alike.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The path of the health check of its servers. Default empty.
    #[serde(default)]
    pub health_path: String,
    /// The maximum number of connections of each of its servers, from all callers together; unlimited if absent.
    #[serde(default)]
    pub max_conns: Option<u32>,
    /// Present if its servers are model servers.
    #[serde(default)]
    pub engine: Option<Engine>,
}

/// Limits on the requests and the connections of clients.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase", default)]
pub struct Limits {
    /// The maximum size of a request's head, in bytes. Default 16 KiB.
    pub max_header_bytes: usize,
    /// The maximum size of a request's body, in bytes. Default 4 MiB.
    pub max_body_bytes: usize,
    /// The time limit for a request's head, in ms. Default 3,000.
    pub header_timeout_ms: u64,
    /// How long a connection may be idle between two requests, in ms. Default 15,000.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Configuration {
    /// Its version, above 0.
    pub version: VersionNumber,
    /// The routes; at most one for each host and prefix.
    pub routes: Vec<Route>,
    /// The services; names are unique.
    pub services: Vec<Service>,
    /// Limits on clients.
    #[serde(default)]
    pub limits: Limits,
}

impl Configuration {
    /// Parses JSON text that [`Configuration::parse`] has accepted before, without validating it again.
    pub fn parse_unchecked(bytes: &[u8]) -> Result<Configuration, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
