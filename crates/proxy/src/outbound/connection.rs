//! One connection to a server. It holds a buffer only while an answer is read.
//!
//! Whether an answer that comes on it can be told from answers to earlier requests decides whether it may carry another one: see
//! [`Connection::must_close`] and [`ConnectionId`].

use crate::http::{self, BodyDecoder, Decoded, Fill, HeadError, ResponseHead};
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The most bytes of an answer's head.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Free bytes that a read finds at least.
const READ_ROOM: usize = 2 * 1024;

/// Whether more may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// The connection is open.
    Open,
    /// It has ended, orderly or not.
    ResponseEnd,
}

/// Why an answer could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// It ended too early.
    #[error("the connection ended inside an answer")]
    ResponseEnd,
    /// What came is no answer.
    #[error("no answer of HTTP/1.1")]
    InvalidResponse,
}

impl From<HeadError> for ReadError {
    fn from(_: HeadError) -> Self {
        ReadError::InvalidResponse
    }
}

/// Names a connection among all of this process. Never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// Counts a connection as open while it exists.
#[derive(Debug)]
pub struct ConnectionPermit {
    id: ConnectionId,
    count: Rc<Cell<u32>>,
}

impl ConnectionPermit {
    /// Counts one more.
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
    /// Since when it rests.
    pub idle_since: Instant,
    /// Since when its server may have been done with it: the last answer's head had come. The rest of the answer may have waited
    /// for a slow client while the server was done.
    pub maybe_closed_since: Instant,
    /// The server closes it then, as far as it told.
    pub server_closes_at: Option<Instant>,
    /// It carries no further request: the last one did not go out whole, or an answer that is still owed on it could be accepted
    /// for another request's.
    pub must_close: bool,
    open: ConnectionPermit,
}

impl Connection {
    /// Connects.
    pub async fn open(address: SocketAddr, open: ConnectionPermit) -> io::Result<Connection> {
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
            open,
        })
    }

    /// Its name.
    pub fn id(&self) -> ConnectionId {
        self.open.id
    }

    /// Whether nothing has come that belongs to no request, not even the connection's end.
    pub fn is_clean(&self) -> bool {
        self.buffer.is_empty() && http::is_quiet(&self.stream)
    }

    /// Whether it may rest until another request: nothing has come that no answer has used.
    fn can_be_reused(&self) -> bool {
        !self.must_close && self.buffer.is_empty()
    }

    /// Whether anything has come that no answer has used so far.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Begins to rest and gives the buffer back, if it may carry another request.
    pub fn rest(mut self) -> Option<Connection> {
        if !self.can_be_reused() {
            return None;
        }
        self.buffer = BytesMut::new();
        self.is_reused = true;
        self.idle_since = Instant::now();
        Some(self)
    }

    /// Writes all of `bytes`, whatever comes meanwhile. After an error the last byte has not gone out.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the head of the next answer.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ReadError> {
        loop {
            if !self.buffer.is_empty()
                && let Some(head) = http::parse_response(&mut self.buffer)?
            {
                match head.status {
                    101 => return Err(ReadError::InvalidResponse),
                    100..200 => continue,
                    _ => return Ok(head),
                }
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ReadError::InvalidResponse);
            }
            self.fill().await?;
        }
    }

    /// The next bytes of a body; `None` at its end.
    pub async fn read_body(&mut self, decoder: &mut BodyDecoder) -> Result<Option<Bytes>, ReadError> {
        loop {
            match self.decode(decoder)? {
                Decoded::Data(data) => return Ok(Some(data)),
                Decoded::End => return Ok(None),
                Decoded::More => self.fill_body(decoder).await?,
            }
        }
    }

    /// Waits for more bytes of a body, or for the orderly end of the connection where that ends the body.
    pub async fn fill_body(&mut self, decoder: &mut BodyDecoder) -> Result<(), ReadError> {
        match self.fill().await {
            Err(ReadError::ResponseEnd) if decoder.end() => Ok(()),
            filled => filled,
        }
    }

    /// What of a body has been read already.
    pub fn decode(&mut self, decoder: &mut BodyDecoder) -> Result<Decoded, ReadError> {
        decoder.decode(&mut self.buffer).map_err(|_| ReadError::InvalidResponse)
    }

    /// Takes in what has come, without waiting for more. The runtime may not have heard of it, so the socket is asked as well.
    pub fn read_available(&mut self) -> StreamState {
        let mut asks_socket = false;
        while self.buffer.len() <= MAX_HEAD_BYTES {
            let read = if asks_socket { self.read_socket() } else { self.read_ready() };
            match read {
                Ok(0) => return StreamState::ResponseEnd,
                Ok(_) => {}
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => return StreamState::ResponseEnd,
                Err(_) if asks_socket => return StreamState::Open,
                Err(_) => asks_socket = true,
            }
        }
        StreamState::Open
    }

    fn read_ready(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_ROOM);
        self.stream.try_read_buf(&mut self.buffer)
    }

    fn read_socket(&mut self) -> io::Result<usize> {
        let mut bytes = [0; READ_ROOM];
        let length = http::read_now(&self.stream, &mut bytes)?;
        self.buffer.extend_from_slice(bytes.get(..length).unwrap_or_default());
        Ok(length)
    }

    /// The head of the answer that has come, left where it is; `None` while it is not whole.
    pub fn peek_head(&self) -> Result<Option<ResponseHead>, ReadError> {
        let mut copy = self.buffer.clone();
        while !copy.is_empty() {
            match http::parse_response(&mut copy)? {
                Some(head) if (100..200).contains(&head.status) => {}
                Some(head) => return Ok(Some(head)),
                None if copy.len() > MAX_HEAD_BYTES => return Err(ReadError::InvalidResponse),
                None => return Ok(None),
            }
        }
        Ok(None)
    }

    /// Waits until bytes can be written, or, if asked to, until some have come.
    pub async fn ready(&self, reads: bool) -> io::Result<tokio::io::Ready> {
        let interest = if reads { Interest::READABLE | Interest::WRITABLE } else { Interest::WRITABLE };
        self.stream.ready(interest).await
    }

    /// Waits until something has come, if only the connection's end.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Writes what can be written without waiting; the number of bytes.
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
            Fill::End => Err(ReadError::ResponseEnd),
        }
    }
}
