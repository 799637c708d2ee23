//! A socket that can hold back the last byte of a request.
//!
//! An upstream starts a request with its last byte. A connection that breaks before that byte is written proves that
//! nothing ran, and the request may be sent again. An idle connection that its upstream has just closed shows that only
//! after a round trip, so the last byte waits for a moment.

use crate::socket::{has_nothing_to_read, poll_read, poll_write};
use socket2::SockRef;
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// The runtime's clock counts complete milliseconds: a wait ends with the first tick after its time.
const TICK: Duration = Duration::from_millis(1);
/// How long the last byte of a request is held back: more than a tick, since a wait for the next tick may last no time at
/// all. A reset by a closed connection takes a round trip, which is less than this within a region.
const HOLD_BACK: Duration = TICK.saturating_add(Duration::from_micros(1));
const _: () = assert!(HOLD_BACK.as_micros() > TICK.as_micros(), "it may last no time at all");
/// Tests hold it back for so long that a reset comes first on any machine.
const LAST_BYTE_DELAY: Duration = if cfg!(test) { Duration::from_secs(1) } else { HOLD_BACK };

/// Whether the current request is completely written, and whether its last byte is to be held back.
#[derive(Default)]
pub struct LastByteGate {
    /// The last byte is held back until this time at least; `None` if it is not.
    held_until: Mutex<Option<Instant>>,
    is_incomplete: AtomicBool,
}

impl LastByteGate {
    fn held_until(&self) -> MutexGuard<'_, Option<Instant>> {
        self.held_until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A request begins. Its last byte is held back until this time at least, if any is given.
    pub fn begin_request(&self, hold_until: Option<Instant>) {
        *self.held_until() = hold_until;
        self.is_incomplete.store(true, Ordering::Relaxed);
    }
}

/// How far the current request of a connection has been written.
pub struct WriteProgress(Arc<LastByteGate>);

impl WriteProgress {
    pub fn new(gate: Arc<LastByteGate>) -> Self {
        WriteProgress(gate)
    }

    /// Returns whether it is sure that the last byte has not been written.
    pub fn is_incomplete(&self) -> bool {
        self.0.is_incomplete.load(Ordering::Relaxed)
    }
}

/// The socket as HTTP reads and writes it. The pool inspects the same socket.
pub struct GatedStream {
    socket: Arc<TcpStream>,
    gate: Arc<LastByteGate>,
    wait: Option<Pin<Box<Sleep>>>,
}

impl GatedStream {
    pub fn new(socket: Arc<TcpStream>, gate: Arc<LastByteGate>) -> Self {
        GatedStream { socket, gate, wait: None }
    }

    /// Waits until the last byte may be written, and checks that nothing came in the meantime.
    fn poll_last_byte(&mut self, until: Instant, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let until = until.max(Instant::now() + LAST_BYTE_DELAY);
        let wait = self.wait.get_or_insert_with(|| Box::pin(sleep_until(until)));
        ready!(wait.as_mut().poll(cx));
        self.wait = None;
        *self.gate.held_until() = None;
        // What comes behind the previous answer would be taken for the answer to this request.
        if has_nothing_to_read(&self.socket) {
            Poll::Ready(Ok(()))
        } else {
            Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        poll_read(&self.socket, cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut to_write = bytes;
        let held_until = *this.gate.held_until();
        if let Some(until) = held_until {
            match bytes {
                [start @ .., _] if !start.is_empty() => to_write = start,
                _ => ready!(this.poll_last_byte(until, cx))?,
            }
        }
        let written = ready!(poll_write(&this.socket, cx, to_write));
        let is_complete = written.as_ref().is_ok_and(|length| *length == bytes.len());
        this.gate.is_incomplete.store(!is_complete, Ordering::Relaxed);
        Poll::Ready(written)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}
