//! The agent: connects a front-end node to the control plane and feeds the proxy on the same machine over
//! loopback.
//!
//! Its tasks share only message queues, the metrics, and the published [`ControlPlaneStatus`].
//!
//! | module | responsibility |
//! | --- | --- |
//! | `table_owner` | the task that owns the tables and executes the commands of the other tasks |
//! | `control_link` | the task that pulls from one control process and switches to others |
//! | `control_connection`, `stall_timeout` | a connection to a control process and its timeouts |
//! | `backoff`, `fallback` | the delay between passes; the newest update without a quorum |
//! | `feed` | the task that sends updates to the proxy and receives its reports |
//! | [`discovery`] | the agent port of a machine without a replica |
//! | `metrics` | counters and their text format |
#![forbid(unsafe_code)]

mod backoff;
#[cfg(test)]
mod backoff_tests;
mod control_connection;
#[cfg(test)]
mod control_connection_tests;
mod control_link;
pub mod discovery;
#[cfg(test)]
mod discovery_tests;
mod fallback;
mod feed;
mod metrics;
mod stall_timeout;
mod table_owner;

use eyre::{Result, WrapErr};
use lugwharf_settings::{Settings, SettingsFollower};
use lugwharf_telemetry::MetricsEndpoint;
use metrics::AgentMetrics;
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

/// The capacity of the command queue of the table owner. One feed and one control link send commands, so the
/// queue is rarely used beyond a few entries.
const COMMAND_QUEUE_CAPACITY: usize = 64;

/// Options of [`run`].
#[derive(Clone, Debug, Default)]
pub struct AgentOptions {
    /// The port of `GET /metrics`. If absent, the metrics are not served.
    pub metrics_port: Option<u16>,
    /// The channels on which the agent publishes its knowledge of the control plane.
    pub control_plane: ControlPlaneStatus,
}

/// The agent's knowledge of the control plane, published to other tasks of this process. Clones share the
/// same channels.
#[derive(Clone, Debug, Default)]
pub struct ControlPlaneStatus {
    /// The agent address of the control process that this agent follows, if any.
    pub followed: watch::Sender<Option<SocketAddr>>,
    /// The agent addresses of the control processes, as last reported by one of them.
    pub known: watch::Sender<Vec<SocketAddr>>,
    /// The agent addresses that control processes have announced to this machine, newest first.
    pub announced: watch::Sender<Vec<SocketAddr>>,
}

/// Runs the agent until SIGTERM. It reads the settings file again when that has changed, and on SIGHUP, and
/// uses the new seeds.
pub async fn run(settings: Settings, options: AgentOptions) -> Result<()> {
    let mut follower = SettingsFollower::new(&settings).wrap_err("SIGHUP")?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let feed_address = settings.feed_address();
    let listener =
        TcpListener::bind(feed_address).await.wrap_err_with(|| format!("listening on {feed_address}"))?;
    let (commands, command_queue) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    tokio::spawn(table_owner::run(command_queue));
    tokio::spawn(feed::serve(listener, commands.clone()));
    let (reload, reloads) = watch::channel(settings.clone());
    let metrics = Arc::<AgentMetrics>::default();
    let endpoint = MetricsEndpoint::listen_if_enabled(settings.listen_ip(), options.metrics_port).await;
    if let Some(endpoint) = endpoint {
        tokio::spawn(metrics::serve(endpoint, metrics.clone(), commands.clone()));
    }
    tokio::spawn(control_link::run(reloads, metrics, commands, options.control_plane));
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            read = follower.next() => match read {
                // The control link reads the newest settings between two passes.
                Ok(settings) => drop(reload.send_replace(settings)),
                Err(error) => warn!("settings", kv: { outcome = "not_reloaded", error: = error }),
            },
        }
    }
}
