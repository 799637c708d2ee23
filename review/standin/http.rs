//! HTTP/1.1 messages with a length, for clients, servers, the platform and the operator.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The first line, the fields and the body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The method and the target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut parts = self.first_line.split(' ');
        (parts.next().unwrap_or_default(), parts.next().unwrap_or_default())
    }
}

/// Reads one message from `stream`; `rest` holds bytes that were read beyond it. `None` at an orderly end.
pub fn read(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if !fill(stream, rest)? {
            return if rest.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
    };
    let head = String::from_utf8_lossy(&rest[..head_end - 4]).into_owned();
    let mut lines = head.split("\r\n");
    let mut message =
        Message { first_line: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length: usize = message.field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    rest.drain(..head_end);
    while rest.len() < length {
        if !fill(stream, rest)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = rest.drain(..length).collect();
    Ok(Some(message))
}

fn fill(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<bool> {
    let mut buffer = [0; 16 * 1024];
    let read = stream.read(&mut buffer)?;
    rest.extend_from_slice(&buffer[..read]);
    Ok(read > 0)
}

/// Sends one request on a new connection and reads its response.
pub fn call(to: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    call_on(&mut stream, &mut Vec::new(), head, body)
}

/// Sends one request on an open connection and reads its response.
pub fn call_on(stream: &mut TcpStream, rest: &mut Vec<u8>, head: &str, body: &[u8]) -> io::Result<Message> {
    let mut bytes = format!("{head}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read(stream, rest)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Encodes a response with a body.
pub fn response(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
