//! The data plane: an HTTP/1.1 proxy that accepts clients' requests, selects servers, and forwards their responses.
//!
//! | module | concern |
//! | --- | --- |
//! | `inbound` | clients' connections: reading requests, writing responses, errors |
//! | `stack` | one request: route, retries, prefill and decode, forwarding of the response |
//! | `outbound` | servers' connections: pool, one exchange |
//! | `http` | HTTP/1.1: heads, framing, bodies |
//! | `state`, `routes`, `agent_feed` | configuration and endpoint list, and the agent's updates of them |
//! | `telemetry` | metrics, and the trace of each request |
//! | `readiness`, `shutdown` | readiness checks, graceful shutdown |
//!
//! All tasks run on one thread. Routing decisions are made by `lugwharf_routing`.
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
use lugwharf_routing::Tuning;
use lugwharf_settings::Settings;
use lugwharf_telemetry::MetricsEndpoint;
use state::ProxyState;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval};

/// How often expired connections to servers are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// What the command line sets.
#[derive(Clone, Debug, Default)]
pub struct ProxyOptions {
    /// The constants of the routing decisions.
    pub tuning: Tuning,
    /// The least level that is logged. The logger's own if absent.
    pub log_level: Option<spdlog::LevelFilter>,
    /// The port of `GET /metrics`; not served if absent.
    pub metrics_port: Option<u16>,
}

/// Runs the data plane until SIGTERM, with default options. Needs a current-thread runtime.
///
/// # Errors
/// As for [`run_until`].
pub async fn run(settings: Settings) -> eyre::Result<()> {
    run_with_options(settings, ProxyOptions::default()).await
}

/// Like [`run`], with options.
///
/// # Errors
/// As for [`run_until`].
pub async fn run_with_options(settings: Settings, options: ProxyOptions) -> eyre::Result<()> {
    if let Some(level) = options.log_level {
        spdlog::default_logger().set_level_filter(level);
    }
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let terminated = async move {
        terminate.recv().await;
    };
    run_until(settings, options, terminated).await
}

/// Like [`run_with_options`], until `stop` completes instead of SIGTERM. Returns after the graceful shutdown.
///
/// # Errors
/// A setting is missing, a port can't be listened on, or a signal can't be handled.
pub async fn run_until(
    settings: Settings, options: ProxyOptions, stop: impl Future<Output = ()>,
) -> eyre::Result<()> {
    let front = settings.listen.front.ok_or_eyre("Listen.Front is missing")?;
    let ready = settings.listen.ready.ok_or_eyre("Listen.Ready is missing")?;
    let front = TcpListener::bind(front).await.wrap_err_with(|| format!("Listen.Front {front}"))?;
    let ready = TcpListener::bind(ready).await.wrap_err_with(|| format!("Listen.Ready {ready}"))?;
    let hangup = signal(SignalKind::hangup()).wrap_err("SIGHUP")?;
    let state = ProxyState::new(&settings, options.tuning, seed(&settings));
    let connections = ClientConnections::new(settings.limits.max_fds);
    let grace = Duration::from_secs_f64(settings.bounds.grace_s.min(3_600.0));
    let local = LocalSet::new();
    local.spawn_local(agent_feed::run(state.clone(), settings.feed_address()));
    local.spawn_local(readiness::listen(state.clone(), ready));
    local.spawn_local(close_expired(state.clone()));
    let endpoint = MetricsEndpoint::listen_if_enabled(settings.listen_ip(), options.metrics_port).await;
    if let Some(endpoint) = endpoint {
        local.spawn_local(telemetry::metrics_endpoint::serve(state.clone(), connections.clone(), endpoint));
    }
    local.spawn_local(reload_at_hangup(state.clone(), hangup, settings));
    let serving = async move {
        tokio::select! {
            () = stop => {}
            () = inbound::listener::listen(&state, &connections, &front) => {}
        }
        spdlog::info!("shutdown outcome=started");
        shutdown::drain(&state, &connections, front, grace).await;
    };
    local.run_until(serving).await;
    Ok(())
}

/// A seed that differs by machine and by start, lest all proxies draw the same servers.
fn seed(settings: &Settings) -> u64 {
    let mut rng = fastrand::Rng::new();
    settings.node.bytes().fold(rng.u64(..), |seed, byte| seed.rotate_left(7) ^ u64::from(byte))
}

async fn close_expired(state: Rc<ProxyState>) {
    let mut ticks = interval(EXPIRY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        state.pool.close_expired();
    }
}

/// Reads the settings file again at each SIGHUP. An invalid file changes nothing.
async fn reload_at_hangup(state: Rc<ProxyState>, mut hangup: Signal, settings: Settings) {
    while hangup.recv().await.is_some() {
        match settings.reload() {
            Ok(settings) => {
                state.reload(&settings);
                spdlog::info!("settings outcome=reloaded");
            }
            Err(error) => spdlog::error!("settings outcome=unusable error={error}"),
        }
    }
}
