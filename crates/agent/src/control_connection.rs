//! A connection to the agent port of one control process, with a time limit on each step.

use crate::stall_timeout::StallTimeoutReader;
use lugwharf_protocol::{AgentRequest, ControlReply, FrameError, connect_from, read_frame, write_frame};
use socket2::SockRef;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// On a healthy network connecting takes a few ms. A lost SYN is repeated after 1 s, and another control process is tried
/// sooner than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// `TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged before the kernel closes the connection, so that a silent
/// peer does not keep its buffers for minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest pause inside a reply: as long as a busy control process may take for the next bytes.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// The longest time for a complete reply after its first byte was due. A list of thousands of servers takes far less over a
/// narrow link; what takes longer comes from a faulty process.
const COMPLETE_REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// An open connection. A call that fails or is cancelled closes it, since its reply may still come and would be taken for the
/// reply to the next call.
pub struct ControlConnection {
    /// Absent after a call that failed or was cancelled.
    stream: Option<TcpStream>,
}

impl ControlConnection {
    /// Connects to the agent port of a control process, from the local address `source` if one is given.
    pub async fn open(address: SocketAddr, source: Option<IpAddr>) -> Result<ControlConnection, FrameError> {
        let connected = timeout(CONNECT_TIMEOUT, connect_from(source, address)).await;
        let stream = connected.map_err(|_| timed_out("connecting"))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        Ok(ControlConnection { stream: Some(stream) })
    }

    /// Sends a request and reads the reply, whose first byte must come within `first_byte_timeout`. After that the reply may
    /// take its time as long as bytes keep coming: one limit for all of it would never let a long list through a link that is
    /// too narrow for it.
    pub async fn call(
        &mut self, request: &AgentRequest, first_byte_timeout: Duration,
    ) -> Result<ControlReply, FrameError> {
        let mut stream =
            self.stream.take().ok_or_else(|| FrameError::Io(io::ErrorKind::NotConnected.into()))?;
        let limit = first_byte_timeout + COMPLETE_REPLY_TIMEOUT;
        let exchange = timeout(limit, exchange(&mut stream, request, first_byte_timeout)).await;
        let reply = exchange.map_err(|_| timed_out("waiting for the rest of a reply"))??;
        self.stream = Some(stream);
        Ok(reply)
    }
}

async fn exchange(
    stream: &mut TcpStream, request: &AgentRequest, first_byte_timeout: Duration,
) -> Result<ControlReply, FrameError> {
    let written = timeout(first_byte_timeout, write_frame(stream, request)).await;
    written.map_err(|_| timed_out("sending a request"))??;
    let mut reader = StallTimeoutReader::new(stream, first_byte_timeout, STALL_TIMEOUT);
    let reply = read_frame(&mut reader).await?;
    reply.ok_or_else(|| FrameError::Io(io::ErrorKind::UnexpectedEof.into()))
}

fn timed_out(step: &'static str) -> FrameError {
    FrameError::Io(io::Error::new(io::ErrorKind::TimedOut, format!("timed out {step}")))
}
