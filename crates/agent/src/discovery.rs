//! Serves the agent port on a machine without a replica: replies with the addresses of the known control
//! processes.
//!
//! Operators list every machine that serves control requests as a seed, so some seeds host no replica.
//! Control processes announce themselves to such a machine, and agents that pull from it receive the
//! addresses that it knows. It sends no tables and always reports that it has no quorum, so that no agent
//! applies outdated tables from it.

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

/// The maximum number of open connections. Peers disconnect after they have received their reply; connections
/// beyond the limit are closed immediately.
const MAX_CONNECTIONS: usize = 64;
/// A connection without a request for this long is closed. Writing a reply has the same timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay before the next attempt after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The maximum number of announced addresses that are retained, and of addresses in a reply.
const MAX_ANNOUNCED_ADDRESSES: usize = 64;

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

/// Returns the control processes that the agent of this machine knows, followed by the announced ones.
fn known_and_announced(control_plane: &ControlPlaneStatus) -> Vec<SocketAddr> {
    let mut addresses = control_plane.known.borrow().clone();
    for address in control_plane.announced.borrow().iter() {
        if !addresses.contains(address) {
            addresses.push(*address);
        }
    }
    addresses.truncate(MAX_ANNOUNCED_ADDRESSES);
    addresses
}

/// Stores the addresses of an announcement ahead of the earlier ones, which are dropped beyond the limit.
///
/// If two connections announce at the same time, one announcement may be lost. That is acceptable because
/// control processes announce every 500 ms.
fn record_announcement(control_plane: &ControlPlaneStatus, control: Vec<SocketAddr>) {
    let earlier = control_plane.announced.borrow().clone();
    let mut announced = control;
    announced.truncate(MAX_ANNOUNCED_ADDRESSES);
    for address in earlier {
        if announced.len() < MAX_ANNOUNCED_ADDRESSES && !announced.contains(&address) {
            announced.push(address);
        }
    }
    control_plane.announced.send_replace(announced);
}
