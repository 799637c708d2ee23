//! The configurations that operators write: the routes that the client load uses, one route that is different
//! in each version, and one route whose service changes with the version.

use lugwharf_emulator::configuration::{ConfigurationSpec, EngineSpec, RouteSpec, ServiceSpec};
use lugwharf_emulator::model_server::{ModelParameters, Stage};

/// The host of all routes.
pub const HOST: &str = "shop.example";
/// The service for generations, with prefill and decode stages.
pub const MODEL_SERVICE: &str = "tutor";
/// The service for short requests.
pub const PLAIN_SERVICE: &str = "board";
/// The service that alternates with [`PLAIN_SERVICE`] as the target of [`MOVING_PREFIX`].
pub const ALTERNATE_SERVICE: &str = "annex";
/// The path prefix whose service changes every [`VERSIONS_PER_SERVICE`] versions.
pub const MOVING_PREFIX: &str = "/move/";
/// The number of consecutive versions that name the same service. It is large enough that for seconds only
/// one of the two services may execute a request, which the checker can verify.
pub const VERSIONS_PER_SERVICE: u64 = 8;
/// The service for long requests, which clients that disconnect early use.
pub const SLOW_SERVICE: &str = "archive";
/// The version that the harness writes before it starts to record.
pub const INITIAL_VERSION: u64 = 1;
/// The timeout of streams, in ms. Long streams take up to 8 s on an idle machine, and longer on a busy one.
const STREAM_TIMEOUT_MS: u64 = 30_000;

/// The configuration of a version.
pub fn configuration(version: u64) -> ConfigurationSpec {
    let engine = EngineSpec::from(&ModelParameters::small_and_fast(Stage::Decode));
    ConfigurationSpec::new(version)
        .with_service(ServiceSpec::new(MODEL_SERVICE, Some(engine)))
        .with_service(ServiceSpec::new(PLAIN_SERVICE, None))
        .with_service(ServiceSpec::new(SLOW_SERVICE, None))
        .with_service(ServiceSpec::new(ALTERNATE_SERVICE, None))
        .with_route(stream("/gen/"))
        .with_route(RouteSpec::new(HOST, "/work/", "unsafe", PLAIN_SERVICE))
        .with_route(RouteSpec::new(HOST, "/read/", "safe", PLAIN_SERVICE))
        .with_route(RouteSpec::new(HOST, "/slow/", "safe", SLOW_SERVICE))
        .with_route(RouteSpec { resumable: true, ..stream("/resume/") })
        .with_route(RouteSpec::new(HOST, MOVING_PREFIX, "unsafe", moving_service(version)))
        .with_route(RouteSpec::new(HOST, &format!("/only-{version}/"), "safe", PLAIN_SERVICE))
}

fn stream(prefix: &str) -> RouteSpec {
    RouteSpec { timeout_ms: STREAM_TIMEOUT_MS, ..RouteSpec::new(HOST, prefix, "streaming", MODEL_SERVICE) }
}

/// The service behind [`MOVING_PREFIX`] in a version.
pub fn moving_service(version: u64) -> &'static str {
    if (version / VERSIONS_PER_SERVICE).is_multiple_of(2) { PLAIN_SERVICE } else { ALTERNATE_SERVICE }
}

/// The services that may execute a client request with this target, in any version.
pub fn services_of(target: &str) -> &'static [&'static str] {
    if target.starts_with("/gen/") || target.starts_with("/resume/") {
        &[MODEL_SERVICE]
    } else if target.starts_with("/slow/") {
        &[SLOW_SERVICE]
    } else if target.starts_with(MOVING_PREFIX) {
        &[PLAIN_SERVICE, ALTERNATE_SERVICE]
    } else {
        &[PLAIN_SERVICE]
    }
}

/// The version of an encoded configuration; `None` if the bytes are not a configuration.
pub fn version_of(bytes: &[u8]) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_slice(bytes).ok()?;
    value["Version"].as_u64()
}
