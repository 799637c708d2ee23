//! The control process: the operator's API, a replica of the configuration, the server list, the count of fronts.
//!
//! `controller` owns all state and handles a queue of commands; the state machines inside it come from the crates
//! `chain`, `election`, `distribution`, `membership` and `stages`. The tasks around it do the I/O and own no state that
//! outlives a connection:
//!
//! | module | task |
//! | --- | --- |
//! | `storage` | the thread that writes the log |
//! | `peer_transport` | connections between control processes |
//! | `agent_server` | connections of agents |
//! | `operator` | the operator's API over HTTP; `gateway` serves it on machines without a replica |
//! | `list_watcher` | reads the platform's list through `platform_client`, under the lease |
//! | `orders` | sends orders to model servers, under the lease |
//! | `announcement` | announces the control processes to seeds that run none |
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
mod leased_call;
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
mod server_reports;
mod shutdown;
mod status;
#[cfg(test)]
mod status_tests;
mod storage;

use command::{Command, notify};
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

/// Commands that may wait for the controller. When the queue is full, connections and HTTP requests wait.
const QUEUE_LENGTH: usize = 1024;
/// The period of [`Command::Tick`]: well under the shortest timer of the state machines (heartbeats of 150 ms), and each
/// tick costs a wake-up.
const TICK: Duration = Duration::from_millis(20);
/// `GraceS` where the value in the settings is no duration.
const DEFAULT_GRACE: Duration = Duration::from_secs(8);
/// Added to the longest shutdown, for a controller that is busy.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Options of the command line.
#[derive(Clone, Debug, Default)]
pub struct ControlOptions {
    /// A port for `GET /metrics` beside the one of the operator's API; not served there if absent.
    pub metrics_port: Option<u16>,
    /// The tuning of stage planning.
    pub stages: StageTuning,
}

/// Runs a control process until SIGTERM. SIGHUP reads the settings file again.
///
/// # Errors
/// A signal handler or a listener that can't be installed, a log that can't be opened, or an unexpected end of the controller.
pub async fn run(settings: Settings, options: ControlOptions) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup()).wrap_err("SIGHUP")?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let grace = Duration::try_from_secs_f64(settings.bounds.grace_s).unwrap_or(DEFAULT_GRACE);
    let control = settings.listen.control.ok_or_else(|| eyre!("settings: Listen.Control is missing"))?;
    let ports = settings.internal_ports();
    let peer_listener = listen(SocketAddr::new(settings.listen_ip(), ports.peer)).await?;
    let agent_listener = listen(SocketAddr::new(settings.listen_ip(), ports.agent)).await?;
    let operator_listener = listen(control).await?;
    let (commands, queue) = mpsc::channel(QUEUE_LENGTH);
    let rejections = RejectionCounters::default();
    let controller = Controller::start(settings.clone(), options.stages, commands.clone(), &rejections)?;
    let mut controller = tokio::spawn(controller.run(queue));
    tokio::spawn(peer_transport::accept(peer_listener, commands.clone()));
    tokio::spawn(agent_server::accept(agent_listener, commands.clone()));
    operator::serve(operator_listener, commands.clone(), rejections);
    tokio::spawn(tick(commands.clone()));
    tokio::spawn(announcement::run(settings.bind, commands.clone()));
    let endpoint = MetricsEndpoint::listen_if_enabled(settings.listen_ip(), options.metrics_port).await;
    if let Some(endpoint) = endpoint {
        tokio::spawn(metrics::serve(endpoint, commands.clone()));
    }
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload_settings(&settings, &commands).await,
            ended = &mut controller => return Err(eyre!("the owner of the state ended: {ended:?}")),
        }
    }
    shut_down(&commands, grace).await;
    Ok(())
}

/// Reads the settings file again; one that can't be read changes nothing.
async fn reload_settings(settings: &Settings, commands: &mpsc::Sender<Command>) {
    match settings.reread() {
        Ok(settings) => notify(commands, Command::Reload { settings: Box::new(settings) }).await,
        Err(error) => warn!("settings", kv: { outcome = "not_reloaded", error: = error }),
    }
}

/// Leaves the other control processes, in a bounded time: at most `grace`.
async fn shut_down(commands: &mpsc::Sender<Command>, grace: Duration) {
    let started_at = Instant::now();
    let limit = (shutdown::max_duration(grace) + SHUTDOWN_MARGIN).min(grace);
    let (done, outcome) = oneshot::channel();
    let leaving = async {
        commands.send(Command::Shutdown { done }).await.ok()?;
        outcome.await.ok()
    };
    let outcome = timeout(limit, leaving).await.ok().flatten().unwrap_or(ShutdownOutcome::TimedOut);
    let took_ms = started_at.elapsed().as_millis() as u64;
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
