//! A socket that can hold back the last byte of a request, and that checks the heads of answers.
//!
//! An upstream starts to execute a request when its last byte arrives. If a connection breaks before that
//! byte is written, the request has not run and may be sent again. When an upstream has just closed an idle
//! connection, the sidecar notices that only a round trip after it writes, so the last byte is delayed for a
//! moment.

use crate::head_check::HeadCheck;
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

/// The resolution of the runtime's timers, which count whole milliseconds: a sleep ends with the first tick
/// after its time.
const TICK: Duration = Duration::from_millis(1);
/// How long the last byte of a request is held back in production. The time is more than a tick, since a
/// sleep until the next tick may last no time at all. The reset from a closed connection arrives after a
/// round trip, which is shorter than this within a region.
const PRODUCTION_DELAY: Duration = TICK.saturating_add(Duration::from_micros(1));
const _: () = assert!(PRODUCTION_DELAY.as_micros() > TICK.as_micros(), "the delay may last no time at all");
/// How long the last byte is held back. The delay in tests is long enough that a reset arrives within it on
/// any machine.
const LAST_BYTE_DELAY: Duration = if cfg!(test) { Duration::from_secs(1) } else { PRODUCTION_DELAY };

/// The state of the current request: whether it is completely written, whether its last byte is to be held
/// back, and whether its answer has begun.
#[derive(Default)]
pub struct LastByteGate {
    /// The last byte is held back at least until this time; `None` if the byte is not held back.
    held_until: Mutex<Option<Instant>>,
    /// Whether the last byte has certainly not been written.
    is_incomplete: AtomicBool,
    /// Whether a request has begun and nothing has been read since.
    is_answer_expected: AtomicBool,
}

impl LastByteGate {
    fn held_until(&self) -> MutexGuard<'_, Option<Instant>> {
        self.held_until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a request. With `hold_until`, the last byte of the request is held back at least
    /// until then.
    pub fn begin_request(&self, hold_until: Option<Instant>) {
        *self.held_until() = hold_until;
        self.is_incomplete.store(true, Ordering::Relaxed);
        self.is_answer_expected.store(true, Ordering::Relaxed);
    }
}

/// How far the current request of a connection has been written.
pub struct WriteProgress(Arc<LastByteGate>);

impl WriteProgress {
    pub fn new(gate: Arc<LastByteGate>) -> Self {
        WriteProgress(gate)
    }

    /// Returns whether the last byte has certainly not been written.
    pub fn is_incomplete(&self) -> bool {
        self.0.is_incomplete.load(Ordering::Relaxed)
    }
}

/// The socket as the HTTP library reads and writes it. The pool inspects the same socket.
pub struct GatedStream {
    socket: Arc<TcpStream>,
    gate: Arc<LastByteGate>,
    /// The check of the answer to the current request.
    head_check: HeadCheck,
    /// The wait until the last byte may be written, once it has begun.
    wait: Option<Pin<Box<Sleep>>>,
}

impl GatedStream {
    pub fn new(socket: Arc<TcpStream>, gate: Arc<LastByteGate>) -> Self {
        GatedStream { socket, gate, head_check: HeadCheck::default(), wait: None }
    }

    /// Waits until the last byte may be written, and checks that nothing has arrived meanwhile.
    fn poll_last_byte(&mut self, until: Instant, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let until = until.max(Instant::now() + LAST_BYTE_DELAY);
        let wait = self.wait.get_or_insert_with(|| Box::pin(sleep_until(until)));
        ready!(wait.as_mut().poll(cx));
        self.wait = None;
        *self.gate.held_until() = None;
        // Bytes that arrive after the previous answer would be taken for the answer to this request.
        if has_nothing_to_read(&self.socket) {
            Poll::Ready(Ok(()))
        } else {
            Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let already_filled = buf.filled().len();
        ready!(poll_read(&this.socket, cx, buf))?;
        if this.gate.is_answer_expected.swap(false, Ordering::Relaxed) {
            this.head_check = HeadCheck::default();
        }
        let received = buf.filled().get(already_filled..).unwrap_or_default();
        let checked = this.head_check.push(received);
        Poll::Ready(checked.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error)))
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
