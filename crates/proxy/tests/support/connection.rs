//! One end of a connection, read and written by the test.

use super::messages::{chunk, event, stream_head};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A complete request or response.
#[derive(Debug, Clone)]
pub struct Message {
    pub head: String,
    pub body: String,
}

impl Message {
    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("the response has a status code")
    }

    /// Returns the first value of a header. Case is ignored in its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (other, value) = line.split_once(':')?;
            other.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// One end of a connection.
pub struct Connection {
    pub stream: TcpStream,
    /// Bytes that have been received but not consumed yet.
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> Connection {
        drop(stream.set_nodelay(true));
        Connection { stream, buffer: Vec::new() }
    }

    /// Sends the text.
    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("the bytes are written");
    }

    /// Sends the head of an event stream and its first `count` events, each in a separate chunk.
    pub async fn start_stream(&mut self, id: &str, count: u32) {
        self.send(&stream_head(id)).await;
        for id in 1..=count {
            self.send(&chunk(&event(id))).await;
        }
    }

    /// Receives more bytes. Returns `false` at the end of the connection and after a reset.
    async fn fill(&mut self) -> bool {
        let mut bytes = [0; 4_096];
        match self.stream.read(&mut bytes).await {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.buffer.extend_from_slice(&bytes[..length]);
                true
            }
        }
    }

    /// Reads up to and including `end`. Returns `None` if the connection ends before that.
    pub async fn read_until(&mut self, end: &str) -> Option<String> {
        loop {
            if let Some(at) = find(&self.buffer, end.as_bytes()) {
                let text = self.buffer.drain(..at + end.len()).collect();
                return String::from_utf8(text).ok();
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    /// Reads a message head with its final empty line. Returns `None` if the connection ends before that.
    pub async fn read_head(&mut self) -> Option<String> {
        self.read_until("\r\n\r\n").await
    }

    /// Reads the next message. Returns `None` if the connection ends before it is complete.
    pub async fn read_message(&mut self) -> Option<Message> {
        let head = self.read_head().await?;
        let mut message = Message { head, body: String::new() };
        if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk().await? {
                message.body.push_str(&chunk);
            }
            return Some(message);
        }
        let length = message
            .header("content-length")
            .map_or(0, |length| length.parse().expect("the length is a number"));
        message.body = self.read_exactly(length).await?;
        Some(message)
    }

    /// Reads the next request, which must be complete.
    pub async fn read_request(&mut self) -> Message {
        self.read_message().await.expect("a complete request is received")
    }

    /// Reads the next response, which must be complete.
    pub async fn read_response(&mut self) -> Message {
        self.read_message().await.expect("a complete response is received")
    }

    /// Reads the next chunk. Returns `Some(None)` for the last chunk, and `None` if the connection ends
    /// before the chunk is complete.
    pub async fn read_chunk(&mut self) -> Option<Option<String>> {
        let size = self.read_until("\r\n").await?;
        let size = usize::from_str_radix(size.trim(), 16).expect("the chunk size is a hexadecimal number");
        while self.buffer.len() < size + 2 {
            if !self.fill().await {
                return None;
            }
        }
        let data: Vec<u8> = self.buffer.drain(..size + 2).take(size).collect();
        Some((size > 0).then(|| String::from_utf8(data).expect("the text is valid UTF-8")))
    }

    /// Reads chunks until the stream ends. Returns their data, and whether the last chunk was received.
    pub async fn read_stream(&mut self) -> (String, bool) {
        let mut text = String::new();
        loop {
            match self.read_chunk().await {
                Some(Some(chunk)) => text.push_str(&chunk),
                Some(None) => return (text, true),
                None => return (text, false),
            }
        }
    }

    /// Reads the next `length` bytes. Returns `None` if the connection ends before that.
    pub async fn read_exactly(&mut self, length: usize) -> Option<String> {
        while self.buffer.len() < length {
            if !self.fill().await {
                return None;
            }
        }
        String::from_utf8(self.buffer.drain(..length).collect()).ok()
    }

    /// Reads all bytes until the connection ends.
    pub async fn read_to_end(&mut self) -> Vec<u8> {
        while self.fill().await {}
        std::mem::take(&mut self.buffer)
    }

    /// Closes the sending direction. The receiving direction stays open.
    pub async fn shutdown_write(&mut self) {
        self.stream.shutdown().await.expect("the sending direction is shut down");
    }

    /// Waits for input. Returns whether the peer closes the connection without sending another byte.
    pub async fn is_closed(&mut self) -> bool {
        self.buffer.is_empty() && !self.fill().await
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket.set_linger(Some(std::time::Duration::ZERO)).expect("the option is set");
    }
}

fn find(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}
