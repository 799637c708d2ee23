//! One connection to a control process, with a time limit on each step.

use crate::patience::Patience;
use lugwharf_protocol::{AgentRequest, ControlReply, FrameError, connect_from, read_frame, write_frame};
use socket2::SockRef;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A connection on a calm network takes a few ms; a dropped opening packet costs a second, and another control process is
/// sooner asked than that.
const CONNECT_WITHIN: Duration = Duration::from_millis(350);
/// How long sent bytes may stay unacknowledged before the system gives the connection up, so that a peer that fell silent
/// does not hold its buffers for minutes.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// The longest pause inside a reply: as long as a busy control process may take for the next part.
const PAUSE: Duration = Duration::from_millis(400);
/// The longest that a whole reply may take. A list of thousands of servers comes in far less over a narrow link; what takes
/// longer comes from a process that is in trouble.
const WHOLE_REPLY_WITHIN: Duration = Duration::from_secs(3);

/// An open link. A call that fails or is given up ends it, since its reply may still come and would pass for the next call's.
pub struct Link {
    stream: Option<TcpStream>,
}

impl Link {
    /// Connects to the agent port of a control process, from the address `source` where one is given.
    pub async fn open(address: SocketAddr, source: Option<IpAddr>) -> Result<Link, FrameError> {
        let connected = timeout(CONNECT_WITHIN, connect_from(source, address)).await;
        let stream = connected.map_err(|_| timed_out("connecting"))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
        Ok(Link { stream: Some(stream) })
    }

    /// Sends a request and reads the reply. The reply has to begin within `limit`; then it may take its time, as long as it
    /// goes on coming: a limit on the whole would never let a long list through a link that is too narrow for it.
    pub async fn call(
        &mut self, request: &AgentRequest, limit: Duration,
    ) -> Result<ControlReply, FrameError> {
        let mut stream =
            self.stream.take().ok_or_else(|| FrameError::Io(io::ErrorKind::NotConnected.into()))?;
        let exchange = timeout(limit + WHOLE_REPLY_WITHIN, exchange(&mut stream, request, limit)).await;
        let reply = exchange.map_err(|_| timed_out("waiting for the rest of a reply"))??;
        self.stream = Some(stream);
        Ok(reply)
    }
}

async fn exchange(
    stream: &mut TcpStream, request: &AgentRequest, limit: Duration,
) -> Result<ControlReply, FrameError> {
    let written = timeout(limit, write_frame(stream, request)).await;
    written.map_err(|_| timed_out("sending a request"))??;
    let reply = read_frame(&mut Patience::new(stream, limit, PAUSE)).await?;
    reply.ok_or_else(|| FrameError::Io(io::ErrorKind::UnexpectedEof.into()))
}

fn timed_out(step: &'static str) -> FrameError {
    FrameError::Io(io::Error::new(io::ErrorKind::TimedOut, format!("timed out {step}")))
}
