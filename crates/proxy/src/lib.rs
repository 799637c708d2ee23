//! The data plane: takes clients' requests, chooses servers, and brings answers back.
//!
//! | module | execution |
//! | --- | --- |
//! | `listener`, `clients`, `client` | clients' connections |
//! | `intake` | the reading of a request, and whether its client is still there |
//! | `service`, `execution` | one request under way |
//! | `forward`, `generate`, `handle` | an answer from one server, or from a pair |
//! | `relay`, `events`, `reply` | answers and streams to the client |
//! | `upstream` | connections to servers, one exchange |
//! | `wire` | HTTP/1.1 |
//! | `state`, `routes`, `feed` | the tables and their feed by the agent |
//! | `outcome`, `trace`, `metrics` | how requests end, and what tells of it |
//! | `ready`, `shutdown` | readiness, and the end |
//!
//! All of it runs on one thread. Decisions are made by `lugwharf_routing`.
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
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval};

/// How often connections that have rested for too long are looked for.
const SWEEP: Duration = Duration::from_secs(1);

/// What the command line may choose.
#[derive(Clone, Debug, Default)]
pub struct ProxyOptions {
    /// The metrics of the decisions.
    pub tuning: Tuning,
    /// Where the settings file stands, to be read again at SIGHUP. The usual place if absent.
    pub settings_path: Option<PathBuf>,
    /// The least level that is logged; the logger's own if absent.
    pub log_level: Option<spdlog::LevelFilter>,
    /// The port of `GET /metrics`; not served if absent.
    pub metrics_port: Option<u16>,
}

/// Runs the data plane until SIGTERM, on a current-thread runtime.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    run_with(settings, ProxyOptions::default()).await
}

/// Like [`run`], with options.
pub async fn run_with(settings: Settings, options: ProxyOptions) -> eyre::Result<()> {
    if let Some(level) = options.log_level {
        spdlog::default_logger().set_level_filter(level);
    }
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let terminated = async move {
        terminate.recv().await;
    };
    run_until(settings, options, terminated).await
}

/// Like [`run_with`], until `stop` is over instead of SIGTERM.
pub async fn run_until(
    settings: Settings, options: ProxyOptions, stop: impl Future<Output = ()>,
) -> eyre::Result<()> {
    let front = settings.listen.front.ok_or_eyre("Listen.Front is missing")?;
    let ready = settings.listen.ready.ok_or_eyre("Listen.Ready is missing")?;
    let front = TcpListener::bind(front).await.wrap_err_with(|| format!("Listen.Front {front}"))?;
    let ready = TcpListener::bind(ready).await.wrap_err_with(|| format!("Listen.Ready {ready}"))?;
    let hang_up = signal(SignalKind::hangup()).wrap_err("SIGHUP")?;
    let path = options.settings_path.unwrap_or_else(Settings::path);
    let state = ProxyState::new(&settings, options.tuning, seed(&settings));
    let clients = ClientConnections::new(settings.limits.max_fds);
    let grace = Duration::from_secs_f64(settings.bounds.grace_s.min(3_600.0));
    let local = LocalSet::new();
    local.spawn_local(agent_feed::follow(state.clone(), settings.feed_address()));
    local.spawn_local(readiness::listen(state.clone(), ready));
    local.spawn_local(sweep(state.clone()));
    if let Some(port) = options.metrics_port
        && let Some(endpoint) = MetricsEndpoint::listen(SocketAddr::new(settings.listen_ip(), port)).await
    {
        local.spawn_local(telemetry::metrics::serve(state.clone(), clients.clone(), endpoint));
    }
    local.spawn_local(follow_settings(state.clone(), hang_up, path));
    let serving = async move {
        tokio::select! {
            () = stop => {}
            () = inbound::listener::listen(&state, &clients, &front) => {}
        }
        spdlog::info!("shutdown outcome=begun");
        shutdown::drain(&state, &clients, front, grace).await;
    };
    local.run_until(serving).await;
    Ok(())
}

/// Differs from machine to machine and from start to start, so that proxies don't draw alike.
fn seed(settings: &Settings) -> u64 {
    let mut rng = fastrand::Rng::new();
    settings.node.bytes().fold(rng.u64(..), |seed, byte| seed.rotate_left(7) ^ u64::from(byte))
}

async fn sweep(state: Rc<ProxyState>) {
    let mut ticks = interval(SWEEP);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        state.pool.sweep();
    }
}

/// Reads the settings file again at each SIGHUP. A file that can't be used changes nothing.
async fn follow_settings(state: Rc<ProxyState>, mut hang_up: Signal, path: PathBuf) {
    while hang_up.recv().await.is_some() {
        match Settings::read(&path) {
            Ok(settings) => {
                state.reload(&settings);
                spdlog::info!("settings outcome=reloaded");
            }
            Err(error) => spdlog::error!("settings outcome=unusable error={error}"),
        }
    }
}
