//! The agent: keeps the link of a front to the control plane and feeds the proxy of the same machine over loopback.
//!
//! Three tasks share nothing but queues. `owner` holds the tables; `uplink` pulls what they are missing from one
//! control process at a time and moves on when that one fails or has lost touch; `feed` serves the proxy.
#![forbid(unsafe_code)]

mod backoff;
#[cfg(test)]
mod backoff_tests;
pub mod discovery;
#[cfg(test)]
mod discovery_tests;
mod feed;
mod figures;
mod last_resort;
mod link;
#[cfg(test)]
mod link_tests;
mod owner;
mod patience;
mod uplink;

use eyre::{Result, WrapErr};
use figures::Figures;
use lugwharf_settings::Settings;
use lugwharf_telemetry::MetricsEndpoint;
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

/// Commands that may wait for the owner of the tables; there is one feed and one uplink, so few are ever under way.
const QUEUE: usize = 64;

/// What the command line may choose.
#[derive(Clone, Debug, Default)]
pub struct AgentOptions {
    /// The port of `GET /metrics`; not served if absent.
    pub metrics_port: Option<u16>,
    /// What is told of the control plane to others on this machine.
    pub control_plane: ControlPlaneStatus,
}

/// What the agent knows of the control plane, kept up to date.
#[derive(Clone, Debug, Default)]
pub struct ControlPlaneStatus {
    /// The agent address of the control process that is followed.
    pub followed: watch::Sender<Option<SocketAddr>>,
    /// The agent addresses of all control processes that are known.
    pub known: watch::Sender<Vec<SocketAddr>>,
    /// The agent addresses that control processes have announced to this machine, the newest first.
    pub announced: watch::Sender<Vec<SocketAddr>>,
}

/// Runs until SIGTERM.
pub async fn run(settings: Settings, options: AgentOptions) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup()).wrap_err("SIGHUP")?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let feed_address = settings.feed_address();
    let listener =
        TcpListener::bind(feed_address).await.wrap_err_with(|| format!("listening on {feed_address}"))?;
    let (commands, queue) = mpsc::channel(QUEUE);
    tokio::spawn(owner::run(queue));
    tokio::spawn(feed::serve(listener, commands.clone()));
    let (reload, reloads) = mpsc::channel(1);
    let figures = Arc::<Figures>::default();
    let metrics_endpoint =
        MetricsEndpoint::listen_if_enabled(settings.listen_ip(), options.metrics_port).await;
    if let Some(endpoint) = metrics_endpoint {
        tokio::spawn(figures::serve(endpoint, figures.clone(), commands.clone()));
    }
    tokio::spawn(uplink::run(settings, figures, commands, reloads, options.control_plane));
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = hangup.recv() => match Settings::read(&Settings::path()) {
                Ok(settings) => drop(reload.try_send(settings)),
                Err(error) => warn!("settings", kv: { outcome = "not_reloaded", error: = error }),
            },
        }
    }
}
