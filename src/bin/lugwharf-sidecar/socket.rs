//! Reading, writing and inspecting a TCP socket that several owners share.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::task::{Context, Poll, ready};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Returns whether there is nothing to read, not even an end of stream. The function asks the kernel, since
/// the runtime's readiness may be out of date.
pub fn has_nothing_to_read(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    SockRef::from(socket).peek(&mut byte).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// [`tokio::io::AsyncRead::poll_read`] without exclusive access.
pub fn poll_read(socket: &TcpStream, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    loop {
        ready!(socket.poll_read_ready(cx))?;
        match socket.try_read(buf.initialize_unfilled()) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            read => return Poll::Ready(read.map(|length| buf.advance(length))),
        }
    }
}

/// [`tokio::io::AsyncWrite::poll_write`] without exclusive access.
pub fn poll_write(socket: &TcpStream, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(socket.poll_write_ready(cx))?;
        match socket.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}
