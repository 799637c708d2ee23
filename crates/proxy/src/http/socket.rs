//! Reading into buffers that exist only while something comes, and looking at sockets.

use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;

/// Free bytes that a read finds at least.
const READ_ROOM: usize = 2 * 1024;
/// After so long without a sign of life from the peer's machine, a connection with unread bytes on the way is given up. Else a
/// machine without power would hold it for minutes.
const SILENT_PEER: Duration = Duration::from_secs(2);
/// An idle connection's peer is asked for a sign of life after this.
const KEEP_ALIVE_AFTER: Duration = Duration::from_secs(2);

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
    /// Bytes.
    Bytes,
    /// The end of the stream.
    End,
}

/// Reads once into `buffer`.
pub async fn fill(stream: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) -> io::Result<Fill> {
    if buffer.capacity() - buffer.len() < READ_ROOM / 4 {
        buffer.reserve(READ_ROOM);
    }
    let read = stream.read_buf(buffer).await?;
    Ok(if read == 0 { Fill::End } else { Fill::Bytes })
}

/// Is there nothing to read, not even the connection's end?
pub fn is_quiet(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    SockRef::from(socket).peek(&mut byte).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Is the connection's end, or a reset, the next thing to read?
pub fn is_ended(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    match SockRef::from(socket).peek(&mut byte) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Reads what has come, whether or not the runtime has heard of it.
pub fn read_now(socket: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    (&*SockRef::from(socket)).read(bytes)
}

/// Sets what every connection of the data plane needs. A platform that lacks an option merely notices silent peers later.
pub fn prepare(socket: &TcpStream) {
    drop(socket.set_nodelay(true));
    let socket = SockRef::from(socket);
    drop(socket.set_tcp_user_timeout(Some(SILENT_PEER)));
    let keep_alive = TcpKeepalive::new().with_time(KEEP_ALIVE_AFTER).with_interval(Duration::from_secs(1));
    drop(socket.set_tcp_keepalive(&keep_alive));
}
