//! The types of a configuration. The encoded names are those of the operator's JSON. Unknown fields are
//! ignored.

use serde::Deserialize;

/// The version of a configuration. Versions increase, but not always by 1. 0 means that there is no
/// configuration yet.
pub type VersionNumber = u64;

/// Whether the requests of a route may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// The request is idempotent: it may be executed more than once.
    Safe,
    /// The request must be executed at most once for each attempt of the client.
    Unsafe,
    /// The response is a stream of events. The request is treated like an `Unsafe` one unless the route is
    /// resumable.
    Streaming,
}

/// One service of a route whose requests are split by weight.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct WeightedService {
    /// The name of the service.
    pub service: String,
    /// The share of the requests that the service gets, relative to the other weights.
    pub weight: f64,
}

/// A service that the requests of a route are sent to, borrowed from the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteTarget<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// The share of the requests that the service gets, relative to the other weights.
    pub weight: f64,
}

/// A route: which requests it matches, which services they are sent to, and their limits.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Route {
    /// The name of the route, which patches refer to. Default empty.
    #[serde(default)]
    pub name: String,
    /// The `Host` that the route matches, compared case-insensitively.
    pub host: String,
    /// The prefix of the paths that the route matches. It begins and ends with a slash.
    pub path_prefix: String,
    /// Whether the requests of the route may be executed more than once.
    pub route_kind: RouteKind,
    /// The timeout of one attempt of a client, in ms; above 0.
    pub timeout_ms: f64,
    /// The latency objective (SLO), in ms: a response within this time has its full value. Default 0, which
    /// means none.
    #[serde(default)]
    pub slo_ms: f64,
    /// The priority of the requests. 0, the default, is the highest.
    #[serde(default)]
    pub priority: u8,
    /// The service that the requests are sent to, unless the route is split.
    #[serde(default)]
    pub service: Option<String>,
    /// The services that the requests are split between; empty if the route is not split.
    #[serde(default)]
    pub traffic_split: Vec<WeightedService>,
    /// The maximum number of servers that one attempt of a client may be sent to. Default 1.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Whether the requests share prompt prefixes, so that affinity to a server pays. Default false.
    #[serde(default)]
    pub sticky: bool,
    /// Whether an interrupted stream may be resumed on another server. Default false.
    #[serde(default)]
    pub resumable: bool,
    /// The target for the time between two events of a stream, in ms. Default 0, which means none.
    #[serde(rename = "gap_aim_ms", default)]
    pub event_gap_target_ms: f64,
}

fn default_max_attempts() -> u32 {
    1
}

impl Route {
    /// The services that the requests are sent to, with their weights. The weight is 1 if the route is not
    /// split.
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

/// The properties of the model servers of a service, as the operator states them. Absent values are 0.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Engine {
    /// The maximum number of requests in a batch.
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
    /// How long a server keeps a prefilled KV cache for the decode server to fetch, in s.
    #[serde(rename = "KvHoldS", default)]
    pub kv_handle_ttl_s: f64,
    /// How long a stage change of a server takes, in s.
    #[serde(default)]
    pub switch_s: f64,
}

/// A service: a set of equivalent servers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    /// The name of the service.
    pub name: String,
    /// The path of the health check of the servers. Default empty.
    #[serde(default)]
    pub health_path: String,
    /// The maximum number of connections to each server, from all callers together; unlimited if absent.
    #[serde(default)]
    pub max_conns: Option<u32>,
    /// The properties of the model servers; absent for a plain service.
    #[serde(default)]
    pub engine: Option<Engine>,
}

/// The limits on requests and connections of clients.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase", default)]
pub struct Limits {
    /// The maximum size of a request head, in bytes. Default 16 KiB.
    pub max_header_bytes: usize,
    /// The maximum size of a request body, in bytes. Default 4 MiB.
    pub max_body_bytes: usize,
    /// The timeout for receiving a request head, in ms. Default 3,000.
    pub header_timeout_ms: u64,
    /// The timeout of a connection that is idle between requests, in ms. Default 15,000.
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
    /// The version of the configuration, above 0.
    pub version: VersionNumber,
    /// The routes. There is at most one for each host and prefix.
    pub routes: Vec<Route>,
    /// The services. Their names are unique.
    pub services: Vec<Service>,
    /// The limits on requests and connections of clients.
    #[serde(default)]
    pub limits: Limits,
}

impl Configuration {
    /// Parses JSON text that [`Configuration::parse`] has accepted before, without validating it again.
    ///
    /// Earlier versions accepted text in which an object has a name twice, and validated the last value. Such
    /// text may still be in the history, so the last value is used here as well.
    pub fn parse_unchecked(bytes: &[u8]) -> Result<Configuration, serde_json::Error> {
        serde_json::from_slice(bytes).or_else(|_| serde_json::from_value(serde_json::from_slice(bytes)?))
    }

    /// The service with this name, if there is one.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
