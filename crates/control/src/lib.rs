//! The control process: the operator's API, a replica of the configuration, the list of servers, the census of fronts.
//!
//! `owner` holds all state and works through a queue of commands; the state machines inside it come from the crates
//! `chain`, `election`, `distribution` and `membership`. Around it stand thin drivers: `storage` (a thread that writes
//! the log), `peers` (links between control processes), `agents` (links of agents), `operator` (HTTP) and
//! `listing` (the platform's list).
#![forbid(unsafe_code)]

mod acceptor;
mod agent_server;
mod announcement;
#[cfg(test)]
mod announcement_tests;
mod command;
mod controller;
#[cfg(test)]
mod encoded_bytes_tests;
pub mod gateway;
#[cfg(test)]
mod gateway_tests;
#[cfg(test)]
mod http_bytes_tests;
mod lease;
mod list_watcher;
#[cfg(test)]
mod list_watcher_tests;
mod logs;
#[cfg(test)]
mod logs_tests;
mod message;
mod metrics;
#[cfg(test)]
mod metrics_tests;
mod operator;
mod operator_error;
#[cfg(test)]
mod operator_error_tests;
#[cfg(test)]
mod operator_tests;
mod orders;
mod peer_transport;
mod platform_client;
mod pulls;
mod record_owner;
mod reply;
mod shutdown;
mod status;
#[cfg(test)]
mod status_tests;
mod storage;

use command::Command;
use controller::Controller;
use eyre::{Result, WrapErr, eyre};
use lugwharf_settings::Settings;
use lugwharf_stages::StageTuning;
use lugwharf_telemetry::MetricsEndpoint;
use metrics::RejectionCounters;
use shutdown::ShutdownOutcome;
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

/// Commands that may wait for the owner. Links and HTTP hold their senders back when it is full.
const QUEUE: usize = 1024;
/// How often the state machines look at the clock: well under the shortest of their times (heartbeats of 150 ms), and each
/// look costs a wake-up.
const TICK: Duration = Duration::from_millis(20);
/// `GraceS` where the settings have none that is a time.
const DEFAULT_GRACE: Duration = Duration::from_secs(8);
/// After the max_duration time that a shutdown takes, the time for an owner of the state that is busy.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// What the command line may choose.
#[derive(Clone, Debug, Default)]
pub struct ControlOptions {
    /// A port for `GET /metrics` beside the one of the operator's API; not served there if absent.
    pub metrics_port: Option<u16>,
    /// The figures of the planning of servers' parts.
    pub stages: StageTuning,
}

/// Runs until SIGTERM.
pub async fn run(settings: Settings, options: ControlOptions) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup()).wrap_err("SIGHUP")?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let grace = Duration::try_from_secs_f64(settings.bounds.grace_s).unwrap_or(DEFAULT_GRACE);
    let control = settings.listen.control.ok_or_else(|| eyre!("settings: Listen.Control is missing"))?;
    let ports = settings.internal_ports();
    let peer_listener = listen(SocketAddr::new(settings.listen_ip(), ports.peer)).await?;
    let agent_listener = listen(SocketAddr::new(settings.listen_ip(), ports.agent)).await?;
    let operator_listener = listen(control).await?;
    let (commands, queue) = mpsc::channel(QUEUE);
    let rejections = RejectionCounters::default();
    let owner = Controller::start(settings.clone(), options.stages, commands.clone(), &rejections)?;
    let mut owner = tokio::spawn(owner.run(queue));
    tokio::spawn(peer_transport::accept(peer_listener, commands.clone()));
    tokio::spawn(agent_server::accept(agent_listener, commands.clone()));
    operator::serve(operator_listener, commands.clone(), rejections)?;
    tokio::spawn(tick(commands.clone()));
    tokio::spawn(announcement::run(settings.bind, commands.clone()));
    if let Some(port) = options.metrics_port
        && let Some(endpoint) = MetricsEndpoint::listen(SocketAddr::new(settings.listen_ip(), port)).await
    {
        tokio::spawn(metrics::serve(endpoint, commands.clone()));
    }
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => match Settings::read(&Settings::path()) {
                Ok(settings) => drop(commands.send(Command::Reload { settings: Box::new(settings) }).await),
                Err(error) => warn!("settings", kv: { outcome = "not_reloaded", error: = error }),
            },
            ended = &mut owner => return Err(eyre!("the owner of the state ended: {ended:?}")),
        }
    }
    shut_down(&commands, grace).await;
    Ok(())
}

/// Parts from the other control processes, in a bounded time.
async fn shut_down(commands: &mpsc::Sender<Command>, grace: Duration) {
    let begun = Instant::now();
    let within = (shutdown::max_duration(grace) + SHUTDOWN_MARGIN).min(grace);
    let (done, outcome) = oneshot::channel();
    let parting = async {
        commands.send(Command::Shutdown { done }).await.ok()?;
        outcome.await.ok()
    };
    let outcome = timeout(within, parting).await.ok().flatten().unwrap_or(ShutdownOutcome::TimedOut);
    let took_ms = begun.elapsed().as_millis() as u64;
    match outcome {
        ShutdownOutcome::TimedOut => warn!("shutdown", kv: { outcome = outcome.name(), took_ms }),
        ShutdownOutcome::Left | ShutdownOutcome::Stayed => {
            info!("shutdown", kv: { outcome = outcome.name(), took_ms })
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("listening on {address}"))
}

async fn tick(commands: mpsc::Sender<Command>) {
    let mut interval = interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if commands.send(Command::Tick).await.is_err() {
            return;
        }
    }
}
