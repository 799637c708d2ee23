//! Builds configurations as the operator sends them; invalid ones too.

use serde::Serialize;
use serde_json::Value;

/// A share of a split route.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct SplitSpec {
    /// The service.
    pub service: String,
    /// Its share against the others'.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct RouteSpec {
    /// Its name.
    pub name: String,
    /// The host it answers to.
    pub host: String,
    /// The beginning of its paths.
    pub path_prefix: String,
    /// `safe`, `unsafe` or `streaming`.
    pub route_kind: String,
    /// The longest time a try is held, in ms.
    pub timeout_ms: u64,
    /// Its objective, in ms.
    pub slo_ms: u64,
    /// Its rank; 0 is highest.
    pub priority: u8,
    /// The one service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The services it is split between.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub traffic_split: Vec<SplitSpec>,
    /// The most servers for one try.
    pub max_attempts: u32,
    /// Whether requests share parts of prompts.
    pub sticky: bool,
    /// Whether streams may be taken up again.
    pub resumable: bool,
    /// The longest pause between events, in ms.
    #[serde(rename = "gap_aim_ms")]
    pub gap_aim_ms: u64,
}

impl RouteSpec {
    /// A route of that kind to one service, with usual figures.
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
            gap_aim_ms: 300,
        }
    }
}

/// What is told of model servers.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct EngineSpec {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory in tokens.
    pub kv_tokens: u64,
    /// Bytes for a token.
    pub kv_token_bytes: f64,
    /// Bandwidth between servers, in Mbit/s.
    pub link_mbps: f64,
    /// How long a handle is held, in s.
    pub kv_hold_s: f64,
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
            kv_hold_s: parameters.handle_ttl.as_secs_f64(),
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
    /// Connections for each server.
    pub max_conns: u32,
    /// The protocol.
    pub protocol: String,
    /// Whether it is encrypted.
    pub tls: bool,
    /// Present for model servers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineSpec>,
}

impl ServiceSpec {
    /// A service with usual figures.
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

/// Bounds on clients.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct LimitsSpec {
    /// Bytes of a head.
    pub max_header_bytes: u64,
    /// Bytes of a body.
    pub max_body_bytes: u64,
    /// Time for a head, in ms.
    pub header_timeout_ms: u64,
    /// Time between requests, in ms.
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

/// A whole configuration.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ConfigurationSpec {
    /// Its number.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<RouteSpec>,
    /// Its services.
    pub services: Vec<ServiceSpec>,
    /// Bounds on clients.
    pub limits: LimitsSpec,
}

impl ConfigurationSpec {
    /// A configuration without routes.
    pub fn new(version: u64) -> ConfigurationSpec {
        ConfigurationSpec { version, routes: Vec::new(), services: Vec::new(), limits: LimitsSpec::default() }
    }

    /// The same with one route more.
    pub fn route(mut self, route: RouteSpec) -> Self {
        self.routes.push(route);
        self
    }

    /// The same with one service more.
    pub fn service(mut self, service: ServiceSpec) -> Self {
        self.services.push(service);
        self
    }

    /// The same under another number.
    pub fn numbered(&self, version: u64) -> Self {
        ConfigurationSpec { version, ..self.clone() }
    }

    /// The JSON value, to be spoiled by a test or sent as it is.
    pub fn to_json(&self) -> Value {
        serde_json::to_value(self).unwrap_or(Value::Null)
    }

    /// The bytes that are sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.to_json().to_string().into_bytes()
    }
}
