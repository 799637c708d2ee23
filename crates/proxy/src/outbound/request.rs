//! A client's request as it is forwarded to servers.

use crate::http::{ConnectionOptions, ResponseHead, append_content_length, append_field, append_number};
use crate::inbound::request::ClientRequest;
use crate::outbound::connection::ConnectionId;
use bytes::Bytes;
use std::time::Duration;

/// The maximum size of a body that is written together with the head, in bytes.
pub const MAX_INLINE_BODY_BYTES: usize = 16 * 1024;
/// The least urgent priority that servers accept.
pub const MAX_PRIORITY: u8 = 9;

/// Header fields that only the proxy may set. Those of a client are not forwarded.
const PROXY_ONLY_FIELDS: [&str; 6] =
    ["content-length", "expect", "deadline-ms", "expect-instance", "serving-stage", "kv-from"];

/// The headers that an attempt adds to those of the client.
#[derive(Clone, Debug, Default)]
pub struct AttemptHeaders {
    /// Whether to send `Serving-Stage: prefill`, so that the server only prefills the prompt.
    pub is_prefill: bool,
    /// The value of `Kv-From`: the location of the prompt's KV cache, as `ADDRESS/ID`.
    pub kv_from: Option<String>,
    /// The value of `Last-Event-Id`: the stream resumes after this event.
    pub last_event_id: Option<Vec<u8>>,
    /// The value of `Priority`, from 0 (most urgent) to 9.
    pub priority: Option<u8>,
}

/// The parts of a request that are the same for all attempts.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// The request line and the forwarded header fields, without the empty line that ends the head.
    head: Vec<u8>,
    /// The body.
    pub body: Bytes,
    /// The `Request-Id` of the client, which the response must carry as well.
    pub request_id: Option<Vec<u8>>,
    /// Whether the method is `HEAD`, so that responses have no body.
    pub is_head: bool,
    /// The connections that the request was sent on. It is sent at most once on each: all responses to the
    /// request carry the same id, so that a late duplicate of the response to one attempt would be taken for
    /// the response to the next attempt.
    pub used_connections: Vec<ConnectionId>,
    /// The `Last-Event-Id` of the client, stored separately from the head since a resumed stream replaces it.
    last_event_id: Option<Vec<u8>>,
    /// The `Priority` of the client, stored separately from the head since the priority of the route replaces
    /// it.
    priority: Option<Vec<u8>>,
}

impl OutboundRequest {
    /// Creates the outbound request from the parts of a client's request that are forwarded.
    pub fn new(request: &ClientRequest) -> OutboundRequest {
        let head = &request.head;
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(head.method().as_bytes());
        out.extend_from_slice(b" ");
        out.extend_from_slice(head.target().as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        let options = ConnectionOptions::of(&head.headers);
        for (name, value) in head.headers.iter().filter(|(name, _)| is_forwarded(&options, name)) {
            append_field(&mut out, name, value);
        }
        if request.has_body {
            append_content_length(&mut out, request.body.len() as u64);
        }
        let client_value = |name| head.headers.get(name).map(<[u8]>::to_vec);
        OutboundRequest {
            head: out,
            body: request.body.clone(),
            request_id: client_value("request-id"),
            is_head: head.method() == "HEAD",
            used_connections: Vec::new(),
            last_event_id: client_value("last-event-id"),
            priority: client_value("priority"),
        }
    }

    /// Returns whether the request may be sent on a connection that carries other requests before and after
    /// it. Responses to other requests are recognised by their ids and skipped by the length of their bodies.
    /// Neither is possible for a request without an id, or for a `HEAD` request, whose response announces a
    /// length without having a body.
    pub fn may_share_connections(&self) -> bool {
        self.request_id.is_some() && !self.is_head
    }

    /// Returns whether a response belongs to this request, by its id. Every response matches a request
    /// without an id.
    pub fn matches_response(&self, head: &ResponseHead) -> bool {
        match &self.request_id {
            Some(id) => head.headers.get("request-id").is_some_and(|other| other == id.as_slice()),
            None => true,
        }
    }

    /// Encodes the head for one attempt at the server `instance`, with `time_left` until its deadline.
    pub fn encode(&self, instance: &str, time_left: Duration, headers: &AttemptHeaders) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.head.len() + self.body.len().min(MAX_INLINE_BODY_BYTES) + 192);
        out.extend_from_slice(&self.head);
        append_field(&mut out, "Expect-Instance", instance.as_bytes());
        out.extend_from_slice(b"Deadline-Ms: ");
        append_number(&mut out, time_left.as_millis().try_into().unwrap_or(u64::MAX));
        out.extend_from_slice(b"\r\n");
        if headers.is_prefill {
            append_field(&mut out, "Serving-Stage", b"prefill");
        }
        if let Some(source) = &headers.kv_from {
            append_field(&mut out, "Kv-From", source.as_bytes());
        }
        if let Some(id) = headers.last_event_id.as_ref().or(self.last_event_id.as_ref()) {
            append_field(&mut out, "Last-Event-Id", id);
        }
        match (headers.priority, &self.priority) {
            (Some(priority), _) => append_field(&mut out, "Priority", &[b'0' + priority.min(MAX_PRIORITY)]),
            (None, Some(client_value)) => append_field(&mut out, "Priority", client_value),
            (None, None) => {}
        }
        out.extend_from_slice(b"\r\n");
        out
    }
}

/// Returns whether a header field of the client is forwarded as part of the head.
fn is_forwarded(options: &ConnectionOptions, name: &str) -> bool {
    let is_reserved = PROXY_ONLY_FIELDS.iter().any(|reserved| reserved.eq_ignore_ascii_case(name));
    let is_stored_separately =
        name.eq_ignore_ascii_case("last-event-id") || name.eq_ignore_ascii_case("priority");
    !is_reserved && !is_stored_separately && options.may_forward(name)
}
