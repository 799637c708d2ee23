//! A connection to a server. It holds a read buffer only while a response is being read.
//!
//! A connection may carry another request only if the response to that request can be distinguished from late
//! responses to earlier ones; see [`Connection::must_close`] and [`ConnectionId`].

use crate::http::{self, BodyDecoder, BodyError, Decoded, Fill, FramingError, HeadError, ResponseHead};
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The maximum size of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The minimum free space in the buffer for a read, in bytes.
const MIN_READ_CAPACITY: usize = 2 * 1024;

/// Whether more bytes may be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// The connection is open.
    Open,
    /// The connection was closed or reset.
    Closed,
}

/// Why a response could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// A read from the connection failed.
    #[error("reading the response failed: {0}")]
    Io(#[from] io::Error),
    /// The server closed the connection before the response was complete.
    #[error("the server closed the connection before the response was complete")]
    UnexpectedEof,
    /// The received bytes are not a head of a response.
    #[error("invalid response head: {0}")]
    Head(#[from] HeadError),
    /// The end of the body can't be determined from the head.
    #[error("invalid response framing: {0}")]
    Framing(#[from] FramingError),
    /// The body violates its framing.
    #[error("invalid response body: {0}")]
    Body(#[from] BodyError),
    /// The head is larger than 32 KiB, or the discarded responses to other requests are larger than allowed.
    #[error("the head of the response, or a response to another request, is too large")]
    TooLarge,
    /// The response has status 101, or belongs to another request.
    #[error("the response has status 101 or belongs to another request")]
    Unexpected,
}

/// Identifies a connection within this process. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// The permit for one open connection to a server. Dropping it releases the reservation.
#[derive(Debug)]
pub struct ConnectionPermit {
    id: ConnectionId,
    count: Rc<Cell<u32>>,
}

impl ConnectionPermit {
    /// Adds one open connection to `count`, and removes it when the permit is dropped.
    pub fn new(id: ConnectionId, count: &Rc<Cell<u32>>) -> ConnectionPermit {
        count.set(count.get() + 1);
        ConnectionPermit { id, count: count.clone() }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
    }
}

/// A connection to a server.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
    /// When the connection became idle.
    pub idle_since: Instant,
    /// When the connection may have become idle at the server: when the head of the last response was
    /// received. The server may have sent the rest long before the proxy forwarded it to a slow client, and
    /// may have closed the connection since then.
    pub server_idle_since: Instant,
    /// When the server closes the idle connection, as announced by `Keep-Alive`.
    pub server_closes_at: Option<Instant>,
    /// Whether the connection must not carry a further request: the last request was not sent completely, or
    /// its response could be taken for the response to another request.
    pub must_close: bool,
    /// Why the connection failed, once a read or a write has met the failure.
    failure: Option<io::ErrorKind>,
    permit: ConnectionPermit,
}

impl Connection {
    /// Establishes a connection to the server at `address`.
    pub async fn open(address: SocketAddr, permit: ConnectionPermit) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        http::set_server_socket_options(&stream);
        let (buffer, idle_since) = (BytesMut::new(), Instant::now());
        Ok(Connection {
            stream,
            buffer,
            is_reused: false,
            idle_since,
            server_idle_since: idle_since,
            server_closes_at: None,
            must_close: false,
            failure: None,
            permit,
        })
    }

    /// Returns the id of the connection.
    pub fn id(&self) -> ConnectionId {
        self.permit.id
    }

    /// Returns whether nothing was received after the last response, neither bytes nor the end of the
    /// connection.
    pub fn is_clean(&self) -> bool {
        self.buffer.is_empty() && http::has_nothing_to_read(&self.stream)
    }

    /// Returns whether the connection may carry another request, and no unread bytes follow the last
    /// response.
    fn can_be_reused(&self) -> bool {
        !self.must_close && self.buffer.is_empty()
    }

    /// Returns whether bytes were received that are not yet part of a parsed response.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Makes the connection idle and frees its buffer. Returns `None`, which closes the connection, if it
    /// must not carry another request.
    pub fn into_idle(mut self) -> Option<Connection> {
        if !self.can_be_reused() {
            return None;
        }
        self.buffer = BytesMut::new();
        self.is_reused = true;
        self.idle_since = Instant::now();
        Some(self)
    }

    /// Writes all of `bytes`, without checking for input. After an error, the last byte has not been sent.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.stream.write_all(bytes).await;
        self.record_failure(&written);
        written
    }

    /// Keeps the kind of the error of the first operation on the socket that failed. The kernel reports the
    /// failure of a connection to one operation only: later reads return the end of the stream, as after an
    /// orderly close.
    ///
    /// A write fails with `EPIPE` after the server closed its sending direction in an orderly way, or if
    /// another operation has met the failure before. It is therefore not a failure of the receiving direction.
    fn record_failure<T>(&mut self, result: &io::Result<T>) {
        if let Err(error) = result
            && !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::BrokenPipe)
        {
            self.failure = self.failure.or(Some(error.kind()));
        }
    }

    /// Reads the head of the next final response. Interim responses (1xx) are skipped.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ReadError> {
        loop {
            if !self.buffer.is_empty()
                && let Some(head) = http::parse_response(&mut self.buffer)?
            {
                match head.status {
                    101 => return Err(ReadError::Unexpected),
                    100..200 => continue,
                    _ => return Ok(head),
                }
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ReadError::TooLarge);
            }
            self.fill().await?;
        }
    }

    /// Reads the next bytes of a body. Returns `None` at its end.
    pub async fn read_body(&mut self, decoder: &mut BodyDecoder) -> Result<Option<Bytes>, ReadError> {
        loop {
            match self.decode(decoder)? {
                Decoded::Data(data) => return Ok(Some(data)),
                Decoded::End => return Ok(None),
                Decoded::Pending => self.fill_body(decoder).await?,
            }
        }
    }

    /// Waits for more bytes of a body, or for the orderly close of the connection if that delimits the body.
    pub async fn fill_body(&mut self, decoder: &mut BodyDecoder) -> Result<(), ReadError> {
        match self.fill().await {
            Err(ReadError::UnexpectedEof) if decoder.end_of_stream() => Ok(()),
            filled => filled,
        }
    }

    /// Decodes bytes of a body that have already been received.
    pub fn decode(&mut self, decoder: &mut BodyDecoder) -> Result<Decoded, ReadError> {
        Ok(decoder.decode(&mut self.buffer)?)
    }

    /// Reads all available input without waiting. When the runtime reports no more input, the socket is also
    /// read directly, since the runtime may not have polled it since the last bytes arrived.
    pub fn read_available(&mut self) -> StreamState {
        let mut bypasses_runtime = false;
        while self.buffer.len() <= MAX_HEAD_BYTES {
            let read = if bypasses_runtime { self.read_directly() } else { self.read_if_ready() };
            self.record_failure(&read);
            match read {
                Ok(0) => return StreamState::Closed,
                Ok(_) => {}
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => return StreamState::Closed,
                Err(_) if bypasses_runtime => return StreamState::Open,
                Err(_) => bypasses_runtime = true,
            }
        }
        StreamState::Open
    }

    fn read_if_ready(&mut self) -> io::Result<usize> {
        self.buffer.reserve(MIN_READ_CAPACITY);
        self.stream.try_read_buf(&mut self.buffer)
    }

    fn read_directly(&mut self) -> io::Result<usize> {
        let mut bytes = [0; MIN_READ_CAPACITY];
        let length = http::read_without_runtime(&self.stream, &mut bytes)?;
        self.buffer.extend_from_slice(bytes.get(..length).unwrap_or_default());
        Ok(length)
    }

    /// Parses the head of the next final response without consuming it. Returns `None` while the head is
    /// incomplete.
    pub fn peek_head(&self) -> Result<Option<ResponseHead>, ReadError> {
        let mut copy = self.buffer.clone();
        while !copy.is_empty() {
            match http::parse_response(&mut copy)? {
                Some(head) if (100..200).contains(&head.status) => {}
                Some(head) => return Ok(Some(head)),
                None if copy.len() > MAX_HEAD_BYTES => return Err(ReadError::TooLarge),
                None => return Ok(None),
            }
        }
        Ok(None)
    }

    /// Waits until bytes can be written or, if `or_readable` is set, until there is input.
    pub async fn ready(&self, or_readable: bool) -> io::Result<tokio::io::Ready> {
        let interest = if or_readable { Interest::READABLE | Interest::WRITABLE } else { Interest::WRITABLE };
        self.stream.ready(interest).await
    }

    /// Waits until there is input, which includes the end of the connection.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Writes as many bytes as possible without waiting, and returns their number.
    pub fn try_write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.stream.try_write(bytes);
        self.record_failure(&written);
        match written {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            written => written,
        }
    }

    /// Waits for more bytes, and adds them to the buffer. After a failure, the bytes that arrived before it
    /// are still read, and the end of the stream is not an orderly close.
    async fn fill(&mut self) -> Result<(), ReadError> {
        let filled = http::fill(&mut self.stream, &mut self.buffer).await;
        self.record_failure(&filled);
        match (filled?, self.failure) {
            (Fill::Received, _) => Ok(()),
            (Fill::Eof, Some(failure)) => Err(ReadError::Io(failure.into())),
            (Fill::Eof, None) => Err(ReadError::UnexpectedEof),
        }
    }
}
