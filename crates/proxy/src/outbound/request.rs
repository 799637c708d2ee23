//! A client's request as it is forwarded to servers.

use crate::http::{RequestHead, ResponseHead, field, is_hop_by_hop, length_field, number};
use crate::inbound::request::ClientRequest;
use crate::outbound::connection::ConnectionId;
use bytes::Bytes;
use std::time::Duration;

/// Bodies up to this size, in bytes, are written together with the head.
pub const INLINE_BODY: usize = 16 * 1024;
/// The least urgent priority that servers accept.
pub const MAX_PRIORITY: u8 = 9;

/// Fields that only the proxy may set: a client's own must not reach a server.
const RESERVED_FIELDS: [&str; 6] =
    ["content-length", "expect", "deadline-ms", "expect-instance", "serving-stage", "kv-from"];

/// The headers that one attempt adds to the client's.
#[derive(Clone, Debug, Default)]
pub struct AttemptHeaders {
    /// `Serving-Stage: prefill`: the server only prefills the prompt.
    pub is_prefill: bool,
    /// `Kv-From`: where the KV cache of the prompt is, as `ADDRESS/ID`.
    pub kv_from: Option<String>,
    /// `Last-Event-Id`: the stream resumes behind this event.
    pub last_event_id: Option<Vec<u8>>,
    /// `Priority`, from 0 (most urgent) to 9.
    pub priority: Option<u8>,
}

/// What all attempts of a request send alike.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// The request line and the forwarded fields, without the empty line.
    head: Vec<u8>,
    /// The body.
    pub body: Bytes,
    /// The id that the response has to carry.
    pub request_id: Option<Vec<u8>>,
    /// Whether the method is `HEAD`, so that responses have no body.
    pub is_head: bool,
    /// The connections that have carried the request. Each carries it once: all its responses bear the same id, and a late second
    /// copy of the first attempt's response would pass for the second attempt's.
    pub used_connections: Vec<ConnectionId>,
    /// The client's own `Last-Event-Id`, apart from the head since a resumed stream replaces it.
    last_event_id: Option<Vec<u8>>,
    /// The client's own `Priority`, apart from the head since the route's replaces it.
    priority: Option<Vec<u8>>,
}

impl OutboundRequest {
    /// Takes over what is forwarded of a client's request.
    pub fn new(request: &ClientRequest) -> OutboundRequest {
        let head = &request.head;
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(head.method().as_bytes());
        out.extend_from_slice(b" ");
        out.extend_from_slice(head.target().as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        for (name, value) in head.headers.iter().filter(|(name, _)| is_forwarded(head, name)) {
            field(&mut out, name, value);
        }
        if request.has_body {
            length_field(&mut out, request.body.len() as u64);
        }
        let own = |name| head.headers.get(name).map(<[u8]>::to_vec);
        OutboundRequest {
            head: out,
            body: request.body.clone(),
            request_id: own("request-id"),
            is_head: head.method() == "HEAD",
            used_connections: Vec::new(),
            last_event_id: own("last-event-id"),
            priority: own("priority"),
        }
    }

    /// Whether its connection may carry other requests before and after it. Stray responses are recognised by their ids and
    /// discarded by their lengths: a request without an id, or with a response whose length has no body, allows neither.
    pub fn may_share_connections(&self) -> bool {
        self.request_id.is_some() && !self.is_head
    }

    /// Whether a response belongs to this request, by its id.
    pub fn is_response_to_this(&self, head: &ResponseHead) -> bool {
        match &self.request_id {
            Some(id) => head.headers.get("request-id").is_some_and(|other| other == id.as_slice()),
            None => true,
        }
    }

    /// The head for one attempt at the server `instance`, with `time_left` until its deadline.
    pub fn encode(&self, instance: &str, time_left: Duration, headers: &AttemptHeaders) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.head.len() + self.body.len().min(INLINE_BODY) + 192);
        out.extend_from_slice(&self.head);
        field(&mut out, "Expect-Instance", instance.as_bytes());
        out.extend_from_slice(b"Deadline-Ms: ");
        number(&mut out, time_left.as_millis().try_into().unwrap_or(u64::MAX));
        out.extend_from_slice(b"\r\n");
        if headers.is_prefill {
            field(&mut out, "Serving-Stage", b"prefill");
        }
        if let Some(source) = &headers.kv_from {
            field(&mut out, "Kv-From", source.as_bytes());
        }
        if let Some(id) = headers.last_event_id.as_ref().or(self.last_event_id.as_ref()) {
            field(&mut out, "Last-Event-Id", id);
        }
        match (headers.priority, &self.priority) {
            (Some(priority), _) => field(&mut out, "Priority", &[b'0' + priority.min(MAX_PRIORITY)]),
            (None, Some(own)) => field(&mut out, "Priority", own),
            (None, None) => {}
        }
        out.extend_from_slice(b"\r\n");
        out
    }
}

fn is_forwarded(head: &RequestHead, name: &str) -> bool {
    let is_reserved = RESERVED_FIELDS.iter().any(|reserved| reserved.eq_ignore_ascii_case(name));
    let is_apart = name.eq_ignore_ascii_case("last-event-id") || name.eq_ignore_ascii_case("priority");
    !is_reserved && !is_apart && !is_hop_by_hop(name) && !head.headers.has_token("connection", name)
}
