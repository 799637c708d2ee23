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

/// The limit on the buffer in which a message is read, in bytes. The head of a message must fit; its body is
/// read in parts.
pub const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// The limit on the number of headers of a message.
pub const MAX_HEADERS: usize = 64;

/// An HTTP connection whose socket is closed when the value is dropped.
pub struct TcpConnection<B> {
    pub sender: SendRequest<B>,
    /// The socket. The reference cannot be upgraded once the HTTP library has closed the socket.
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
    /// Connects to `address` and starts the task of the HTTP connection.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = Arc::new(TcpStream::connect(address).await?);
        stream.set_nodelay(true)?;
        let (socket, gate) = (Arc::downgrade(&stream), Arc::<LastByteGate>::default());
        let io = GatedStream::new(stream, gate.clone());
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_BUFFER_BYTES).max_headers(MAX_HEADERS);
        let (sender, connection) = http.handshake(TokioIo::new(io)).await.map_err(io::Error::other)?;
        // An error of the connection is reported to the current request through the sender.
        let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(TcpConnection { sender, socket, gate, task })
    }

    /// Returns whether the connection is between requests and has nothing to read, not even an end of stream.
    /// Bytes that arrive after a complete answer would be taken for the answer to the next request.
    pub fn is_reusable(&self) -> bool {
        // If the HTTP library has already read bytes that it cannot use, it closes the connection, and the
        // sender is not ready.
        self.sender.is_ready() && self.socket.upgrade().is_some_and(|socket| has_nothing_to_read(&socket))
    }

    /// Records the start of a request. With `hold_until`, the last byte of the request is held back at least
    /// until then.
    pub fn begin_request(&self, hold_until: Option<Instant>) {
        self.gate.begin_request(hold_until);
    }

    /// Returns how far the current request has been written.
    pub fn write_progress(&self) -> WriteProgress {
        WriteProgress::new(self.gate.clone())
    }
}

impl<B> Drop for TcpConnection<B> {
    fn drop(&mut self) {
        self.task.abort();
    }
}
