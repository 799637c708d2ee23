//! One HTTP connection to an upstream or to discovery.

use crate::gated_stream::{GatedStream, LastByteGate};
use crate::socket::has_nothing_to_read;
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

pub use crate::gated_stream::WriteProgress;

/// The memory that a message may take while it is read, in bytes: its head must fit, its body comes in pieces.
pub const MAX_BUFFER: usize = 16 * 1024;
/// The most headers of a message.
pub const MAX_HEADERS: usize = 64;

/// A connection whose socket closes when it is dropped.
pub struct TcpConnection<B> {
    pub sender: SendRequest<B>,
    /// Empty once HTTP has closed it.
    pub socket: Weak<TcpStream>,
    gate: Arc<LastByteGate>,
    task: AbortHandle,
}

impl<B> TcpConnection<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = Arc::new(TcpStream::connect(address).await?);
        stream.set_nodelay(true)?;
        let (socket, gate) = (Arc::downgrade(&stream), Arc::<LastByteGate>::default());
        let io = GatedStream::new(stream, gate.clone());
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_BUFFER).max_headers(MAX_HEADERS);
        let (sender, connection) = http.handshake(TokioIo::new(io)).await.map_err(io::Error::other)?;
        // What breaks the connection is reported to the request on it, through the sender.
        let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(TcpConnection { sender, socket, gate, task })
    }

    /// Returns whether it is between requests and has nothing more to read, not even its end. What comes behind a complete
    /// answer would be taken for the answer to the next request.
    pub fn is_clean(&self) -> bool {
        // What HTTP has read already and cannot use makes it close, and then the sender is not ready.
        self.sender.is_ready() && self.socket.upgrade().is_some_and(|socket| has_nothing_to_read(&socket))
    }

    /// A request begins. Its last byte is held back until this time at least, if any is given.
    pub fn begin_request(&self, hold_until: Option<Instant>) {
        self.gate.begin_request(hold_until);
    }

    /// How far the current request has been written.
    pub fn write_progress(&self) -> WriteProgress {
        WriteProgress::new(self.gate.clone())
    }
}

impl<B> Drop for TcpConnection<B> {
    fn drop(&mut self) {
        self.task.abort();
    }
}
