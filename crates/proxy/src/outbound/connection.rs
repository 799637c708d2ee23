//! One connection to a server. It holds a read buffer only while a response is read.
//!
//! A connection may carry another request only if late responses to earlier ones can be told from the response to that one; see
//! [`Connection::must_close`] and [`ConnectionId`].

use crate::http::{self, BodyDecoder, BodyError, Decoded, Fill, FramingError, HeadError, ResponseHead};
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The least free space in the buffer for a read, in bytes.
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
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// The connection was closed inside a response.
    #[error("the connection was closed inside a response")]
    UnexpectedEof,
    /// What was received is no head of a response.
    #[error("invalid head of a response")]
    Head(#[from] HeadError),
    /// The end of the body can't be determined.
    #[error("invalid framing of a response")]
    Framing(#[from] FramingError),
    /// The body does not follow its framing.
    #[error("invalid body of a response")]
    Body(#[from] BodyError),
    /// The head is larger than 32 KiB, or stray responses are larger than allowed.
    #[error("a response is too large")]
    TooLarge,
    /// The response is a 101 or belongs to another request.
    #[error("an unexpected response")]
    Unexpected,
}

/// Identifies a connection within this process. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// The reservation of one open connection; it ends with its drop.
#[derive(Debug)]
pub struct ConnectionPermit {
    id: ConnectionId,
    count: Rc<Cell<u32>>,
}

impl ConnectionPermit {
    /// Counts one more open connection in `count`.
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
    /// Whether it has carried a request before.
    pub is_reused: bool,
    /// When it became idle.
    pub idle_since: Instant,
    /// Since when the server may have closed it: when the head of the last response was received. The rest of the response may
    /// have waited for a slow client while the server was done.
    pub maybe_closed_since: Instant,
    /// When the server closes it, as announced by `Keep-Alive`.
    pub server_closes_at: Option<Instant>,
    /// Whether it carries no further request: the last one was not sent completely, or a response that is still to come could be
    /// taken for another request's.
    pub must_close: bool,
    permit: ConnectionPermit,
}

impl Connection {
    /// Establishes a connection.
    pub async fn open(address: SocketAddr, permit: ConnectionPermit) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        http::prepare(&stream);
        let (buffer, idle_since) = (BytesMut::new(), Instant::now());
        Ok(Connection {
            stream,
            buffer,
            is_reused: false,
            idle_since,
            maybe_closed_since: idle_since,
            server_closes_at: None,
            must_close: false,
            permit,
        })
    }

    /// Identifies the connection.
    pub fn id(&self) -> ConnectionId {
        self.permit.id
    }

    /// Whether nothing was received beyond the last response, not even the end of the connection.
    pub fn is_clean(&self) -> bool {
        self.buffer.is_empty() && http::is_quiet(&self.stream)
    }

    /// Whether it may carry another request: nothing was received beyond the last response.
    fn can_be_reused(&self) -> bool {
        !self.must_close && self.buffer.is_empty()
    }

    /// Whether bytes were received that no response has consumed.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Makes the connection idle and frees its buffer; `None` if it may not carry another request.
    pub fn into_idle(mut self) -> Option<Connection> {
        if !self.can_be_reused() {
            return None;
        }
        self.buffer = BytesMut::new();
        self.is_reused = true;
        self.idle_since = Instant::now();
        Some(self)
    }

    /// Writes all of `bytes`, whatever is received meanwhile. After an error the last byte was not sent.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the head of the next final response; interim ones (1xx) are skipped.
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

    /// Reads the next bytes of a body; `None` at its end.
    pub async fn read_body(&mut self, decoder: &mut BodyDecoder) -> Result<Option<Bytes>, ReadError> {
        loop {
            match self.decode(decoder)? {
                Decoded::Data(data) => return Ok(Some(data)),
                Decoded::End => return Ok(None),
                Decoded::More => self.fill_body(decoder).await?,
            }
        }
    }

    /// Waits for more bytes of a body, or for the orderly end of the connection if that ends the body.
    pub async fn fill_body(&mut self, decoder: &mut BodyDecoder) -> Result<(), ReadError> {
        match self.fill().await {
            Err(ReadError::UnexpectedEof) if decoder.end_of_stream() => Ok(()),
            filled => filled,
        }
    }

    /// Decodes the bytes of a body that were received already.
    pub fn decode(&mut self, decoder: &mut BodyDecoder) -> Result<Decoded, ReadError> {
        Ok(decoder.decode(&mut self.buffer)?)
    }

    /// Reads all that was received, without waiting. The runtime may not have polled the socket since, so that the socket is read
    /// directly as well.
    pub fn read_available(&mut self) -> StreamState {
        let mut asks_socket = false;
        while self.buffer.len() <= MAX_HEAD_BYTES {
            let read = if asks_socket { self.read_socket() } else { self.read_ready() };
            match read {
                Ok(0) => return StreamState::Closed,
                Ok(_) => {}
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => return StreamState::Closed,
                Err(_) if asks_socket => return StreamState::Open,
                Err(_) => asks_socket = true,
            }
        }
        StreamState::Open
    }

    fn read_ready(&mut self) -> io::Result<usize> {
        self.buffer.reserve(MIN_READ_CAPACITY);
        self.stream.try_read_buf(&mut self.buffer)
    }

    fn read_socket(&mut self) -> io::Result<usize> {
        let mut bytes = [0; MIN_READ_CAPACITY];
        let length = http::read_now(&self.stream, &mut bytes)?;
        self.buffer.extend_from_slice(bytes.get(..length).unwrap_or_default());
        Ok(length)
    }

    /// The head of the response that was received, without consuming it; `None` while it is incomplete.
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

    /// Waits until bytes can be written, or if `or_readable` until some were received.
    pub async fn ready(&self, or_readable: bool) -> io::Result<tokio::io::Ready> {
        let interest = if or_readable { Interest::READABLE | Interest::WRITABLE } else { Interest::WRITABLE };
        self.stream.ready(interest).await
    }

    /// Waits until something was received, even if only the end of the connection.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Writes what can be written without waiting; returns the number of bytes.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.stream.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            written => written,
        }
    }

    /// Waits for more bytes.
    async fn fill(&mut self) -> Result<(), ReadError> {
        match http::fill(&mut self.stream, &mut self.buffer).await? {
            Fill::Bytes => Ok(()),
            Fill::End => Err(ReadError::UnexpectedEof),
        }
    }
}
