//! Serves the connections of agents. Each connection carries one request at a time.
//!
//! Owns nothing but the connection: each request becomes a [`Command::Pull`], and the encoded reply of the controller is
//! written back. An agent that is silent or does not read is disconnected; it connects again to this process or another one.

use crate::acceptor::{self, AcceptLimits};
use crate::command::Command;
use lugwharf_protocol::{AgentRequest, FrameError, read_frame};
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Agents that may be connected to this process: several times the fronts of the largest deployment over its control
/// processes, under the 4,096 descriptors of a small machine.
const MAX_CONNECTIONS: usize = 2_000;
/// A connection without a request for so long was abandoned by its agent, which asks twice a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// An agent that reads nothing of its reply for so long is gone. A long list on a narrow link takes its time.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts agents for as long as the process runs.
pub async fn accept(listener: TcpListener, commands: mpsc::Sender<Command>) {
    let limits = AcceptLimits { kind: "agent", max_connections: MAX_CONNECTIONS };
    acceptor::accept(listener, limits, commands, serve).await;
}

async fn serve(mut stream: TcpStream, commands: mpsc::Sender<Command>) -> Result<(), FrameError> {
    stream.set_nodelay(true)?;
    loop {
        let request = timeout(IDLE_TIMEOUT, read_frame::<AgentRequest>(&mut stream)).await;
        let Some(request) = request.map_err(io::Error::from)?? else { return Ok(()) };
        let (reply, frame) = oneshot::channel();
        if commands.send(Command::Pull { request, reply }).await.is_err() {
            return Ok(());
        }
        let Ok(frame) = frame.await else { return Ok(()) };
        write(&mut stream, &frame).await?;
    }
}

/// Writes a reply, however long it takes, as long as the agent reads some of it within each [`WRITE_STALL_TIMEOUT`].
async fn write(stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(WRITE_STALL_TIMEOUT, stream.write(bytes)).await??;
        bytes = bytes.get(written..).filter(|_| written > 0).ok_or(io::ErrorKind::WriteZero)?;
    }
    Ok(())
}
