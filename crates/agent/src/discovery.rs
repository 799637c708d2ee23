//! The agent port of a machine without a replica: tells where the control processes are.
//!
//! The seeds in the settings of a process may be machines that host no replica, since operators list every machine that serves
//! control. Control processes announce themselves to such a machine, and an agent that pulls from it learns the ones that it
//! knows. It sends no tables, and always reports that it has no quorum, so that nobody takes anything out of date from it.

use crate::ControlPlaneStatus;
use lugwharf_protocol::{
    AgentRequest, ControlReply, FrameError, Update, VersionVector, read_frame, write_frame,
};
use spdlog::prelude::*;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

/// Connections that may be open at once; peers disconnect once they have their reply. Further ones are closed at once.
const MAX_CONNECTIONS: usize = 64;
/// A connection without a request for this long is closed; also the limit on writing a reply.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay after a failed accept, as when no descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Announced addresses that are retained.
const MAX_ANNOUNCED: usize = 64;

/// Serves requests for as long as the process runs.
pub async fn serve(listener: TcpListener, control_plane: ControlPlaneStatus) {
    let capacity = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = capacity.clone().try_acquire_owned() else { continue };
        let control_plane = control_plane.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_connection(stream, &control_plane).await {
                debug!("link", kv: { outcome = "closed", kind = "discovery", from: = address, error: = error });
            }
            drop(permit);
        });
    }
}

async fn serve_connection(
    mut stream: TcpStream, control_plane: &ControlPlaneStatus,
) -> Result<(), FrameError> {
    loop {
        let request = timeout(IDLE_TIMEOUT, read_frame::<AgentRequest>(&mut stream)).await;
        let request = request.map_err(io::Error::from)??;
        let have = match request {
            None => return Ok(()),
            Some(AgentRequest::Pull { have, .. }) => have,
            Some(AgentRequest::Announce { control }) => {
                record_announcement(control_plane, control);
                VersionVector::default()
            }
        };
        let control = known_and_announced(control_plane);
        let update = Update { vector: have, ..Update::default() };
        let reply = ControlReply::Update { has_quorum: false, control, update };
        timeout(IDLE_TIMEOUT, write_frame(&mut stream, &reply)).await.map_err(io::Error::from)??;
    }
}

/// The control processes that the agent of this machine knows, then the announced ones.
fn known_and_announced(control_plane: &ControlPlaneStatus) -> Vec<SocketAddr> {
    let mut addresses = control_plane.known.borrow().clone();
    for address in control_plane.announced.borrow().iter() {
        if !addresses.contains(address) {
            addresses.push(*address);
        }
    }
    addresses.truncate(MAX_ANNOUNCED);
    addresses
}

/// Puts the newest announcement first; earlier ones stay as far as there is room.
///
/// Of two announcements at once, on two connections, one may be lost. It comes again: replicas announce every 500 ms.
fn record_announcement(control_plane: &ControlPlaneStatus, control: Vec<SocketAddr>) {
    let earlier = control_plane.announced.borrow().clone();
    let mut announced = control;
    announced.truncate(MAX_ANNOUNCED);
    for address in earlier {
        if announced.len() < MAX_ANNOUNCED && !announced.contains(&address) {
            announced.push(address);
        }
    }
    control_plane.announced.send_replace(announced);
}
