//! Announces the known control processes to the seeds that run none.
//!
//! Seeds are machines that serve control requests, including machines without a replica. After the loss of
//! all machines, such a seed knows no control process, while agents know only the seeds. Each replica
//! therefore announces the control processes that it knows to those seeds every 500 ms. The reply contains
//! the processes that the seed knows, which helps a replica that receives no messages from others, for
//! example one with a new disk. A seed that does not reply in time is skipped until the next round.

use crate::command::Command;
use crate::message::Announcement;
use lugwharf_protocol::{AgentRequest, ControlReply, FrameError, connect_from, read_frame, write_frame};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// The time between two rounds. A front-end node that starts waits for at most one round. Running replicas
/// exchange messages more often than that.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout for the complete exchange with one seed.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// The maximum number of addresses that are used from one reply.
const MAX_ADDRESSES: usize = 64;

/// Announces until the controller ends. `source` is the local address to connect from, if the settings
/// specify one.
pub async fn run(source: Option<IpAddr>, commands: mpsc::Sender<Command>) {
    loop {
        sleep(ANNOUNCE_INTERVAL).await;
        let (reply, announcement) = oneshot::channel();
        if commands.send(Command::GetAnnouncement { reply }).await.is_err() {
            return;
        }
        let Ok(Announcement { seeds, control }) = announcement.await else { return };
        for seed in seeds {
            let announced = timeout(RESPONSE_TIMEOUT, announce(source, seed, &control)).await;
            let Ok(Ok(addresses)) = announced else { continue };
            if commands.send(Command::PeersAnnounced { addresses }).await.is_err() {
                return;
            }
        }
    }
}

/// Announces to one seed and returns the agent addresses of the control processes that the seed knows.
async fn announce(
    source: Option<IpAddr>, seed: SocketAddr, control: &[SocketAddr],
) -> Result<Vec<SocketAddr>, FrameError> {
    let mut stream = connect_from(source, seed).await?;
    write_frame(&mut stream, &AgentRequest::Announce { control: control.to_vec() }).await?;
    let reply = read_frame::<ControlReply>(&mut stream).await?;
    let mut addresses = reply.map_or_else(Vec::new, |ControlReply::Update { control, .. }| control);
    addresses.truncate(MAX_ADDRESSES);
    Ok(addresses)
}
