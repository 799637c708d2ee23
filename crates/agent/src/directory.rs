//! What a machine without a replica tells on the agent port: where the control processes are.
//!
//! The settings of a process may name machines that hold no replica, as operators' lists name all that serve control. An agent
//! or a replica that asks such a machine learns the control processes that the agent of that machine knows. Nothing else is
//! told, and always as out of touch, so that nobody takes anything out of date from here.

use lugwharf_protocol::{AgentRequest, ControlReply, FrameError, Update, read_frame, write_frame};
use spdlog::prelude::*;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};

/// Links that may be open at once. Askers leave once they have their answer.
const MOST_LINKS: usize = 64;
/// A link on which no request came for so long is closed.
const SILENT: Duration = Duration::from_secs(2);
/// The wait after an accept that failed, as when there are no descriptors left.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Answers askers for as long as the process runs. `control` holds the agent addresses of the control processes.
pub async fn serve(listener: TcpListener, control: watch::Receiver<Vec<SocketAddr>>) {
    let room = Arc::new(Semaphore::new(MOST_LINKS));
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            sleep(ACCEPT_AGAIN).await;
            continue;
        };
        let Ok(place) = room.clone().try_acquire_owned() else { continue };
        let control = control.clone();
        tokio::spawn(async move {
            if let Err(error) = answer(stream, &control).await {
                debug!("link", kv: { outcome = "closed", kind = "directory", from: = address, error: = error });
            }
            drop(place);
        });
    }
}

async fn answer(mut stream: TcpStream, control: &watch::Receiver<Vec<SocketAddr>>) -> Result<(), FrameError> {
    loop {
        let request = timeout(SILENT, read_frame::<AgentRequest>(&mut stream)).await;
        let request = request.map_err(io::Error::from)??;
        let Some(AgentRequest::Pull { have, .. }) = request else { return Ok(()) };
        let control = control.borrow().clone();
        let update = Update { vector: have, ..Update::default() };
        let reply = ControlReply::Update { in_touch: false, control, update };
        timeout(SILENT, write_frame(&mut stream, &reply)).await.map_err(io::Error::from)??;
    }
}
