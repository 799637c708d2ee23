//! Serves connections from agents. Each connection carries one request at a time.
//!
//! A task owns nothing but its connection: it passes each request to the controller as [`Command::Pull`] and
//! writes the encoded reply back. An agent that sends no requests or does not read is disconnected; it then
//! reconnects to this process or to another one.

use crate::command::Command;
use crate::connection_listener::{self, AcceptLimits};
use lugwharf_protocol::{AgentRequest, FrameError, read_frame};
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// The maximum number of connected agents: several times the share of one control process in the largest
/// deployment, and below the limit of 4,096 file descriptors on a small machine.
const MAX_CONNECTIONS: usize = 2_000;
/// A connection without a request for this long is closed. Agents pull twice a second, so such a
/// connection was abandoned.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// An agent that reads no byte of its reply for this long is disconnected. The timeout applies to each write
/// and not to the complete reply, because a long list takes longer over a slow link.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts connections from agents until the process ends.
pub async fn accept(listener: TcpListener, commands: mpsc::Sender<Command>) {
    let limits = AcceptLimits { kind: "agent", max_connections: MAX_CONNECTIONS };
    connection_listener::accept(listener, limits, commands, serve).await;
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

/// Writes a complete reply. Fails if the agent reads nothing for [`WRITE_STALL_TIMEOUT`]; the total time is
/// not limited.
async fn write(stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(WRITE_STALL_TIMEOUT, stream.write(bytes)).await??;
        bytes = bytes.get(written..).filter(|_| written > 0).ok_or(io::ErrorKind::WriteZero)?;
    }
    Ok(())
}
