//! The control process: the operator API, a replica of the configuration, the server list, the count of
//! front-end nodes.
//!
//! `controller` owns all state and handles a queue of commands. The state machines inside it come from the
//! crates `chain`, `election`, `distribution`, `membership` and `stages`. The tasks around it perform the I/O
//! and own no state that outlives a connection:
//!
//! | module | responsibility |
//! | --- | --- |
//! | `storage` | the thread that writes the log |
//! | `peer_transport` | connections between control processes |
//! | `agent_server` | connections from agents |
//! | `operator` | the operator API over HTTP; `gateway` redirects it on machines without a replica |
//! | `http_server` | the HTTP server of both, and its graceful shutdown |
//! | `list_watcher` | reads the platform's server list through `platform_client`, under the lease |
//! | `orders` | sends orders to model servers, under the lease |
//! | `server_reports` | requests stage reports from model servers, under the lease |
//! | `announcement` | announces the control processes to seeds that run none |
#![forbid(unsafe_code)]

mod agent_server;
mod announcement;
#[cfg(test)]
mod announcement_tests;
mod command;
mod connection_listener;
mod controller;
#[cfg(test)]
mod encoded_bytes_tests;
pub mod gateway;
#[cfg(test)]
mod gateway_tests;
#[cfg(test)]
mod http_bytes_tests;
mod http_server;
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

use command::{Command, send_command};
use controller::Controller;
use eyre::{Result, WrapErr, eyre};
pub use http_server::HttpServer;
use lugwharf_settings::{Settings, SettingsError, SettingsFollower};
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

/// The capacity of the controller's command queue. When it is full, connections and HTTP requests wait.
const COMMAND_QUEUE_CAPACITY: usize = 1024;
/// The period of [`Command::Tick`]: the shortest that the replica and the elector expect (20 to 50 ms). A
/// shorter period would only cost more wake-ups.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Used if `GraceS` in the settings is not a valid duration.
const DEFAULT_GRACE: Duration = Duration::from_secs(8);
/// Added to the maximum duration of a shutdown, to allow for a busy controller.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Command-line options of the control process.
#[derive(Clone, Debug, Default)]
pub struct ControlOptions {
    /// An additional port for `GET /metrics`, which the operator API serves as well. `None` opens no
    /// additional port.
    pub metrics_port: Option<u16>,
    /// The tuning of the stage planning.
    pub stages: StageTuning,
}

/// Runs a control process until SIGTERM. It reads the settings file again when that has changed, and on
/// SIGHUP.
///
/// # Errors
/// A required setting is missing, a signal handler or a listener can't be installed, the log can't be opened,
/// or the controller ends unexpectedly.
pub async fn run(settings: Settings, options: ControlOptions) -> Result<()> {
    let mut follower = SettingsFollower::new(&settings).wrap_err("SIGHUP")?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let grace = Duration::try_from_secs_f64(settings.bounds.grace_s).unwrap_or(DEFAULT_GRACE);
    let control = settings.listen.control.ok_or_else(|| eyre!("settings: Listen.Control is missing"))?;
    let ports = settings.internal_ports();
    let peer_listener = listen(SocketAddr::new(settings.listen_ip(), ports.peer)).await?;
    let agent_listener = listen(SocketAddr::new(settings.listen_ip(), ports.agent)).await?;
    let operator_listener = listen(control).await?;
    let (commands, queue) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let rejections = RejectionCounters::default();
    let controller = Controller::start(settings.clone(), options.stages, commands.clone(), &rejections)?;
    let mut controller = tokio::spawn(controller.run(queue));
    tokio::spawn(peer_transport::accept(peer_listener, commands.clone()));
    tokio::spawn(agent_server::accept(agent_listener, commands.clone()));
    let operator_api = operator::serve(operator_listener, commands.clone(), rejections);
    tokio::spawn(tick(commands.clone()));
    tokio::spawn(announcement::run(settings.bind, commands.clone()));
    let endpoint = MetricsEndpoint::listen_if_enabled(settings.listen_ip(), options.metrics_port).await;
    if let Some(endpoint) = endpoint {
        tokio::spawn(metrics::serve(endpoint, commands.clone()));
    }
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            read = follower.next() => apply_settings(read, &commands).await,
            ended = &mut controller => return Err(eyre!("the controller task ended unexpectedly: {ended:?}")),
        }
    }
    let started_at = Instant::now();
    shut_down(&commands, grace).await;
    // The controller still decides the operator's requests in progress, while nothing else waits for it.
    let remaining = grace.saturating_sub(started_at.elapsed());
    if !operator_api.shut_down(operator::MAX_RESPONSE_TIME.min(remaining)).await {
        warn!("shutdown", kv: { outcome = "requests_cut_off" });
    }
    Ok(())
}

/// Applies settings that were read again. If that failed, the present settings stay in effect.
async fn apply_settings(read: Result<Settings, SettingsError>, commands: &mpsc::Sender<Command>) {
    match read {
        Ok(settings) => send_command(commands, Command::Reload { settings: Box::new(settings) }).await,
        Err(error) => warn!("settings", kv: { outcome = "not_reloaded", error: = error }),
    }
}

/// Runs the shutdown sequence of the controller for at most `grace`.
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
    let mut interval = interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if commands.send(Command::Tick).await.is_err() {
            return;
        }
    }
}
