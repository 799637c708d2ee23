//! The requests of a client.

use super::outcome::{AttemptEnd, AttemptOutcome};
use crate::header_names;
use crate::server_core::ServerRequest;
use crate::wire::{Headers, Request};

/// Whether and how a request may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A request that may be executed more than once.
    Safe,
    /// A request that must be executed at most once.
    Unsafe,
    /// A stream that must be executed at most once.
    Stream,
    /// A stream that may be resumed after the last received event.
    ResumableStream,
}

impl RequestKind {
    /// Whether the request may be executed a second time.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RequestKind::Safe | RequestKind::ResumableStream)
    }
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The id of this attempt.
    pub request_id: String,
    /// The HTTP method.
    pub method: String,
    /// The host.
    pub host: String,
    /// The path and query.
    pub target: String,
    /// Whether and how the request may be executed again.
    pub kind: RequestKind,
    /// How long the client waits for the response (`Deadline-Ms`), in ms.
    pub deadline_ms: u64,
    /// Additional headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

impl ClientRequest {
    /// A `POST` with a small body and a deadline of 5 s.
    pub fn post(request_id: &str, host: &str, target: &str, kind: RequestKind) -> ClientRequest {
        ClientRequest {
            request_id: request_id.to_owned(),
            method: "POST".to_owned(),
            host: host.to_owned(),
            target: target.to_owned(),
            kind,
            deadline_ms: 5_000,
            headers: Headers::new(),
            body: format!("body of {request_id}").into_bytes(),
        }
    }

    /// A generation with `tokens` in the prompt and in the output, and the named segments of the prompt: the
    /// id and the number of tokens of each.
    pub fn generation(
        request_id: &str, host: &str, target: &str, tokens: (u64, u64), segments: &[(u64, u64)],
    ) -> ClientRequest {
        let mut request = ClientRequest::post(request_id, host, target, RequestKind::Stream);
        request.headers.push(header_names::MODEL, "m");
        request.headers.push(header_names::TOKEN_COUNTS, format!("{},{}", tokens.0, tokens.1));
        if !segments.is_empty() {
            let segments: Vec<String> =
                segments.iter().map(|(id, tokens)| format!("{id:08x}:{tokens}")).collect();
            request.headers.push(header_names::PROMPT_PREFIX, segments.join(","));
        }
        request
    }

    /// The HTTP request that the client sends.
    pub fn to_wire(&self) -> Request {
        let mut request = Request::new(&self.method, &self.target);
        request.headers.push("Host", &self.host);
        request.headers.push("Request-Id", &self.request_id);
        request.headers.push("Deadline-Ms", self.deadline_ms.to_string());
        for (name, value) in self.headers.iter() {
            request.headers.push(name, value);
        }
        request.body.clone_from(&self.body);
        request
    }

    /// The outcome of an attempt before a connection is open: no response, and the connection failed.
    pub fn outcome(&self) -> AttemptOutcome {
        AttemptOutcome {
            request_id: self.request_id.clone(),
            content_hash: ServerRequest::from(self.to_wire()).content_hash,
            host: self.host.clone(),
            target: self.target.clone(),
            idempotent: self.kind.is_idempotent(),
            received_events: self.headers.parsed(header_names::LAST_EVENT_ID).unwrap_or(0),
            status: None,
            headers: Headers::new(),
            stamp: None,
            body: Vec::new(),
            events: Vec::new(),
            ending: AttemptEnd::ConnectFailed,
            failed_checks: Vec::new(),
        }
    }
}
