//! The text of requests and responses. Header arguments are complete lines, each ending with CRLF.

use super::scenario::HOST;

/// Returns a `POST` request to `/r/x`.
pub fn request(id: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /r/x?q=1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Returns a request that no route matches, so that its response is 404 unless it violates a limit.
pub fn unrouted_request(method: &str, headers: &str, body: &str) -> String {
    format!("{method} /none/ HTTP/1.1\r\nHost: {HOST}\r\n{headers}\r\n{body}")
}

/// The end of `request(id, headers, "body")` without its last byte.
pub const ALL_BUT_LAST_BYTE: &str = "\r\n\r\nbod";

/// Returns a successful response with a `Server-Stamp`.
pub fn ok_response(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-{id}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Returns the response of a server that did not execute the request and never will.
pub fn rejection(id: &str, status: u16) -> String {
    format!("HTTP/1.1 {status} No\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Inserts further headers after the status line of a response.
pub fn with_headers(response: &str, headers: &str) -> String {
    response.replacen("\r\n", &format!("\r\n{headers}"), 1)
}

/// Adds `Connection: close` to a response.
pub fn closing(response: &str) -> String {
    with_headers(response, "Connection: close\r\n")
}

/// Returns the head of a chunked stream of server-sent events.
pub fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// Returns one chunk of a chunked body.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// The chunk that ends a chunked body.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// Returns a server-sent event.
pub fn event(id: u32) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

/// Returns the text of the first `count` events.
pub fn events(count: u32) -> String {
    (1..=count).map(event).collect()
}

/// Returns a complete stream of the first `count` events.
pub fn complete_stream(id: &str, count: u32) -> String {
    let chunks: String = (1..=count).map(|id| chunk(&event(id))).collect();
    stream_head(id) + chunks.as_str() + LAST_CHUNK
}
