//! A timeout on each pause of a reader, instead of on the complete read.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

#[cfg(test)]
#[path = "stall_timeout_tests.rs"]
mod stall_timeout_tests;

/// A reader that fails with `TimedOut` if no bytes arrive for too long. The text of the error says whether
/// the first byte or a later one was missing.
pub struct StallTimeoutReader<'a, R> {
    reader: &'a mut R,
    /// The longest time between two reads that return bytes.
    stall_timeout: Duration,
    /// Whether any byte has arrived.
    has_first_byte: bool,
    deadline: Pin<Box<Sleep>>,
}

impl<'a, R> StallTimeoutReader<'a, R> {
    /// Wraps `reader`. The first bytes must arrive within `first_byte_timeout`, and all later ones within
    /// `stall_timeout` of the previous ones.
    pub fn new(reader: &'a mut R, first_byte_timeout: Duration, stall_timeout: Duration) -> Self {
        let deadline = Box::pin(sleep(first_byte_timeout));
        StallTimeoutReader { reader, stall_timeout, has_first_byte: false, deadline }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for StallTimeoutReader<'_, R> {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buffer.filled().len();
        // Poll the reader before the deadline: bytes that have arrived are returned even if the deadline has
        // passed, for example after a pause of the process.
        let read = Pin::new(&mut *this.reader).poll_read(context, buffer);
        if read.is_ready() {
            if buffer.filled().len() > filled_before {
                this.has_first_byte = true;
                let deadline = Instant::now() + this.stall_timeout;
                this.deadline.as_mut().reset(deadline);
            }
            return read;
        }
        let awaited = if this.has_first_byte { "next" } else { "first" };
        let stalled = |()| {
            let text = format!("timed out waiting for the {awaited} byte");
            Err(io::Error::new(io::ErrorKind::TimedOut, text))
        };
        this.deadline.as_mut().poll(context).map(stalled)
    }
}
