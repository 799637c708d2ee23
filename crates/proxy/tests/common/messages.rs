//! Messages as clients and servers send them.

use super::HOST;

/// A request to `/r/x`; `more` holds further lines.
pub fn request(id: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /r/x?q=1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n{more}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// A success with a stamp.
pub fn answer(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-{id}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// An answer of a server that did not run the request.
pub fn not_executed(id: &str, status: u16) -> String {
    format!("HTTP/1.1 {status} No\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

/// The head of a stream of events.
pub fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

pub fn event(id: u32) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// `said` by a server that closes the connection behind it.
pub fn closing(said: &str) -> String {
    said.replacen("\r\n", "\r\nConnection: close\r\n", 1)
}

/// A whole stream of so many events.
pub fn whole_stream(id: &str, events: u32) -> String {
    let events: String = (1..=events).map(|id| chunk(&event(id))).collect();
    stream_head(id) + events.as_str() + LAST_CHUNK
}
