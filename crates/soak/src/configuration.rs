//! The configurations that operators write: the routes of all clients, and one route that is different in each version.

use lugwharf_emulator::configuration::{ConfigurationSpec, EngineSpec, RouteSpec, ServiceSpec};
use lugwharf_emulator::model_server::{ModelParameters, Stage};

/// The host of all routes.
pub const HOST: &str = "shop.example";
/// The service of generations, in prefill and decode stages.
pub const MODEL_SERVICE: &str = "tutor";
/// The service of short requests.
pub const PLAIN_SERVICE: &str = "board";
/// The service of long requests, for clients that disconnect early.
pub const SLOW_SERVICE: &str = "archive";
/// The timeout of streams, in ms. Long ones take up to 8 s on an idle machine, and longer on a busy one.
const STREAM_TIMEOUT_MS: u64 = 30_000;

/// The configuration of a version.
pub fn configuration(version: u64) -> ConfigurationSpec {
    let engine = EngineSpec::from(&ModelParameters::quick(Stage::Decode));
    ConfigurationSpec::new(version)
        .service(ServiceSpec::new(MODEL_SERVICE, Some(engine)))
        .service(ServiceSpec::new(PLAIN_SERVICE, None))
        .service(ServiceSpec::new(SLOW_SERVICE, None))
        .route(stream("/gen/"))
        .route(RouteSpec::new(HOST, "/work/", "unsafe", PLAIN_SERVICE))
        .route(RouteSpec::new(HOST, "/read/", "safe", PLAIN_SERVICE))
        .route(RouteSpec::new(HOST, "/slow/", "safe", SLOW_SERVICE))
        .route(RouteSpec { resumable: true, ..stream("/resume/") })
        .route(RouteSpec::new(HOST, &format!("/only-{version}/"), "safe", PLAIN_SERVICE))
}

fn stream(prefix: &str) -> RouteSpec {
    RouteSpec { timeout_ms: STREAM_TIMEOUT_MS, ..RouteSpec::new(HOST, prefix, "streaming", MODEL_SERVICE) }
}

/// The service that may execute a client request with this target.
pub fn service_of(target: &str) -> &'static str {
    if target.starts_with("/gen/") || target.starts_with("/resume/") {
        MODEL_SERVICE
    } else if target.starts_with("/slow/") {
        SLOW_SERVICE
    } else {
        PLAIN_SERVICE
    }
}

/// The version in the bytes of a configuration; `None` if they are no configuration.
pub fn version_of(bytes: &[u8]) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_slice(bytes).ok()?;
    value["Version"].as_u64()
}
