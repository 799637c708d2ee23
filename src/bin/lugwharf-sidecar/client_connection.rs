//! One connection of the application: its socket and the phase that it is in.

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

/// Bytes that are read ahead behind a request that awaits its answer, to notice that its client has left. Clients send one
/// request at a time, so usually there are none.
const MAX_READ_AHEAD: usize = 16 * 1024;
/// With more bytes than that behind it, how often the system is asked whether the other end has closed: a client that has
/// left is to be noticed within 300 ms.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What a connection of the application is at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientPhase {
    /// It has carried no request yet.
    New,
    /// A request's head has been read, and its body is being read.
    ReadingBody,
    /// The request has been read and awaits its answer.
    AwaitingAnswer,
    /// The answer is known and not completely written.
    WritingAnswer,
    /// Idle after its first request. Many clients ask once and stay.
    IdleAfterFirst,
    /// Idle after a later request.
    Idle,
}

impl ClientPhase {
    /// Returns whether no request is open on it, so that it may be closed.
    pub fn is_idle(self) -> bool {
        matches!(self, ClientPhase::New | ClientPhase::IdleAfterFirst | ClientPhase::Idle)
    }
}

struct State {
    phase: ClientPhase,
    /// When the phase began.
    since: Instant,
    /// Whether an answer has been written.
    has_answered: bool,
    /// Whether it has been asked to close. It counts until it has.
    is_closing: bool,
}

pub struct ClientConnection {
    socket: TcpStream,
    opened_at: Instant,
    state: Mutex<State>,
    /// What has been read behind the current request.
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
        let state =
            State { phase: ClientPhase::New, since: opened_at, has_answered: false, is_closing: false };
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

    /// The phase, and how long it has lasted.
    pub fn phase(&self) -> (ClientPhase, Duration) {
        let state = lock(&self.state);
        (state.phase, state.since.elapsed())
    }

    fn enter(&self, phase: ClientPhase) {
        let mut state = lock(&self.state);
        (state.phase, state.since) = (phase, Instant::now());
    }

    /// A request's head has been read. Returns since when the complete request is awaited: for a new client since it
    /// connected, for a regular one since now.
    pub fn start_reading_body(&self) -> Instant {
        self.enter(ClientPhase::ReadingBody);
        if lock(&self.state).has_answered { Instant::now() } else { self.opened_at }
    }

    /// The request has been read completely.
    pub fn start_awaiting_answer(&self) {
        self.enter(ClientPhase::AwaitingAnswer);
    }

    /// HTTP has been given the answer.
    pub fn start_writing_answer(&self) {
        self.enter(ClientPhase::WritingAnswer);
    }

    /// HTTP has written all that it had.
    fn on_flushed(&self) {
        let mut state = lock(&self.state);
        if state.phase == ClientPhase::WritingAnswer {
            let was_used = std::mem::replace(&mut state.has_answered, true);
            let phase = if was_used { ClientPhase::Idle } else { ClientPhase::IdleAfterFirst };
            (state.phase, state.since) = (phase, Instant::now());
            self.answer_written.notify_one();
        }
    }

    /// Ends when the next answer has been written.
    pub async fn answer_written(&self) {
        self.answer_written.notified().await;
    }

    /// Asks its task to close it as soon as no request is open on it.
    pub fn request_close(&self) {
        lock(&self.state).is_closing = true;
        self.close_requested.notify_one();
    }

    /// Ends when it has been asked to close.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    pub fn is_closing(&self) -> bool {
        lock(&self.state).is_closing
    }

    /// Returns whether closing it now loses no request: none is open, and nothing has come that HTTP has not seen.
    pub fn may_close(&self) -> bool {
        self.phase().0.is_idle() && lock(&self.read_ahead).is_empty() && has_nothing_to_read(&self.socket)
    }

    /// Ends when the client leaves while its request awaits an answer. HTTP does not notice once it has read further bytes,
    /// so what comes is read ahead of it here. It has to be polled after HTTP, in the same task.
    pub async fn disconnected(&self) {
        loop {
            if poll_fn(|cx| self.poll_disconnected(cx)).await {
                return;
            }
            // No more is read ahead. The system knows when the other end has closed, also behind unread bytes.
            sleep(CLOSE_CHECK_INTERVAL).await;
            let ready = self.socket.ready(Interest::READABLE).await;
            let is_closed = ready.map_or(true, |ready| ready.is_read_closed());
            if self.phase().0 == ClientPhase::AwaitingAnswer && is_closed {
                return;
            }
        }
    }

    /// Ready with `true` once the client has left, and with `false` once the read-ahead is full.
    fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<bool> {
        let mut read_ahead = lock(&self.read_ahead);
        // The phase begins and ends in a poll of HTTP, after which this is polled.
        while self.phase().0 == ClientPhase::AwaitingAnswer {
            if read_ahead.len() >= MAX_READ_AHEAD {
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

/// The socket of a client as HTTP reads and writes it: what was read ahead comes first.
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

    /// HTTP calls it once its own buffer is empty.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.socket).shutdown(Shutdown::Write))
    }
}
