//! Configurations as the operator sends them; invalid ones too. Encoded names are fixed by the operator's API.

use serde::Serialize;
use serde_json::Value;

/// One service of a traffic split.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct SplitSpec {
    /// The service.
    pub service: String,
    /// Its weight relative to the others.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct RouteSpec {
    /// Its name.
    pub name: String,
    /// The host that it matches.
    pub host: String,
    /// The path prefix that it matches.
    pub path_prefix: String,
    /// `safe`, `unsafe` or `streaming`.
    pub route_kind: String,
    /// The timeout of an attempt of a client, in ms.
    pub timeout_ms: u64,
    /// Its latency objective, in ms.
    pub slo_ms: u64,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// The only service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The services that share its traffic.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub traffic_split: Vec<SplitSpec>,
    /// The maximum of executions for one attempt of a client.
    pub max_attempts: u32,
    /// Whether requests share prompt prefixes, so that prefix caches matter.
    pub sticky: bool,
    /// Whether broken streams may be resumed on another server.
    pub resumable: bool,
    /// The target for the pause between two events, in ms.
    #[serde(rename = "gap_aim_ms")]
    pub event_gap_target_ms: u64,
}

impl RouteSpec {
    /// A route of a kind to one service: timeout 5 s, objective 500 ms, 2 attempts.
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

/// What a configuration says of the servers of a model service.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct EngineSpec {
    /// The maximum of requests in the batch.
    pub slots: u32,
    /// KV memory in tokens.
    pub kv_tokens: u64,
    /// Bytes of KV cache for a token.
    pub kv_token_bytes: f64,
    /// Bandwidth of KV transfers, in Mbit/s.
    pub link_mbps: f64,
    /// How long a KV handle waits to be fetched, in s.
    #[serde(rename = "KvHoldS")]
    pub kv_handle_ttl_s: f64,
    /// How long a change of stage takes, in s.
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

/// A service.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// The path of its health check.
    pub health_path: String,
    /// The maximum of connections to each server.
    pub max_conns: u32,
    /// The protocol; `h1` is HTTP/1.1.
    pub protocol: String,
    /// Whether connections use TLS.
    pub tls: bool,
    /// Present for model servers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineSpec>,
}

impl ServiceSpec {
    /// A service with the health path `/health` and 350 connections to each server.
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
    /// The maximum of a head, in bytes.
    pub max_header_bytes: u64,
    /// The maximum of a body, in bytes.
    pub max_body_bytes: u64,
    /// The timeout of a head, in ms.
    pub header_timeout_ms: u64,
    /// The timeout between requests, in ms.
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
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<RouteSpec>,
    /// Its services.
    pub services: Vec<ServiceSpec>,
    /// Limits of client requests.
    pub limits: LimitsSpec,
}

impl ConfigurationSpec {
    /// A configuration without routes and services.
    pub fn new(version: u64) -> ConfigurationSpec {
        ConfigurationSpec { version, routes: Vec::new(), services: Vec::new(), limits: LimitsSpec::default() }
    }

    /// The same with a further route.
    pub fn with_route(mut self, route: RouteSpec) -> Self {
        self.routes.push(route);
        self
    }

    /// The same with a further service.
    pub fn with_service(mut self, service: ServiceSpec) -> Self {
        self.services.push(service);
        self
    }

    /// The same with another version.
    pub fn with_version(&self, version: u64) -> Self {
        ConfigurationSpec { version, ..self.clone() }
    }

    /// The configuration as JSON, which a test may make invalid.
    pub fn to_json(&self) -> Value {
        serde_json::to_value(self).unwrap_or(Value::Null)
    }

    /// The configuration as the operator sends it.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.to_json().to_string().into_bytes()
    }
}
