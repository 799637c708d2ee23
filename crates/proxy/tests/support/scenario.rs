//! What a test starts with.

use super::harness::{ProcessSetup, TestProxy};
use lugwharf_protocol::Stage;
use lugwharf_proxy::{ProxyOptions, run_until};
use std::fmt::Write;

/// The host of every route.
pub const HOST: &str = "h.example";
/// The two servers of a scenario without stages.
pub const PLAIN_SERVERS: [&str; 2] = ["a", "b"];

/// A route under `/r/` to the service `s`.
#[derive(Clone, Debug)]
pub struct Route {
    kind: &'static str,
    timeout_ms: u64,
    slo_ms: Option<u64>,
    /// `"Service":…` or `"TrafficSplit":…`.
    target: String,
    /// Further fields, each with a comma before it.
    options: String,
}

impl Route {
    /// A route of a kind (`safe`, `unsafe`, `streaming`) with a timeout of 5 s and a latency objective of 300 ms.
    pub fn new(kind: &'static str) -> Route {
        let target = r#""Service":"s""#.to_owned();
        Route { kind, timeout_ms: 5_000, slo_ms: Some(300), target, options: String::new() }
    }

    /// `TimeoutMs`.
    pub fn timeout_ms(self, timeout_ms: u64) -> Route {
        Route { timeout_ms, ..self }
    }

    /// Drops `SloMs`, which must not exceed the timeout.
    pub fn without_slo(self) -> Route {
        Route { slo_ms: None, ..self }
    }

    /// `MaxAttempts`.
    pub fn max_attempts(self, attempts: u32) -> Route {
        self.option("MaxAttempts", attempts)
    }

    /// `Resumable`: a broken stream may continue on another server.
    pub fn resumable(self) -> Route {
        self.option("Resumable", true)
    }

    /// `Priority`.
    pub fn priority(self, priority: u32) -> Route {
        self.option("Priority", priority)
    }

    /// A traffic split that gives the service no weight.
    pub fn without_weight(self) -> Route {
        Route { target: r#""TrafficSplit":[{"Service":"s","Weight":0}]"#.to_owned(), ..self }
    }

    fn option(mut self, name: &str, value: impl std::fmt::Display) -> Route {
        write!(self.options, r#","{name}":{value}"#).expect("a string takes all");
        self
    }

    /// The route as it stands in a configuration.
    pub fn to_json(&self) -> String {
        let Route { kind, timeout_ms, target, options, .. } = self;
        let slo = self.slo_ms.map_or_else(String::new, |slo| format!(r#""SloMs":{slo},"#));
        format!(
            r#"{{"Host":"{HOST}","PathPrefix":"/r/","RouteKind":"{kind}","TimeoutMs":{timeout_ms},{slo}{target}{options}}}"#
        )
    }
}

/// A proxy's first configuration and server list, and its limits.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub(super) route: Route,
    pub(super) servers: Vec<(&'static str, Option<Stage>)>,
    /// Whether the service is a model service with engine slots.
    pub(super) is_model: bool,
    pub(super) retry_budget: f64,
    pub(super) is_configured: bool,
    pub(super) max_body_bytes: usize,
}

impl Scenario {
    /// A route of a kind to the servers a and b; the retry budget is 0.2 retries a request, bodies have 1,000 bytes at most.
    pub fn new(kind: &'static str) -> Scenario {
        Scenario {
            route: Route::new(kind),
            servers: PLAIN_SERVERS.iter().map(|name| (*name, None)).collect(),
            is_model: false,
            retry_budget: 0.2,
            is_configured: true,
            max_body_bytes: 1_000,
        }
    }

    /// A streaming route to a model service with these prefill and decode servers.
    pub fn prefill_decode(prefill: &[&'static str], decode: &[&'static str]) -> Scenario {
        let prefill = prefill.iter().map(|name| (*name, Some(Stage::Prefill)));
        let decode = decode.iter().map(|name| (*name, Some(Stage::Decode)));
        let servers = prefill.chain(decode).collect();
        Scenario { servers, is_model: true, ..Scenario::new("streaming") }
    }

    /// These servers, without stages, in place of others.
    pub fn servers(self, names: &[&'static str]) -> Scenario {
        Scenario { servers: names.iter().map(|name| (*name, None)).collect(), ..self }
    }

    /// The route in place of the usual one.
    pub fn route(self, route: Route) -> Scenario {
        Scenario { route, ..self }
    }

    /// `MaxAttempts` of the route.
    pub fn max_attempts(self, attempts: u32) -> Scenario {
        let route = self.route.clone().max_attempts(attempts);
        self.route(route)
    }

    /// `Resumable` of the route.
    pub fn resumable(self) -> Scenario {
        let route = self.route.clone().resumable();
        self.route(route)
    }

    /// `Priority` of the route.
    pub fn priority(self, priority: u32) -> Scenario {
        let route = self.route.clone().priority(priority);
        self.route(route)
    }

    /// `RetryBudget`: retries earned by each request.
    pub fn retry_budget(self, retry_budget: f64) -> Scenario {
        Scenario { retry_budget, ..self }
    }

    /// The largest body that clients may send.
    pub fn max_body_bytes(self, max_body_bytes: usize) -> Scenario {
        Scenario { max_body_bytes, ..self }
    }

    /// Starts without a configuration and without a server list.
    pub fn unconfigured(self) -> Scenario {
        Scenario { is_configured: false, ..self }
    }
}

/// Runs a proxy and `script` beside it until the script is done. The proxy must not end before.
pub async fn with_proxy(scenario: Scenario, script: impl AsyncFnOnce(&mut TestProxy)) {
    let setup = ProcessSetup::prepare(&scenario).await;
    let process = run_until(setup.settings, ProxyOptions::default(), stopped(setup.stop_signal));
    let script = async {
        let mut proxy = TestProxy::start(setup.peers, &scenario).await;
        script(&mut proxy).await;
    };
    tokio::pin!(process);
    tokio::select! {
        ended = &mut process => panic!("the proxy ended: {ended:?}"),
        () = script => {}
    }
}

/// Like [`with_proxy`], for a script that begins a graceful shutdown: waits for the proxy's end too.
pub async fn with_proxy_until_shutdown(scenario: Scenario, script: impl AsyncFnOnce(&mut TestProxy)) {
    let setup = ProcessSetup::prepare(&scenario).await;
    let process = run_until(setup.settings, ProxyOptions::default(), stopped(setup.stop_signal));
    let script = async {
        let mut proxy = TestProxy::start(setup.peers, &scenario).await;
        script(&mut proxy).await;
        proxy
    };
    let (ended, _proxy) = tokio::join!(process, script);
    ended.expect("an orderly end");
}

/// Ends when the signal is sent or its sender is dropped.
async fn stopped(stop_signal: tokio::sync::oneshot::Receiver<()>) {
    drop(stop_signal.await);
}
