//! The agent of a front-end node, together with the machine's part in the control plane (`ControlPlacement`):
//! a hosted replica if the machine counts for the quorum, or redirects to a control process if it does not.
//!
//! A hosted replica has a thread and a runtime of its own, so its work does not delay the agent. If the
//! replica ends with an error, its tasks and listeners end with its runtime, and the replica is restarted
//! while the agent keeps running.

use crate::runtime::block_on;
use eyre::{Result, WrapErr};
use lugwharf_agent::{AgentOptions, ControlPlaneStatus, discovery};
use lugwharf_control::{ControlOptions, gateway};
use lugwharf_settings::{ControlPlacement, Settings};
use lugwharf_stages::StageTuning;
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The delay before the first restart of a hosted replica. The delay doubles with each restart.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(250);
/// The longest delay before a restart of a hosted replica.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(4);

/// Runs the agent until SIGTERM. A hosted replica shuts down gracefully at the same time, and the function
/// waits for it.
pub fn run_agent(settings: Settings, options: AgentOptions, stages: StageTuning) -> Result<()> {
    match settings.control_placement().wrap_err("settings")? {
        ControlPlacement::None => block_on(lugwharf_agent::run(settings, options)),
        ControlPlacement::Gateway(address) => block_on(run_with_gateway(settings, options, address)),
        ControlPlacement::Replica => {
            let replica = host_replica(settings.clone(), stages)?;
            let result = block_on(lugwharf_agent::run(settings, options));
            if result.is_ok() && replica.join().is_err() {
                error!("hosted_replica", kv: { outcome = "panicked" });
            }
            result
        }
    }
}

/// Runs the agent on a machine without a replica, together with redirects for the operator's API and the
/// discovery of control processes.
async fn run_with_gateway(settings: Settings, options: AgentOptions, address: SocketAddr) -> Result<()> {
    let discovery_address = SocketAddr::new(settings.listen_ip(), settings.internal_ports().agent);
    let control_plane = ControlPlaneStatus::default();
    let (target_sender, target_receiver) = watch::channel(None);
    let redirects = gateway::serve(listen(address).await?, target_receiver);
    tokio::spawn(redirect_to_followed(control_plane.followed.subscribe(), target_sender, address.port()));
    tokio::spawn(discovery::serve(listen(discovery_address).await?, control_plane.clone()));
    let options = AgentOptions { control_plane, ..options };
    let result = lugwharf_agent::run(settings, options).await;
    if !redirects.shut_down(gateway::MAX_REDIRECT_TIME).await {
        warn!("shutdown", kv: { outcome = "requests_cut_off" });
    }
    result
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("listening on {address}"))
}

/// Publishes the address to which callers of the operator's API are redirected: that of the control process
/// which the agent follows, with `port`, since all machines use the same ports.
async fn redirect_to_followed(
    mut followed: watch::Receiver<Option<SocketAddr>>, target_sender: watch::Sender<Option<SocketAddr>>,
    port: u16,
) {
    while followed.changed().await.is_ok() {
        let process = *followed.borrow_and_update();
        target_sender.send_replace(process.map(|process| SocketAddr::new(process.ip(), port)));
    }
}

/// Starts a thread that runs a replica until SIGTERM and restarts it after errors.
fn host_replica(settings: Settings, stages: StageTuning) -> Result<JoinHandle<()>> {
    let options = ControlOptions { stages, ..ControlOptions::default() };
    let run = move || {
        let mut delay = MIN_RESTART_DELAY;
        while let Err(error) = block_on(lugwharf_control::run(settings.clone(), options.clone())) {
            error!("hosted_replica", kv: { outcome = "failed", error: = format!("{error:#}") });
            thread::sleep(delay);
            delay = (delay * 2).min(MAX_RESTART_DELAY);
        }
    };
    thread::Builder::new().name("control".to_owned()).spawn(run).wrap_err("the thread of the replica")
}
