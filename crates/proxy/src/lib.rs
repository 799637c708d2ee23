//! The data plane of a front-end node: an HTTP/1.1 proxy that accepts clients' requests, selects a server for
//! each, and streams the responses back.
//!
//! | module | concern |
//! | --- | --- |
//! | `inbound` | client connections: reads requests, writes responses and error responses |
//! | `stack` | one request: routing, retries, prefill and decode, forwarding of the response |
//! | `outbound` | server connections: the connection pool, one exchange with one server |
//! | `http` | HTTP/1.1: message heads, framing, bodies |
//! | `state`, `routes`, `agent_feed` | the configuration and endpoint list in force, and their updates |
//! | `telemetry` | metrics, and a trace of each request for the log |
//! | `readiness`, `shutdown` | the platform's readiness checks, graceful shutdown |
//!
//! All tasks run on one thread, so that state is shared without locks. `lugwharf_routing` makes the routing
//! decisions.
#![forbid(unsafe_code)]

mod agent_feed;
#[cfg(test)]
mod agent_feed_tests;
mod http;
mod inbound;
mod outbound;
mod readiness;
mod routes;
mod shutdown;
mod stack;
mod state;
mod telemetry;

use eyre::{OptionExt, WrapErr};
use inbound::connections::ClientConnections;
use inbound::listener::ClientListener;
use lugwharf_routing::Tuning;
use lugwharf_settings::{Settings, SettingsFollower};
use lugwharf_telemetry::MetricsEndpoint;
use state::ProxyState;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval};

/// The interval at which expired idle connections to servers are closed.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The options of the proxy that are set on the command line.
#[derive(Clone, Debug, Default)]
pub struct ProxyOptions {
    /// The tunable constants of the routing decisions.
    pub tuning: Tuning,
    /// The minimum level of log messages. If absent, the logger keeps its own level.
    pub log_level: Option<spdlog::LevelFilter>,
    /// The port that serves `GET /metrics`. If absent, metrics are not served.
    pub metrics_port: Option<u16>,
}

/// Runs the data plane with default options until SIGTERM. Must be called on a current-thread runtime.
///
/// # Errors
/// As for [`run_until`].
pub async fn run(settings: Settings) -> eyre::Result<()> {
    run_with_options(settings, ProxyOptions::default()).await
}

/// Runs the data plane with `options` until SIGTERM. Must be called on a current-thread runtime.
///
/// # Errors
/// As for [`run_until`].
pub async fn run_with_options(settings: Settings, options: ProxyOptions) -> eyre::Result<()> {
    if let Some(level) = options.log_level {
        spdlog::default_logger().set_level_filter(level);
    }
    let mut sigterm = signal(SignalKind::terminate()).wrap_err("cannot install the SIGTERM handler")?;
    let terminated = async move {
        sigterm.recv().await;
    };
    run_until(settings, options, terminated).await
}

/// Runs the data plane until `stop` completes, then shuts down gracefully and returns.
///
/// # Errors
/// `Listen.Front` or `Listen.Ready` is missing, one of their ports can't be bound, or the handler of SIGHUP
/// or SIGTERM can't be installed.
pub async fn run_until(
    settings: Settings, options: ProxyOptions, stop: impl Future<Output = ()>,
) -> eyre::Result<()> {
    let front = settings.listen.front.ok_or_eyre("Listen.Front is missing")?;
    let ready = settings.listen.ready.ok_or_eyre("Listen.Ready is missing")?;
    let front =
        TcpListener::bind(front).await.wrap_err_with(|| format!("cannot bind Listen.Front {front}"))?;
    let ready =
        TcpListener::bind(ready).await.wrap_err_with(|| format!("cannot bind Listen.Ready {ready}"))?;
    let follower = SettingsFollower::new(&settings).wrap_err("cannot install the SIGHUP handler")?;
    let state = ProxyState::new(&settings, options.tuning, random_seed(&settings));
    let connections = ClientConnections::new(settings.limits.max_fds);
    let mut listener = ClientListener::new(front);
    let grace = Duration::from_secs_f64(settings.bounds.grace_s.min(3_600.0));
    let local = LocalSet::new();
    local.spawn_local(agent_feed::run(state.clone(), settings.feed_address()));
    local.spawn_local(readiness::listen(state.clone(), ready));
    local.spawn_local(close_expired_connections(state.clone()));
    let endpoint = MetricsEndpoint::listen_if_enabled(settings.listen_ip(), options.metrics_port).await;
    if let Some(endpoint) = endpoint {
        local.spawn_local(telemetry::metrics_endpoint::serve(state.clone(), connections.clone(), endpoint));
    }
    local.spawn_local(follow_settings(state.clone(), follower));
    let serving = async move {
        tokio::select! {
            () = stop => {}
            () = listener.listen(&state, &connections) => {}
        }
        spdlog::info!("shutdown outcome=started");
        shutdown::drain(&state, &connections, listener, grace).await;
    };
    local.run_until(serving).await;
    Ok(())
}

/// Returns a random seed mixed with the node name, so that proxies do not all draw the same servers.
fn random_seed(settings: &Settings) -> u64 {
    let mut rng = fastrand::Rng::new();
    settings.node.bytes().fold(rng.u64(..), |seed, byte| seed.rotate_left(7) ^ u64::from(byte))
}

/// Closes expired idle connections to servers at a fixed interval.
async fn close_expired_connections(state: Rc<ProxyState>) {
    let mut ticks = interval(EXPIRY_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        state.pool.close_expired();
    }
}

/// Applies the settings each time that the file was read again. If the file is invalid, the settings in force
/// are kept.
async fn follow_settings(state: Rc<ProxyState>, mut follower: SettingsFollower) {
    loop {
        match follower.next().await {
            Ok(settings) => {
                state.reload(&settings);
                spdlog::info!("settings outcome=reloaded");
            }
            Err(error) => spdlog::error!("settings outcome=unusable error={error}"),
        }
    }
}
