//! One client connection of the application: its socket and its phase.

use crate::socket::{has_nothing_to_read, poll_read, poll_write};
use bytes::{Buf, BytesMut};
use socket2::SockRef;
use std::future::poll_fn;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// The limit on the bytes that are read ahead while a request awaits its answer, to notice that its client
/// has disconnected. Clients send one request at a time, so usually there are none.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Once the read-ahead is full, the interval at which the kernel is asked whether the client has closed the
/// connection. A disconnected client must be noticed within 300 ms.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The phase of a client connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientPhase {
    /// The connection has carried no request yet.
    New,
    /// The head of a request has been read, and its body is being read.
    ReadingBody,
    /// The request has been read and awaits its answer.
    AwaitingAnswer,
    /// The answer is known but not completely written.
    WritingAnswer,
    /// Idle after the first request. Many clients send one request and leave the connection open.
    IdleAfterFirst,
    /// Idle after a later request.
    Idle,
}

impl ClientPhase {
    /// Returns whether the connection has no request in progress, so that it may be closed.
    pub fn is_idle(self) -> bool {
        matches!(self, ClientPhase::New | ClientPhase::IdleAfterFirst | ClientPhase::Idle)
    }
}

struct State {
    phase: ClientPhase,
    /// When the phase began.
    phase_started_at: Instant,
    /// Whether an answer has been written.
    has_answered: bool,
    /// Whether the connection has been asked to close. Until it has closed, it counts against the limits.
    is_closing: bool,
}

/// A client connection, shared by its task and the server.
pub struct ClientConnection {
    socket: TcpStream,
    opened_at: Instant,
    state: Mutex<State>,
    /// Bytes that have been read ahead, after the current request.
    read_ahead: Mutex<BytesMut>,
    close_requested: Notify,
    answer_written: Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ClientConnection {
    pub fn new(socket: TcpStream) -> Arc<ClientConnection> {
        let opened_at = Instant::now();
        let state = State {
            phase: ClientPhase::New,
            phase_started_at: opened_at,
            has_answered: false,
            is_closing: false,
        };
        let (read_ahead, close_requested, answer_written) = Default::default();
        Arc::new(ClientConnection {
            socket,
            opened_at,
            state: Mutex::new(state),
            read_ahead,
            close_requested,
            answer_written,
        })
    }

    /// Returns the phase, and how long it has lasted.
    pub fn phase(&self) -> (ClientPhase, Duration) {
        let state = lock(&self.state);
        (state.phase, state.phase_started_at.elapsed())
    }

    fn enter(&self, phase: ClientPhase) {
        let mut state = lock(&self.state);
        (state.phase, state.phase_started_at) = (phase, Instant::now());
    }

    /// Records that the head of a request has been read. Returns the time from which the time-out for the
    /// complete request counts: for the first request when the client connected, for a later one now.
    pub fn start_reading_body(&self) -> Instant {
        self.enter(ClientPhase::ReadingBody);
        if lock(&self.state).has_answered { Instant::now() } else { self.opened_at }
    }

    /// Records that the request has been read completely.
    pub fn start_awaiting_answer(&self) {
        self.enter(ClientPhase::AwaitingAnswer);
    }

    /// Records that the answer has been handed to the HTTP library.
    pub fn start_writing_answer(&self) {
        self.enter(ClientPhase::WritingAnswer);
    }

    /// Records that the HTTP library has written everything in its buffer.
    fn on_flushed(&self) {
        let mut state = lock(&self.state);
        if state.phase == ClientPhase::WritingAnswer {
            let was_used = std::mem::replace(&mut state.has_answered, true);
            let phase = if was_used { ClientPhase::Idle } else { ClientPhase::IdleAfterFirst };
            (state.phase, state.phase_started_at) = (phase, Instant::now());
            self.answer_written.notify_one();
        }
    }

    /// Completes when the next answer has been written.
    pub async fn answer_written(&self) {
        self.answer_written.notified().await;
    }

    /// Asks the connection's task to close the connection as soon as no request is in progress.
    pub fn request_close(&self) {
        lock(&self.state).is_closing = true;
        self.close_requested.notify_one();
    }

    /// Completes when the connection has been asked to close.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    pub fn is_closing(&self) -> bool {
        lock(&self.state).is_closing
    }

    /// Returns whether closing the connection now loses no request: none is in progress, and no bytes have
    /// arrived that the HTTP library has not seen.
    pub fn may_close(&self) -> bool {
        self.phase().0.is_idle() && lock(&self.read_ahead).is_empty() && has_nothing_to_read(&self.socket)
    }

    /// Completes when the client disconnects while its request awaits an answer. The HTTP library does not
    /// notice that once it has read bytes of a later request, so arriving bytes are read ahead here instead.
    /// This future has to be polled after the HTTP connection, in the same task.
    pub async fn disconnected(&self) {
        loop {
            if poll_fn(|cx| self.poll_disconnected(cx)).await {
                return;
            }
            // The read-ahead is full. The kernel knows that the client has closed the connection even if
            // bytes are unread.
            sleep(CLOSE_CHECK_INTERVAL).await;
            let ready = self.socket.ready(Interest::READABLE).await;
            let is_closed = ready.map_or(true, |ready| ready.is_read_closed());
            if self.phase().0 == ClientPhase::AwaitingAnswer && is_closed {
                return;
            }
        }
    }

    /// Ready with `true` once the client has disconnected, and with `false` once the read-ahead is full.
    fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<bool> {
        let mut read_ahead = lock(&self.read_ahead);
        // The phase changes only while the HTTP connection is polled, which comes before this poll.
        while self.phase().0 == ClientPhase::AwaitingAnswer {
            if read_ahead.len() >= MAX_READ_AHEAD_BYTES {
                return Poll::Ready(false);
            }
            let mut bytes = [0; 1024];
            let mut buf = ReadBuf::new(&mut bytes);
            match ready!(poll_read(&self.socket, cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => read_ahead.extend_from_slice(buf.filled()),
                _ => return Poll::Ready(true),
            }
        }
        Poll::Pending
    }
}

/// The socket of a client as the HTTP library reads and writes it. Bytes that were read ahead are returned
/// first.
pub struct ClientStream(pub Arc<ClientConnection>);

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut read_ahead = lock(&self.0.read_ahead);
        if read_ahead.is_empty() {
            return poll_read(&self.0.socket, cx, buf);
        }
        let length = read_ahead.len().min(buf.remaining());
        buf.put_slice(&read_ahead[..length]);
        read_ahead.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.0.socket, cx, bytes)
    }

    /// Called by the HTTP library once its own buffer is empty.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.socket).shutdown(Shutdown::Write))
    }
}
