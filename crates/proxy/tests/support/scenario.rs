//! The initial state of a test.

use super::harness::{ProcessSetup, TestProxy};
use lugwharf_config::Limits;
use lugwharf_protocol::Stage;
use lugwharf_proxy::{ProxyOptions, run_until};
use std::fmt::Write;

/// The host of all routes.
pub const HOST: &str = "h.example";
/// The servers of a scenario without stages.
pub const PLAIN_SERVERS: [&str; 2] = ["a", "b"];

/// A route with path prefix `/r/` to the service `s`.
#[derive(Clone, Debug)]
pub struct Route {
    kind: &'static str,
    timeout_ms: u64,
    slo_ms: Option<u64>,
    /// `"Service":…` or `"TrafficSplit":…`.
    target: String,
    /// Further fields, each preceded by a comma.
    options: String,
}

impl Route {
    /// Creates a route of a kind (`safe`, `unsafe`, `streaming`) with a timeout of 5 s and a latency
    /// objective of 300 ms.
    pub fn new(kind: &'static str) -> Route {
        let target = r#""Service":"s""#.to_owned();
        Route { kind, timeout_ms: 5_000, slo_ms: Some(300), target, options: String::new() }
    }

    /// Sets `TimeoutMs`.
    pub fn timeout_ms(self, timeout_ms: u64) -> Route {
        Route { timeout_ms, ..self }
    }

    /// Removes `SloMs`, which must not exceed the timeout.
    pub fn without_slo(self) -> Route {
        Route { slo_ms: None, ..self }
    }

    /// Sets `MaxAttempts`.
    pub fn max_attempts(self, attempts: u32) -> Route {
        self.option("MaxAttempts", attempts)
    }

    /// Sets `Resumable`, so that an interrupted stream may be resumed at another server.
    pub fn resumable(self) -> Route {
        self.option("Resumable", true)
    }

    /// Sets `Priority`.
    pub fn priority(self, priority: u32) -> Route {
        self.option("Priority", priority)
    }

    /// Replaces the service by a traffic split that gives it no weight.
    pub fn without_weight(self) -> Route {
        Route { target: r#""TrafficSplit":[{"Service":"s","Weight":0}]"#.to_owned(), ..self }
    }

    fn option(mut self, name: &str, value: impl std::fmt::Display) -> Route {
        write!(self.options, r#","{name}":{value}"#).expect("writing to a string succeeds");
        self
    }

    /// Returns the route in the format of the configuration.
    pub fn to_json(&self) -> String {
        let Route { kind, timeout_ms, target, options, .. } = self;
        let slo = self.slo_ms.map_or_else(String::new, |slo| format!(r#""SloMs":{slo},"#));
        format!(
            r#"{{"Host":"{HOST}","PathPrefix":"/r/","RouteKind":"{kind}","TimeoutMs":{timeout_ms},{slo}{target}{options}}}"#
        )
    }
}

/// The limits of a scenario, unless it sets others.
const LIMITS: Limits =
    Limits { max_header_bytes: 4_096, max_body_bytes: 1_000, header_timeout_ms: 500, idle_timeout_ms: 4_000 };

/// The first configuration and endpoint list of a proxy, and its limits.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub(super) route: Route,
    pub(super) servers: Vec<(&'static str, Option<Stage>)>,
    /// Whether the service is a model service with engine slots.
    pub(super) is_model: bool,
    pub(super) retry_budget: f64,
    pub(super) is_configured: bool,
    pub(super) limits: Limits,
}

impl Scenario {
    /// Creates a scenario with a route of a kind to the servers a and b, a retry budget of 0.2 retries per
    /// request, and bodies of at most 1,000 bytes.
    pub fn new(kind: &'static str) -> Scenario {
        Scenario {
            route: Route::new(kind),
            servers: PLAIN_SERVERS.iter().map(|name| (*name, None)).collect(),
            is_model: false,
            retry_budget: 0.2,
            is_configured: true,
            limits: LIMITS,
        }
    }

    /// Creates a scenario with a streaming route to a model service with these prefill and decode servers.
    pub fn prefill_decode(prefill: &[&'static str], decode: &[&'static str]) -> Scenario {
        let prefill = prefill.iter().map(|name| (*name, Some(Stage::Prefill)));
        let decode = decode.iter().map(|name| (*name, Some(Stage::Decode)));
        let servers = prefill.chain(decode).collect();
        Scenario { servers, is_model: true, ..Scenario::new("streaming") }
    }

    /// Replaces the servers by these, which have no stages.
    pub fn servers(self, names: &[&'static str]) -> Scenario {
        Scenario { servers: names.iter().map(|name| (*name, None)).collect(), ..self }
    }

    /// Replaces the route.
    pub fn route(self, route: Route) -> Scenario {
        Scenario { route, ..self }
    }

    /// Sets `MaxAttempts` of the route.
    pub fn max_attempts(self, attempts: u32) -> Scenario {
        let route = self.route.clone().max_attempts(attempts);
        self.route(route)
    }

    /// Sets `Resumable` of the route.
    pub fn resumable(self) -> Scenario {
        let route = self.route.clone().resumable();
        self.route(route)
    }

    /// Sets `Priority` of the route.
    pub fn priority(self, priority: u32) -> Scenario {
        let route = self.route.clone().priority(priority);
        self.route(route)
    }

    /// Sets `RetryBudget`, the retries that each request adds to the budget.
    pub fn retry_budget(self, retry_budget: f64) -> Scenario {
        Scenario { retry_budget, ..self }
    }

    /// Sets the maximum size of a body that clients may send.
    pub fn max_body_bytes(self, max_body_bytes: usize) -> Scenario {
        self.limits(Limits { max_body_bytes, ..LIMITS })
    }

    /// Sets the limits on what clients may send.
    pub fn limits(self, limits: Limits) -> Scenario {
        Scenario { limits, ..self }
    }

    /// Makes the proxy start without a configuration and an endpoint list.
    pub fn unconfigured(self) -> Scenario {
        Scenario { is_configured: false, ..self }
    }
}

/// Runs a proxy while `script` runs. The proxy must not exit before the script is complete.
pub async fn with_proxy(scenario: Scenario, script: impl AsyncFnOnce(&mut TestProxy)) {
    let setup = ProcessSetup::prepare(&scenario).await;
    let process = run_until(setup.settings, ProxyOptions::default(), wait_for_stop(setup.stop_signal));
    let script = async {
        let mut proxy = TestProxy::start(setup.peers, &scenario).await;
        script(&mut proxy).await;
    };
    tokio::pin!(process);
    tokio::select! {
        ended = &mut process => panic!("the proxy exited: {ended:?}"),
        () = script => {}
    }
}

/// Runs a proxy and a `script` that begins a graceful shutdown, and waits for both to complete.
pub async fn with_proxy_until_shutdown(scenario: Scenario, script: impl AsyncFnOnce(&mut TestProxy)) {
    let setup = ProcessSetup::prepare(&scenario).await;
    let process = run_until(setup.settings, ProxyOptions::default(), wait_for_stop(setup.stop_signal));
    let script = async {
        let mut proxy = TestProxy::start(setup.peers, &scenario).await;
        script(&mut proxy).await;
        proxy
    };
    let (ended, _proxy) = tokio::join!(process, script);
    ended.expect("the proxy exits without an error");
}

/// Completes when the signal is sent or its sender is dropped.
async fn wait_for_stop(stop_signal: tokio::sync::oneshot::Receiver<()>) {
    drop(stop_signal.await);
}
