//! Links of agents: each carries one request at a time.

use crate::acceptor::{self, AcceptLimits};
use crate::command::Command;
use lugwharf_protocol::{AgentRequest, FrameError, read_frame};
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Links that agents may have open to this process: several times the fronts of the largest deployment over its control
/// processes, under the 4,096 descriptors of a small machine.
const MAX_CONNECTIONS: usize = 2_000;
/// A link on which no request came for so long has been given up by its agent, which asks twice a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// An agent that takes nothing of its answer for so long is gone. A long list on a narrow link takes its time.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Lets agents open their links.
pub async fn accept(listener: TcpListener, commands: mpsc::Sender<Command>) {
    acceptor::accept(
        listener,
        AcceptLimits { kind: "agent", max_connections: MAX_CONNECTIONS },
        commands,
        serve,
    )
    .await;
}

async fn serve(mut stream: TcpStream, commands: mpsc::Sender<Command>) -> Result<(), FrameError> {
    stream.set_nodelay(true)?;
    loop {
        let request = timeout(IDLE_TIMEOUT, read_frame::<AgentRequest>(&mut stream)).await;
        let Some(request) = request.map_err(io::Error::from)?? else { return Ok(()) };
        let (reply, answer) = oneshot::channel();
        if commands.send(Command::Pull { request, reply }).await.is_err() {
            return Ok(());
        }
        let Ok(answer) = answer.await else { return Ok(()) };
        write(&mut stream, &answer).await?;
    }
}

/// Writes an answer, however long it takes, as long as the agent takes some of it now and then.
async fn write(stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(WRITE_STALL_TIMEOUT, stream.write(bytes)).await??;
        bytes = bytes.get(written..).filter(|_| written > 0).ok_or(io::ErrorKind::WriteZero)?;
    }
    Ok(())
}
