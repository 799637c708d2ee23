//! Operations on sockets: reading into buffers that exist only while a message is received, checks for
//! pending input, and socket options.

use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use std::future::poll_fn;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::pin::pin;
use std::task::ready;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;

/// The free space that is reserved in the buffer for a read, in bytes.
const READ_CAPACITY: usize = 2 * 1024;
/// The TCP user timeout: the connection fails if sent bytes remain unacknowledged for this long. With the
/// system's default, a connection to a machine that has lost power would stay open for minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// The idle time after which TCP keep-alive probes start.
const KEEP_ALIVE_AFTER: Duration = Duration::from_secs(2);

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
    /// Bytes were received.
    Received,
    /// The peer closed its sending side.
    Eof,
}

/// Waits for input and reads once into `buffer`.
pub async fn fill(stream: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) -> io::Result<Fill> {
    if buffer.capacity() - buffer.len() < READ_CAPACITY / 4 {
        buffer.reserve(READ_CAPACITY);
    }
    let read = stream.read_buf(buffer).await?;
    Ok(if read == 0 { Fill::Eof } else { Fill::Received })
}

/// Waits for input and reads once into `buffer`, which holds no memory while there is no input.
///
/// The runtime may report that a socket is readable although there is no input, for example on a new
/// connection. Only bytes, the end of the stream or a failure complete the wait.
pub async fn fill_lazily(stream: &mut ReadHalf<'_>, buffer: &mut BytesMut) -> io::Result<Fill> {
    poll_fn(|context| {
        ready!(stream.as_ref().poll_read_ready(context))?;
        let filled = pin!(fill(stream, buffer)).poll(context);
        if filled.is_pending() {
            *buffer = BytesMut::new();
        }
        filled
    })
    .await
}

/// Returns whether there is nothing to read, neither bytes nor the end of the stream or a reset.
pub fn has_nothing_to_read(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    SockRef::from(socket).peek(&mut byte).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Returns whether the next read would return the end of the stream or a reset.
pub fn is_closed_by_peer(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    match SockRef::from(socket).peek(&mut byte) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Reads available bytes directly from the socket. The runtime may not have polled the socket yet, and would
/// then report nothing to read.
pub fn read_without_runtime(socket: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    (&*SockRef::from(socket)).read(bytes)
}

/// Sets the socket options of a connection to a server. Errors are ignored: without one of the options,
/// responses are slower or unresponsive peers are detected later.
pub fn set_server_socket_options(socket: &TcpStream) {
    drop(socket.set_nodelay(true));
    let socket = SockRef::from(socket);
    drop(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    let keep_alive = TcpKeepalive::new().with_time(KEEP_ALIVE_AFTER).with_interval(Duration::from_secs(1));
    drop(socket.set_tcp_keepalive(&keep_alive));
}
