//! HTTP messages that the tests write and read.

use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A request or response that was received.
#[derive(Clone, Debug)]
pub struct ReceivedMessage {
    pub start_line: String,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl ReceivedMessage {
    /// Reads one message; `None` at the end of the connection.
    pub(super) fn read(from: &mut impl BufRead) -> Option<ReceivedMessage> {
        let mut line = || {
            let mut line = String::new();
            let length = from.read_line(&mut line).ok()?;
            (length > 0).then(|| line.trim_end().to_owned())
        };
        let start = line()?;
        let mut headers = Vec::new();
        loop {
            let line = line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut received = ReceivedMessage { start_line: start, headers, body: String::new() };
        let length =
            received.header("content-length").map_or(0, |text| text.parse().expect("the length is a number"));
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        received.body = String::from_utf8(body).expect("the body is valid UTF-8");
        Some(received)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// Returns the header names in lower case, in the order of the message.
    pub fn header_names(&self) -> Vec<&str> {
        self.headers.iter().map(|(name, _)| name.as_str()).collect()
    }
}

#[derive(Clone)]
pub enum Reply {
    /// Sends this text and closes the sending side of the connection.
    Raw(String),
    /// Sends this text and keeps the connection open.
    Complete(String),
    /// Closes the connection without an answer.
    Close,
    /// Sends nothing and keeps the connection open until the peer closes it.
    NoAnswer,
}

impl Reply {
    pub fn text(status: u16, headers: &str, body: &str) -> Reply {
        Reply::Complete(format!(
            "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ))
    }
}

/// A request that the client sends to the sidecar.
pub struct Call {
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl Call {
    pub fn header(mut self, name: &str, value: &str) -> Call {
        self.headers.retain(|(other, _)| other != name);
        self.headers.push((name.into(), value.into()));
        self
    }

    pub fn without_header(mut self, name: &str) -> Call {
        self.headers.retain(|(other, _)| other != name);
        self
    }

    pub fn path(self, path: &str) -> Call {
        Call { path: path.into(), ..self }
    }

    pub fn body(self, body: &str) -> Call {
        Call { body: body.into(), ..self }
    }

    pub fn text(&self) -> String {
        let headers: String =
            self.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let (path, length) = (&self.path, self.body.len());
        format!("POST {path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{}", self.body)
    }
}

/// Creates a request of this class with this budget in seconds, a unique id and, for the keyed class, an
/// idempotency key.
pub fn call(class: &str, budget: f64) -> Call {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let id = format!("call-{}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
    let headers = [("Host", "origin.svc"), ("X-Call-Id", &id), ("X-Call-Class", class)];
    let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned())).to_vec();
    let call = Call { path: "/api".into(), headers, body: String::new() };
    let call = call.header("X-Budget", &budget.to_string());
    if class == "report" { call.header("Idempotency-Key", &id) } else { call }
}

pub struct Answer {
    pub status: u16,
    pub body: String,
    received: ReceivedMessage,
}

impl Answer {
    pub fn read(from: &mut TcpStream) -> Answer {
        Answer::try_read(from).expect("a complete answer is received")
    }

    /// Reads an answer up to its content length, and returns its text.
    pub fn read_text(from: &mut TcpStream) -> String {
        let received =
            ReceivedMessage::read(&mut BufReader::new(from)).expect("a complete answer is received");
        let headers: String =
            received.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        format!("{}\r\n{headers}\r\n{}", received.start_line, received.body)
    }

    pub(super) fn try_read(from: &mut TcpStream) -> Option<Answer> {
        let received = ReceivedMessage::read(&mut BufReader::new(from))?;
        let status = received
            .start_line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .expect("the answer has a status code");
        Some(Answer { status, body: received.body.clone(), received })
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.received.header(name)
    }
}
