//! The agent: connects a front-end node to the control plane and feeds the proxy of the same machine over loopback.
//!
//! The tasks share nothing but queues and the published [`ControlPlaneStatus`].
//!
//! | module | job |
//! | --- | --- |
//! | `table_owner` | the task that owns the tables; executes the commands of the others |
//! | `control_link` | the task that pulls from one control process at a time, and moves on when it fails or has no quorum |
//! | `control_connection`, `stall_timeout` | one connection to a control process and its time limits |
//! | `backoff`, `fallback` | the delay between passes; the newest update without a quorum |
//! | `feed` | the task that sends updates to the proxy and receives its reports |
//! | [`discovery`] | the agent port of a machine without a replica |
//! | `metrics` | counts and their text |
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
use lugwharf_settings::Settings;
use lugwharf_telemetry::MetricsEndpoint;
use metrics::AgentMetrics;
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

/// Commands that may be queued for the owner of the tables. There is one feed and one control link, so few are ever queued.
const COMMAND_QUEUE: usize = 64;

/// What the caller of [`run`] may choose.
#[derive(Clone, Debug, Default)]
pub struct AgentOptions {
    /// The port of `GET /metrics`; not served if absent.
    pub metrics_port: Option<u16>,
    /// Where the agent publishes what it knows of the control plane.
    pub control_plane: ControlPlaneStatus,
}

/// What the agent knows of the control plane, published for others in this process. Clones share the same channels.
#[derive(Clone, Debug, Default)]
pub struct ControlPlaneStatus {
    /// The agent address of the control process that the agent follows, if any.
    pub followed: watch::Sender<Option<SocketAddr>>,
    /// The agent addresses of the control processes of the view.
    pub known: watch::Sender<Vec<SocketAddr>>,
    /// The agent addresses that control processes have announced to this machine, newest first.
    pub announced: watch::Sender<Vec<SocketAddr>>,
}

/// Runs the agent until SIGTERM. SIGHUP reads the settings file again and takes over its seeds.
pub async fn run(settings: Settings, options: AgentOptions) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup()).wrap_err("SIGHUP")?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let feed_address = settings.feed_address();
    let listener =
        TcpListener::bind(feed_address).await.wrap_err_with(|| format!("listening on {feed_address}"))?;
    let (commands, command_queue) = mpsc::channel(COMMAND_QUEUE);
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
            _ = hangup.recv() => match settings.reread() {
                // The control link takes the newest ones between two passes.
                Ok(settings) => drop(reload.send_replace(settings)),
                Err(error) => warn!("settings", kv: { outcome = "not_reloaded", error: = error }),
            },
        }
    }
}
