//! An HTTP/1.1 connection that is read and written message by message, for either end.

use super::error::WireError;
use super::framing::Framing;
use super::message::{Headers, Request, Response};
use bytes::{Buf, Bytes, BytesMut};
use lugwharf_http_head::{has_ambiguous_end, is_status_code, is_token};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The maximum size of a head, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The maximum size of a body and of a chunk of a body, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// The maximum number of headers of a message.
const MAX_HEADERS: usize = 64;
/// The maximum number of bytes that may arrive without the end of a chunk-size or trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 64;

/// A connection and the bytes that were received but not yet consumed.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
}

impl Connection {
    /// Wraps a connected socket and enables `TCP_NODELAY` on it.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: BytesMut::new() }
    }

    /// Connects to an address.
    pub async fn open(address: SocketAddr) -> io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect(address).await?))
    }

    /// The received bytes that follow the part that was read.
    pub fn unread(&self) -> &[u8] {
        &self.buffer
    }

    /// Waits for more bytes and returns their number; 0 at the end of the connection. Cancel-safe.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Receives the bytes that have already arrived, without waiting, and returns their number; 0 also if
    /// there are none.
    pub fn fill_now(&mut self) -> usize {
        self.stream.try_read_buf(&mut self.buffer).unwrap_or(0)
    }

    /// Writes and flushes the bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await
    }

    /// Closes the connection with a FIN.
    pub async fn close(mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// Closes the connection with an RST.
    pub fn reset(self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Reads a complete request; `None` if the connection was closed between requests.
    pub async fn read_request(&mut self) -> Result<Option<Request>, WireError> {
        let mut request = loop {
            if let Some(request) = self.parse_request()? {
                break request;
            }
            if self.fill().await? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(WireError::EndedEarly) };
            }
        };
        let mut framing = Framing::of_request(&request.headers)?;
        while let Some(chunk_bytes) = self.read_body_chunk(&mut framing).await? {
            request.body.extend_from_slice(&chunk_bytes);
            if request.body.len() > MAX_BODY_BYTES {
                return Err(WireError::TooLong);
            }
        }
        Ok(Some(request))
    }

    /// Reads the head of a response and determines how the body is framed. Interim (1xx) responses are
    /// skipped.
    pub async fn read_response_head(&mut self) -> Result<(Response, Framing), WireError> {
        loop {
            if let Some(response) = self.parse_response()? {
                if response.status < 200 {
                    continue;
                }
                let framing = Framing::of_response(response.status, &response.headers)?;
                return Ok((response, framing));
            }
            if self.fill().await? == 0 {
                return Err(WireError::EndedEarly);
            }
        }
    }

    /// Reads a complete response.
    pub async fn read_response(&mut self) -> Result<Response, WireError> {
        let (mut response, mut framing) = self.read_response_head().await?;
        while let Some(chunk_bytes) = self.read_body_chunk(&mut framing).await? {
            response.body.extend_from_slice(&chunk_bytes);
            if response.body.len() > MAX_BODY_BYTES {
                return Err(WireError::TooLong);
            }
        }
        Ok(response)
    }

    /// Reads the next bytes of a body, without chunk framing; `None` at the end of the body. `framing` tracks
    /// what remains.
    pub async fn read_body_chunk(&mut self, framing: &mut Framing) -> Result<Option<Bytes>, WireError> {
        loop {
            let remaining = match framing {
                Framing::Done => return Ok(None),
                Framing::Length(remaining) => *remaining,
                Framing::UntilClose => usize::MAX,
                Framing::ChunkEnd => {
                    if !self.read_line().await?.is_empty() {
                        return Err(WireError::Malformed("unexpected bytes after a chunk"));
                    }
                    *framing = Framing::Chunked(0);
                    continue;
                }
                Framing::Chunked(0) => {
                    let length = self.read_chunk_length().await?;
                    if length == 0 {
                        self.skip_trailer().await?;
                        *framing = Framing::Done;
                        return Ok(None);
                    }
                    *framing = Framing::Chunked(length);
                    length
                }
                Framing::Chunked(remaining) => *remaining,
            };
            if self.buffer.is_empty() && self.fill().await? == 0 {
                if *framing == Framing::UntilClose {
                    *framing = Framing::Done;
                    return Ok(None);
                }
                return Err(WireError::EndedEarly);
            }
            let taken = remaining.min(self.buffer.len());
            let chunk_bytes = self.buffer.split_to(taken).freeze();
            *framing = framing.after(taken);
            return Ok(Some(chunk_bytes));
        }
    }

    async fn read_chunk_length(&mut self) -> Result<usize, WireError> {
        let line = self.read_line().await?;
        let digits = line.split(';').next().unwrap_or_default().trim();
        let length =
            usize::from_str_radix(digits, 16).map_err(|_| WireError::Malformed("invalid chunk length"))?;
        if length > MAX_BODY_BYTES { Err(WireError::TooLong) } else { Ok(length) }
    }

    async fn skip_trailer(&mut self) -> Result<(), WireError> {
        while !self.read_line().await?.is_empty() {}
        Ok(())
    }

    async fn read_line(&mut self) -> Result<String, WireError> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.buffer.split_to(end);
                self.buffer.advance(2);
                return String::from_utf8(line.to_vec())
                    .map_err(|_| WireError::Malformed("chunk or trailer line is not UTF-8"));
            }
            if self.buffer.len() > MAX_CHUNK_LINE_BYTES {
                return Err(WireError::Malformed("chunk or trailer line is longer than 64 bytes"));
            }
            if self.fill().await? == 0 {
                return Err(WireError::EndedEarly);
            }
        }
    }

    fn parse_request(&mut self) -> Result<Option<Request>, WireError> {
        let mut parsed_headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut parsed_headers);
        let status = head.parse(&self.buffer).map_err(|_| WireError::Malformed("invalid request head"))?;
        let httparse::Status::Complete(length) = status else {
            return self.incomplete_head();
        };
        let mut request = Request::new(head.method.unwrap_or_default(), head.path.unwrap_or_default());
        request.headers = convert_headers(head.headers)?;
        self.buffer.advance(length);
        Ok(Some(request))
    }

    fn parse_response(&mut self) -> Result<Option<Response>, WireError> {
        let mut parsed_headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut parsed_headers);
        let status = head.parse(&self.buffer).map_err(|_| WireError::Malformed("invalid response head"))?;
        let httparse::Status::Complete(length) = status else {
            return self.incomplete_head();
        };
        if has_ambiguous_end(&self.buffer[..length]) {
            return Err(WireError::Malformed("a head with CRLF line endings does not end with two of them"));
        }
        let code = head.code.filter(|code| is_status_code(*code));
        let mut response = Response::new(code.ok_or(WireError::Malformed("invalid status code"))?);
        response.headers = convert_headers(head.headers)?;
        self.buffer.advance(length);
        Ok(Some(response))
    }

    fn incomplete_head<T>(&self) -> Result<Option<T>, WireError> {
        if self.buffer.len() > MAX_HEAD_BYTES { Err(WireError::TooLong) } else { Ok(None) }
    }
}

fn convert_headers(parsed: &[httparse::Header<'_>]) -> Result<Headers, WireError> {
    let mut headers = Headers::new();
    for header in parsed {
        if !is_token(header.name) {
            return Err(WireError::Malformed("invalid header name"));
        }
        let value = std::str::from_utf8(header.value)
            .map_err(|_| WireError::Malformed("header value is not UTF-8"))?;
        headers.push(header.name, value);
    }
    Ok(headers)
}
