//! A connection to the agent port of one control process, with a timeout on each step.

use crate::stall_timeout::StallTimeoutReader;
use lugwharf_protocol::{AgentRequest, ControlReply, FrameError, connect_from, read_frame, write_frame};
use socket2::SockRef;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The timeout for connecting, which takes a few ms on a healthy network. The kernel retransmits a lost SYN
/// only after 1 s; trying another control process is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// `TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged before the kernel closes the connection.
/// Without it, the send buffers for an unresponsive peer would stay allocated for minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest pause between two reads of the same reply, which covers a busy control process.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// The time that a complete reply may take in addition to `write_and_first_byte_timeout`. A list of thousands
/// of servers takes far less even over a slow link; only a faulty process that sends its reply byte by byte
/// takes longer.
const COMPLETE_REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// An open connection. A call that fails or is cancelled closes the connection, because its reply may still
/// arrive and would be mistaken for the reply to the next call.
pub struct ControlConnection {
    /// `None` after a call that failed or was cancelled.
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

    /// Sends a request and reads the reply. Two kinds of timeout apply:
    ///
    /// - For each step: the request must be written within `write_and_first_byte_timeout`, the first byte of
    ///   the reply must arrive within the same time after that, and each later pause may last at most 400 ms
    ///   (`STALL_TIMEOUT`). A long list can therefore be read over a slow link as long as bytes keep
    ///   arriving.
    /// - For the complete reply: `write_and_first_byte_timeout` plus 3 s (`COMPLETE_REPLY_TIMEOUT`), counted
    ///   from the end of the write. This protects against a peer that sends its reply byte by byte.
    ///
    /// # Errors
    ///
    /// [`FrameError::Io`] of the kind `TimedOut` after either timeout, `UnexpectedEof` if the peer closed the
    /// connection before the reply, or `NotConnected` if an earlier call failed or was cancelled. Other
    /// errors of the socket and of frame decoding are passed on.
    pub async fn call(
        &mut self, request: &AgentRequest, write_and_first_byte_timeout: Duration,
    ) -> Result<ControlReply, FrameError> {
        let mut stream =
            self.stream.take().ok_or_else(|| FrameError::Io(io::ErrorKind::NotConnected.into()))?;
        let reply = send_and_receive(&mut stream, request, write_and_first_byte_timeout).await?;
        self.stream = Some(stream);
        Ok(reply)
    }
}

/// Writes the request and reads the reply, with all timeouts of [`ControlConnection::call`].
/// `write_and_first_byte_timeout` applies separately to the write, to the first byte of the reply, and as a
/// part of the timeout for the complete reply.
pub(crate) async fn send_and_receive(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin), request: &AgentRequest,
    write_and_first_byte_timeout: Duration,
) -> Result<ControlReply, FrameError> {
    let written = timeout(write_and_first_byte_timeout, write_frame(stream, request)).await;
    written.map_err(|_| timed_out("sending a request"))??;
    let mut reader = StallTimeoutReader::new(stream, write_and_first_byte_timeout, STALL_TIMEOUT);
    let reply = timeout(write_and_first_byte_timeout + COMPLETE_REPLY_TIMEOUT, read_frame(&mut reader)).await;
    let reply = reply.map_err(|_| timed_out("waiting for the rest of a reply"))??;
    reply.ok_or_else(|| FrameError::Io(io::ErrorKind::UnexpectedEof.into()))
}

fn timed_out(step: &'static str) -> FrameError {
    FrameError::Io(io::Error::new(io::ErrorKind::TimedOut, format!("timed out {step}")))
}
