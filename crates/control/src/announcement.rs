//! Announces the control processes to the seeds that are none.
//!
//! Seeds are machines that serve control, also those without a replica. After a loss of everything such a seed knows nobody, and
//! agents know nobody but the seeds. So each replica tells those seeds again and again which control processes it knows
//! of. The answer names those that the seed knows, for a replica that hears nobody, as one with a new disk.

use crate::command::Command;
use lugwharf_protocol::{AgentRequest, ControlReply, FrameError, connect_from, read_frame, write_frame};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// Between two announcements; a front that starts waits for one at most. Replicas that run hear each other well within it.
const PAUSE: Duration = Duration::from_millis(500);
/// A seed that takes longer is passed over.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Addresses that are taken over from one answer.
const MAX_ADDRESSES: usize = 64;

/// What is to be announced now.
#[derive(Clone, Debug, Default)]
pub struct Announcement {
    /// The agent addresses of the seeds that are no control processes, as far as is known.
    pub seeds: Vec<SocketAddr>,
    /// The agent addresses of the control processes.
    pub control: Vec<SocketAddr>,
}

/// Announces until the owner of the state ends. `source` is the address that links come from, where it matters.
pub async fn run(source: Option<IpAddr>, commands: mpsc::Sender<Command>) {
    loop {
        sleep(PAUSE).await;
        let (reply, announcement) = oneshot::channel();
        if commands.send(Command::GetAnnouncement { reply }).await.is_err() {
            return;
        }
        let Ok(Announcement { seeds, control }) = announcement.await else { return };
        for seed in seeds {
            let told = timeout(RESPONSE_TIMEOUT, announce(source, seed, &control)).await;
            let Ok(Ok(addresses)) = told else { continue };
            if commands.send(Command::PeersAnnounced { addresses }).await.is_err() {
                return;
            }
        }
    }
}

/// Tells one seed; returns the agent addresses of the control processes that it knows.
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
