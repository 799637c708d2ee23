//! Requests and responses and their encoding.

use crate::header_names;

/// The headers of a message, in order. Names are compared case-insensitively.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// No headers.
    pub fn new() -> Headers {
        Headers::default()
    }

    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(present, _)| present.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The first value of a header, parsed; `None` if the header is absent or its value cannot be parsed.
    pub fn parsed<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.get(name).and_then(|value| value.trim().parse().ok())
    }

    /// Appends a header, even if there is already one with this name.
    pub fn push(&mut self, name: &str, value: impl Into<String>) {
        self.0.push((name.to_owned(), value.into()));
    }

    /// Removes all values of a header and appends this one.
    pub fn set(&mut self, name: &str, value: impl Into<String>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Removes all values of a header.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|(present, _)| !present.eq_ignore_ascii_case(name));
    }

    /// All headers, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Whether the comma-separated list in a header contains `token`, compared case-insensitively.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get(name).is_some_and(|list| list.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
    }

    fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in self.iter() {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value.as_bytes());
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// A complete request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// A request without a body.
    pub fn new(method: &str, target: &str) -> Request {
        Request { method: method.to_owned(), target: target.to_owned(), ..Request::default() }
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of a query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|pair| pair.1)
    }

    /// The bytes of the request. The body is framed by `Content-Length`.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = format!("{} {} HTTP/1.1\r\n", self.method, self.target).into_bytes();
        self.headers.write(&mut out);
        if !self.body.is_empty() || self.method == "POST" || self.method == "PUT" {
            let length = format!("{}: {}\r\n", header_names::CONTENT_LENGTH, self.body.len());
            out.extend_from_slice(length.as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }
}

/// A complete response, or the head of one whose body follows in chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The headers. [`Response::encode`] and [`Response::encode_chunked_head`] add the one that frames the
    /// body.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response without a body.
    pub fn new(status: u16) -> Response {
        Response { status, ..Response::default() }
    }

    /// A response with a JSON body.
    pub fn json(status: u16, body: &serde_json::Value) -> Response {
        let mut response = Response::new(status);
        response.headers.push(header_names::CONTENT_TYPE, header_names::JSON);
        response.body = body.to_string().into_bytes();
        response
    }

    /// The same response with this header, in place of earlier values of the header.
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Response {
        self.headers.set(name, value);
        self
    }

    /// The bytes of the response. The body is framed by `Content-Length`.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = self.encode_common();
        out.extend_from_slice(
            format!("{}: {}\r\n\r\n", header_names::CONTENT_LENGTH, self.body.len()).as_bytes(),
        );
        out.extend_from_slice(&self.body);
        out
    }

    /// The bytes of the head of a response whose body follows in chunks.
    pub fn encode_chunked_head(&self) -> Vec<u8> {
        let mut out = self.encode_common();
        out.extend_from_slice(format!("{}: chunked\r\n\r\n", header_names::TRANSFER_ENCODING).as_bytes());
        out
    }

    fn encode_common(&self) -> Vec<u8> {
        let mut out = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status)).into_bytes();
        self.headers.write(&mut out);
        out
    }
}

/// One chunk of a chunked body. An empty chunk ends the body.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", data.len()).into_bytes();
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    out
}

/// The reason phrase of a status code.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
