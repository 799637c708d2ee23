//! Configurations as the operator sends them, including invalid ones. The encoded names are fixed by the
//! operator's API.

use serde::Serialize;
use serde_json::Value;

/// One service of a traffic split.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct SplitSpec {
    /// The name of the service.
    pub service: String,
    /// The weight of the service relative to the other services of the split.
    pub weight: f64,
}

/// A route of a configuration.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct RouteSpec {
    /// The name of the route.
    pub name: String,
    /// The host that the route matches.
    pub host: String,
    /// The path prefix that the route matches.
    pub path_prefix: String,
    /// `safe`, `unsafe` or `streaming`.
    pub route_kind: String,
    /// The timeout of one attempt of a client, in ms.
    pub timeout_ms: u64,
    /// The latency objective (SLO), in ms.
    pub slo_ms: u64,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The service that receives all traffic, for a route without a split.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The services that share the traffic; empty for a route without a split.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub traffic_split: Vec<SplitSpec>,
    /// The maximum number of servers that one attempt of a client may be sent to.
    pub max_attempts: u32,
    /// Whether requests share prompt prefixes, so that affinity to a server's prefix cache pays.
    pub sticky: bool,
    /// Whether an interrupted stream may be resumed on another server.
    pub resumable: bool,
    /// The target for the time between two events of a stream, in ms.
    #[serde(rename = "gap_aim_ms")]
    pub event_gap_target_ms: u64,
}

impl RouteSpec {
    /// A route of the given kind to one service, with a timeout of 5 s, an SLO of 500 ms and 2 attempts.
    pub fn new(host: &str, path_prefix: &str, route_kind: &str, service: &str) -> RouteSpec {
        RouteSpec {
            name: format!("r{}", path_prefix.replace('/', "-")),
            host: host.to_owned(),
            path_prefix: path_prefix.to_owned(),
            route_kind: route_kind.to_owned(),
            timeout_ms: 5_000,
            slo_ms: 500,
            priority: 0,
            service: Some(service.to_owned()),
            traffic_split: Vec::new(),
            max_attempts: 2,
            sticky: route_kind == "streaming",
            resumable: false,
            event_gap_target_ms: 300,
        }
    }
}

/// The properties of the model servers of a service, as a configuration states them.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct EngineSpec {
    /// The maximum number of requests in a batch.
    pub slots: u32,
    /// The capacity of a server's KV cache, in tokens.
    pub kv_tokens: u64,
    /// The size of a token in the KV cache, in bytes.
    pub kv_token_bytes: f64,
    /// The bandwidth of KV transfers, in Mbit/s.
    pub link_mbps: f64,
    /// How long a KV handle can be fetched, in s.
    #[serde(rename = "KvHoldS")]
    pub kv_handle_ttl_s: f64,
    /// How long a stage change takes, in s.
    pub switch_s: f64,
}

impl From<&crate::model_server::ModelParameters> for EngineSpec {
    fn from(parameters: &crate::model_server::ModelParameters) -> Self {
        EngineSpec {
            slots: u32::try_from(parameters.slots).unwrap_or(u32::MAX),
            kv_tokens: parameters.kv_tokens,
            kv_token_bytes: parameters.kv_token_bytes,
            link_mbps: parameters.link_mbps,
            kv_handle_ttl_s: parameters.handle_ttl.as_secs_f64(),
            switch_s: parameters.switch_duration.as_secs_f64(),
        }
    }
}

/// A service of a configuration.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ServiceSpec {
    /// The name of the service.
    pub name: String,
    /// The path of the health check.
    pub health_path: String,
    /// The maximum number of connections to each server.
    pub max_conns: u32,
    /// The protocol of the servers; `h1` is HTTP/1.1.
    pub protocol: String,
    /// Whether connections use TLS.
    pub tls: bool,
    /// The properties of the model servers; absent for a plain service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineSpec>,
}

impl ServiceSpec {
    /// A service with the health path `/health` and at most 350 connections to each server.
    pub fn new(name: &str, engine: Option<EngineSpec>) -> ServiceSpec {
        ServiceSpec {
            name: name.to_owned(),
            health_path: "/health".to_owned(),
            max_conns: 350,
            protocol: "h1".to_owned(),
            tls: false,
            engine,
        }
    }
}

/// Limits of client requests.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct LimitsSpec {
    /// The maximum size of a request head, in bytes.
    pub max_header_bytes: u64,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// The timeout for receiving a request head, in ms.
    pub header_timeout_ms: u64,
    /// The timeout of a connection that is idle between requests, in ms.
    pub idle_timeout_ms: u64,
}

impl Default for LimitsSpec {
    fn default() -> Self {
        LimitsSpec {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ConfigurationSpec {
    /// The version of the configuration.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// Limits of client requests.
    pub limits: LimitsSpec,
}

impl ConfigurationSpec {
    /// A configuration without routes and services.
    pub fn new(version: u64) -> ConfigurationSpec {
        ConfigurationSpec { version, routes: Vec::new(), services: Vec::new(), limits: LimitsSpec::default() }
    }

    /// The same configuration with `route` added.
    pub fn with_route(mut self, route: RouteSpec) -> Self {
        self.routes.push(route);
        self
    }

    /// The same configuration with `service` added.
    pub fn with_service(mut self, service: ServiceSpec) -> Self {
        self.services.push(service);
        self
    }

    /// The same configuration under another version.
    pub fn with_version(&self, version: u64) -> Self {
        ConfigurationSpec { version, ..self.clone() }
    }

    /// The configuration as JSON. Tests edit the JSON to make invalid configurations.
    pub fn to_json(&self) -> Value {
        serde_json::to_value(self).unwrap_or(Value::Null)
    }

    /// The JSON text that the operator sends.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.to_json().to_string().into_bytes()
    }
}
