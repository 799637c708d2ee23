//! One connection of the application: its socket and what it is at.

use crate::connection::{is_quiet, poll_read, poll_write};
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

/// What is read ahead behind a request that waits, to learn whether its client has left. Clients send one request at a
/// time, so that the usual ones have nothing there.
const MAX_READ_AHEAD: usize = 16 * 1024;
/// With more than that behind it, how often the socket is asked whether its other end has closed: a client that has
/// left is to be noticed within 300 ms.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What a connection of the application is at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientPhase {
    /// Has carried no request yet.
    New,
    /// A request's head has come, and its body is coming.
    ReadingBody,
    /// The request is whole and waits for its answer.
    AwaitingAnswer,
    /// The answer is known and not all written yet.
    WritingAnswer,
    /// Between requests, after its first and after later ones: many ask once and stay.
    IdleAfterFirst,
    Idle,
}

impl ClientPhase {
    /// Is nothing owed on it? Then it may be closed.
    pub fn is_idle(self) -> bool {
        matches!(self, ClientPhase::New | ClientPhase::IdleAfterFirst | ClientPhase::Idle)
    }
}

struct State {
    phase: ClientPhase,
    since: Instant,
    /// A first answer has been written.
    has_answered: bool,
    /// It has been told to close, and is counted until it has.
    is_closing: bool,
}

pub struct ClientConnection {
    socket: TcpStream,
    opened: Instant,
    state: Mutex<State>,
    read_ahead: Mutex<BytesMut>,
    close: Notify,
    answer_written: Notify,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ClientConnection {
    pub fn new(socket: TcpStream) -> Arc<ClientConnection> {
        let opened = Instant::now();
        let state = State { phase: ClientPhase::New, since: opened, has_answered: false, is_closing: false };
        let (read_ahead, close, answer_written) = Default::default();
        Arc::new(ClientConnection {
            socket,
            opened,
            state: Mutex::new(state),
            read_ahead,
            close,
            answer_written,
        })
    }

    pub fn phase(&self) -> (ClientPhase, Duration) {
        let state = lock(&self.state);
        (state.phase, state.since.elapsed())
    }

    fn enter(&self, to: ClientPhase) {
        let mut state = lock(&self.state);
        (state.phase, state.since) = (to, Instant::now());
    }

    /// A request's head has come. Tells since when the whole request is being waited for: its client is judged from the
    /// moment it connected, a regular one from its new request on.
    pub fn start_reading_body(&self) -> Instant {
        self.enter(ClientPhase::ReadingBody);
        if lock(&self.state).has_answered { Instant::now() } else { self.opened }
    }

    /// The request is whole.
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
            let again = std::mem::replace(&mut state.has_answered, true);
            (state.phase, state.since) =
                (if again { ClientPhase::Idle } else { ClientPhase::IdleAfterFirst }, Instant::now());
            self.answer_written.notify_one();
        }
    }

    /// Until the next answer is all written.
    pub async fn answer_written(&self) {
        self.answer_written.notified().await;
    }

    /// Asks its task to close it as soon as nothing is owed on it.
    pub fn request_close(&self) {
        lock(&self.state).is_closing = true;
        self.close.notify_one();
    }

    pub async fn close_requested(&self) {
        self.close.notified().await;
    }

    pub fn is_closing(&self) -> bool {
        lock(&self.state).is_closing
    }

    /// May it be closed without losing a request? Nothing is owed, and nothing has come that HTTP has not seen yet.
    pub fn may_close(&self) -> bool {
        self.phase().0.is_idle() && lock(&self.read_ahead).is_empty() && is_quiet(&self.socket)
    }

    /// Ends when the client leaves while its request waits. HTTP doesn't notice once it has read further bytes, so what
    /// comes is read ahead of it here; polled after HTTP, in the same task.
    pub async fn disconnected(&self) {
        loop {
            if poll_fn(|cx| self.poll_disconnected(cx)).await {
                return;
            }
            // Guards against reading without end: the system knows of the other end's close, also behind unread bytes.
            sleep(CLOSE_CHECK_INTERVAL).await;
            let ready = self.socket.ready(Interest::READABLE).await;
            if self.phase().0 == ClientPhase::AwaitingAnswer
                && ready.map_or(true, |ready| ready.is_read_closed())
            {
                return;
            }
        }
    }

    /// `false` if no more is read ahead.
    fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<bool> {
        let mut read_ahead = lock(&self.read_ahead);
        // It begins to wait, and stops, in a poll of HTTP, after which this is polled.
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

/// The socket of a client as HTTP reads and writes it.
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
