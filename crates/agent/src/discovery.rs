//! What a machine without a replica tells on the agent port: where the control processes are.
//!
//! The settings of a process may name machines that hold no replica, as operators' lists name all that serve control. Control
//! processes announce themselves to such a machine, and an agent that asks it learns those that it knows. Nothing else is
//! told, and always as out of touch, so that nobody takes anything out of date from here.

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

/// Links that may be open at once. Askers leave once they have their answer.
const MOST_LINKS: usize = 64;
/// A link on which no request came for so long is closed.
const SILENT: Duration = Duration::from_secs(2);
/// The wait after an accept that failed, as when there are no descriptors left.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Addresses that are kept of announcements at most.
const MOST_ANNOUNCED: usize = 64;

/// Answers askers for as long as the process runs.
pub async fn serve(listener: TcpListener, control_plane: ControlPlaneStatus) {
    let room = Arc::new(Semaphore::new(MOST_LINKS));
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            sleep(ACCEPT_AGAIN).await;
            continue;
        };
        let Ok(place) = room.clone().try_acquire_owned() else { continue };
        let control_plane = control_plane.clone();
        tokio::spawn(async move {
            if let Err(error) = answer(stream, &control_plane).await {
                debug!("link", kv: { outcome = "closed", kind = "directory", from: = address, error: = error });
            }
            drop(place);
        });
    }
}

async fn answer(mut stream: TcpStream, control_plane: &ControlPlaneStatus) -> Result<(), FrameError> {
    loop {
        let request = timeout(SILENT, read_frame::<AgentRequest>(&mut stream)).await;
        let request = request.map_err(io::Error::from)??;
        let have = match request {
            None => return Ok(()),
            Some(AgentRequest::Pull { have, .. }) => have,
            Some(AgentRequest::Announce { control }) => {
                learn(control_plane, control);
                VersionVector::default()
            }
        };
        let control = known(control_plane);
        let update = Update { vector: have, ..Update::default() };
        let reply = ControlReply::Update { has_quorum: false, control, update };
        timeout(SILENT, write_frame(&mut stream, &reply)).await.map_err(io::Error::from)??;
    }
}

/// What the agent knows, and what was announced beside.
fn known(control_plane: &ControlPlaneStatus) -> Vec<SocketAddr> {
    let mut known = control_plane.known.borrow().clone();
    for address in control_plane.announced.borrow().iter() {
        if !known.contains(address) {
            known.push(*address);
        }
    }
    known.truncate(MOST_ANNOUNCED);
    known
}

/// The newest announcement comes first, and what was announced before stays as far as there is room.
fn learn(control_plane: &ControlPlaneStatus, control: Vec<SocketAddr>) {
    let announced = control_plane.announced.borrow().clone();
    let mut newest = control;
    newest.truncate(MOST_ANNOUNCED);
    for address in announced {
        if newest.len() < MOST_ANNOUNCED && !newest.contains(&address) {
            newest.push(address);
        }
    }
    control_plane.announced.send_replace(newest);
}
