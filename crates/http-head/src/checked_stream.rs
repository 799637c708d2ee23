//! A stream to a server that checks the heads of the responses it reads.

use crate::head_check::HeadCheck;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A stream that carries one request after the other, and fails to read with `InvalidData` at a head whose end
/// is ambiguous. A write after the final head of a response begins the next request.
#[derive(Debug)]
pub struct CheckedStream<S> {
    stream: S,
    check: HeadCheck,
}

impl<S> CheckedStream<S> {
    /// Wraps a stream on which nothing has been read.
    pub fn new(stream: S) -> CheckedStream<S> {
        CheckedStream { stream, check: HeadCheck::default() }
    }

    /// Expects the head of another response if that of the last one is complete.
    fn begin_write(&mut self) {
        if self.check.is_complete() {
            self.check = HeadCheck::default();
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CheckedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let already_filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().get(already_filled..).unwrap_or_default();
        let checked = self.check.push(received);
        Poll::Ready(checked.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CheckedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
