//! Asks the seeds where the control processes are.
//!
//! A replica finds the others by its seeds and by its log. Seeds may be machines without a replica, which answer on the agent
//! port alone and name the control processes that they know. So a replica that hears nobody asks there.

use crate::command::Command;
use lugwharf_protocol::{
    AgentRequest, ControlReply, FrameError, VersionVector, connect_from, read_frame, write_frame,
};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// Replicas that run hear each other within a few heartbeats; before that there is nothing to look up.
const PAUSE: Duration = Duration::from_millis(1_000);
/// A seed that takes longer is passed over.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);
/// Addresses that are taken over from one answer.
const MOST_ADDRESSES: usize = 64;

/// Who asks.
#[derive(Clone, Debug)]
pub struct Asker {
    /// The name of this machine.
    pub node: String,
    /// The address that links come from, where it matters.
    pub source: Option<IpAddr>,
}

/// Looks up control processes whenever nobody is heard, until the owner of the state ends.
pub async fn run(asker: Asker, commands: mpsc::Sender<Command>) {
    loop {
        sleep(PAUSE).await;
        let (reply, seeds) = oneshot::channel();
        if commands.send(Command::SeedsToAsk { reply }).await.is_err() {
            return;
        }
        let Ok(seeds) = seeds.await else { return };
        for seed in seeds {
            let Ok(Ok(addresses)) = timeout(ANSWER_WITHIN, ask(&asker, seed)).await else { continue };
            if commands.send(Command::Named { addresses }).await.is_err() {
                return;
            }
        }
    }
}

/// The agent addresses of the control processes that a seed knows.
async fn ask(asker: &Asker, seed: SocketAddr) -> Result<Vec<SocketAddr>, FrameError> {
    let mut stream = connect_from(asker.source, seed).await?;
    let request = AgentRequest::Pull {
        node: asker.node.clone(),
        incarnation: 0,
        have: VersionVector::default(),
        wait_ms: 0,
        loads: Vec::new(),
    };
    write_frame(&mut stream, &request).await?;
    let reply = read_frame::<ControlReply>(&mut stream).await?;
    let mut addresses = reply.map_or_else(Vec::new, |ControlReply::Update { control, .. }| control);
    addresses.truncate(MOST_ADDRESSES);
    Ok(addresses)
}
