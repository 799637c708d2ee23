//! A connection to the agent port of one control process, with a time limit on each step.

use crate::stall_timeout::StallTimeoutReader;
use lugwharf_protocol::{AgentRequest, ControlReply, FrameError, connect_from, read_frame, write_frame};
use socket2::SockRef;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
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
/// What a complete reply may take beyond its `write_and_first_byte_timeout`. A list of thousands of servers takes far less
/// over a narrow link; what takes longer comes from a faulty process that sends its reply byte by byte.
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

    /// Sends a request and reads the reply. There are two kinds of limit:
    ///
    /// - On each step: the request must be written within `write_and_first_byte_timeout`, the first byte of the reply must
    ///   come within the same time after that, and each pause inside the reply is at most 400 ms (`STALL_TIMEOUT`). So a
    ///   long list gets through a narrow link as long as bytes keep coming.
    /// - On the complete reply, as a backstop against a peer that sends byte by byte: `write_and_first_byte_timeout` plus 3 s
    ///   (`COMPLETE_REPLY_TIMEOUT`), from the end of the write.
    ///
    /// # Errors
    ///
    /// [`FrameError::Io`] of the kind `TimedOut` after either limit, `UnexpectedEof` if the peer closed the connection
    /// before the reply, `NotConnected` after a call that failed or was cancelled; other kinds as the socket or the frame
    /// fails.
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

/// Writes the request and reads the reply, with all limits of [`ControlConnection::call`]. `write_and_first_byte_timeout` is used
/// anew for the write, until the first byte of the reply, and within the limit on the complete reply.
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
