//! The agent of a front together with what the machine does for callers of control: a replica where it counts, redirects where
//! it does not.
//!
//! A hosted replica has a thread and a runtime of its own. Its work does not hold the agent up, and if it ends in an error,
//! all its tasks and listeners end with its runtime and it is started again, while the agent goes on.

use crate::commands::block_on;
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

/// The pause before a hosted replica that ended in an error is started again; it doubles with each in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// The longest of these pauses.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Runs the agent until SIGTERM. A hosted replica parts from the others meanwhile, and is waited for.
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

async fn run_with_gateway(settings: Settings, options: AgentOptions, address: SocketAddr) -> Result<()> {
    let directory_address = SocketAddr::new(settings.listen_ip(), settings.internal_ports().agent);
    let control_plane = ControlPlaneStatus::default();
    let (target, targets) = watch::channel(None);
    gateway::serve(listen(address).await?, targets);
    tokio::spawn(redirect_to_followed(control_plane.followed.subscribe(), target, address.port()));
    tokio::spawn(discovery::serve(listen(directory_address).await?, control_plane.clone()));
    let options = AgentOptions { control_plane, ..options };
    lugwharf_agent::run(settings, options).await
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("listening on {address}"))
}

/// Ports are alike on all machines: the operator's port of the control process that is followed.
async fn redirect_to_followed(
    mut followed: watch::Receiver<Option<SocketAddr>>, target: watch::Sender<Option<SocketAddr>>, port: u16,
) {
    while followed.changed().await.is_ok() {
        let process = *followed.borrow_and_update();
        target.send_replace(process.map(|process| SocketAddr::new(process.ip(), port)));
    }
}

/// Starts a thread that runs a replica until SIGTERM.
fn host_replica(settings: Settings, stages: StageTuning) -> Result<JoinHandle<()>> {
    let options = ControlOptions { stages, ..ControlOptions::default() };
    let run = move || {
        let mut pause = FIRST_PAUSE;
        while let Err(error) = block_on(lugwharf_control::run(settings.clone(), options.clone())) {
            error!("hosted_replica", kv: { outcome = "failed", error: = format!("{error:#}") });
            thread::sleep(pause);
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    };
    thread::Builder::new().name("control".to_owned()).spawn(run).wrap_err("the thread of the replica")
}
