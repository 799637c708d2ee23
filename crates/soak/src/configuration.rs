//! The configurations that operators write: the routes that the client load uses, one route that is different
//! in each version, and one route whose service changes with the version.

use lugwharf_emulator::configuration::{ConfigurationSpec, EngineSpec, LimitsSpec, RouteSpec, ServiceSpec};
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
/// The timeout for receiving a request head, in ms. Clients rest for longer on connections that have sent
/// nothing yet.
const HEADER_TIMEOUT_MS: u64 = 2_000;
/// The shorter of the two idle timeouts, which alternate with the version, in ms.
pub const MIN_IDLE_TIMEOUT_MS: u64 = 4_000;
/// The longer of the two idle timeouts, in ms.
const MAX_IDLE_TIMEOUT_MS: u64 = 6_000;
/// The lower of the two limits on bodies, which alternate every [`VERSIONS_PER_BODY_LIMIT`] versions, in bytes.
pub const MIN_MAX_BODY_BYTES: u64 = 1_024;
/// The higher of the two limits on bodies, in bytes.
const MAX_MAX_BODY_BYTES: u64 = 4_194_304;
/// The number of consecutive versions with the same limit on bodies, as [`VERSIONS_PER_SERVICE`].
const VERSIONS_PER_BODY_LIMIT: u64 = 8;
/// The timeout of streams, in ms. Long streams take up to 8 s on an idle machine, and longer on a busy one.
const STREAM_TIMEOUT_MS: u64 = 30_000;

/// The configuration of a version.
pub fn configuration(version: u64) -> ConfigurationSpec {
    let engine = EngineSpec::from(&ModelParameters::small_and_fast(Stage::Decode));
    let configuration = ConfigurationSpec { limits: limits(version), ..ConfigurationSpec::new(version) };
    configuration
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

/// The limits on clients in a version. Each version has another idle timeout than the one before.
fn limits(version: u64) -> LimitsSpec {
    let idle_timeout_ms = if version.is_multiple_of(2) { MIN_IDLE_TIMEOUT_MS } else { MAX_IDLE_TIMEOUT_MS };
    let max_body_bytes = max_body_bytes(version);
    LimitsSpec {
        max_body_bytes,
        header_timeout_ms: HEADER_TIMEOUT_MS,
        idle_timeout_ms,
        ..LimitsSpec::default()
    }
}

/// The limit on bodies in a version, in bytes. It changes halfway between two changes of [`MOVING_PREFIX`].
pub fn max_body_bytes(version: u64) -> u64 {
    let period = (version + VERSIONS_PER_BODY_LIMIT / 2) / VERSIONS_PER_BODY_LIMIT;
    if period.is_multiple_of(2) { MAX_MAX_BODY_BYTES } else { MIN_MAX_BODY_BYTES }
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
