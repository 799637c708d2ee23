//! Reads into buffers that exist only while bytes are received, checks of sockets, and their options.

use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;

/// The free space that a read gets, in bytes.
const READ_CAPACITY: usize = 2 * 1024;
/// A connection with unacknowledged bytes breaks after this time. By default a machine without power would hold it for minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// TCP keep-alive probes start after this idle time.
const KEEP_ALIVE_AFTER: Duration = Duration::from_secs(2);

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
    /// Bytes were received.
    Bytes,
    /// The end of the stream.
    End,
}

/// Reads once into `buffer`.
pub async fn fill(stream: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) -> io::Result<Fill> {
    if buffer.capacity() - buffer.len() < READ_CAPACITY / 4 {
        buffer.reserve(READ_CAPACITY);
    }
    let read = stream.read_buf(buffer).await?;
    Ok(if read == 0 { Fill::End } else { Fill::Bytes })
}

/// Whether there is nothing to read, not even the end of the connection.
pub fn is_quiet(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    SockRef::from(socket).peek(&mut byte).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Whether the end of the connection, or a reset, is next to read.
pub fn is_ended(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    match SockRef::from(socket).peek(&mut byte) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Reads what was received, without asking the runtime, which may not have polled the socket yet.
pub fn read_now(socket: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    (&*SockRef::from(socket)).read(bytes)
}

/// Sets the options of a connection to a server. Errors are ignored: without an option responses are slower, or unresponsive peers
/// are detected later.
pub fn prepare(socket: &TcpStream) {
    drop(socket.set_nodelay(true));
    let socket = SockRef::from(socket);
    drop(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    let keep_alive = TcpKeepalive::new().with_time(KEEP_ALIVE_AFTER).with_interval(Duration::from_secs(1));
    drop(socket.set_tcp_keepalive(&keep_alive));
}
