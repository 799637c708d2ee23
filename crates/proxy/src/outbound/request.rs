//! A client's request as it goes on to servers.

use crate::http::{RequestHead, ResponseHead, field, is_hop_by_hop, length_field, number};
use crate::inbound::request::ClientRequest;
use crate::outbound::connection::ConnectionId;
use bytes::Bytes;
use std::time::Duration;

/// Fields that this program sets itself, or that are between it and the servers: a client's own must not get through.
const OWN_FIELDS: [&str; 6] =
    ["content-length", "expect", "deadline-ms", "expect-instance", "serving-stage", "kv-from"];

/// What a send adds to the client's request.
#[derive(Clone, Debug, Default)]
pub struct AttemptHeaders {
    /// Only the prompt is to be read.
    pub is_prefill: bool,
    /// Where the memory of the prompt is.
    pub kv_from: Option<String>,
    /// The stream goes on behind this event.
    pub last_event_id: Option<Vec<u8>>,
    /// The urgency, from 0 to 9.
    pub priority: Option<u8>,
}

/// The parts of a request that are alike in all its sends.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// The request line and the fields that go along, without the empty line.
    head: Vec<u8>,
    /// The body.
    pub body: Bytes,
    /// The id that the answer has to carry.
    pub request_id: Option<Vec<u8>>,
    /// Whether answers have no body.
    pub is_head: bool,
    /// Connections that have carried it. No other send of it goes on one of these: its answers all bear one id, and a late
    /// second copy of the first one's would pass for the other's.
    pub used_connections: Vec<ConnectionId>,
    /// The client's own `Last-Event-Id` stands apart, since a resumed stream replaces it.
    last_event_id: Option<Vec<u8>>,
    priority: Option<Vec<u8>>,
}

impl OutboundRequest {
    /// Takes over what goes along.
    pub fn new(request: &ClientRequest) -> OutboundRequest {
        let head = &request.head;
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(head.method().as_bytes());
        out.extend_from_slice(b" ");
        out.extend_from_slice(head.target().as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        for (name, value) in head.headers.iter().filter(|(name, _)| goes_along(head, name)) {
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

    /// Whether its connection may carry other requests before and after it. Answers are told apart by their ids, and surplus
    /// ones read over by their lengths: without an id, or with an answer whose length has no body, neither holds.
    pub fn may_share_connections(&self) -> bool {
        self.request_id.is_some() && !self.is_head
    }

    /// Whether an answer is to this request.
    pub fn is_response_to_this(&self, head: &ResponseHead) -> bool {
        match &self.request_id {
            Some(id) => head.headers.get("request-id").is_some_and(|other| other == id.as_slice()),
            None => true,
        }
    }

    /// The head of one send.
    pub fn encode(&self, instance: &str, left: Duration, extra: &AttemptHeaders) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.head.len() + self.body.len().min(INLINE_BODY) + 192);
        out.extend_from_slice(&self.head);
        field(&mut out, "Expect-Instance", instance.as_bytes());
        out.extend_from_slice(b"Deadline-Ms: ");
        number(&mut out, left.as_millis().try_into().unwrap_or(u64::MAX));
        out.extend_from_slice(b"\r\n");
        if extra.is_prefill {
            field(&mut out, "Serving-Stage", b"prefill");
        }
        if let Some(from) = &extra.kv_from {
            field(&mut out, "Kv-From", from.as_bytes());
        }
        if let Some(id) = extra.last_event_id.as_ref().or(self.last_event_id.as_ref()) {
            field(&mut out, "Last-Event-Id", id);
        }
        match (extra.priority, &self.priority) {
            (Some(priority), _) => field(&mut out, "Priority", &[b'0' + priority.min(9)]),
            (None, Some(own)) => field(&mut out, "Priority", own),
            (None, None) => {}
        }
        out.extend_from_slice(b"\r\n");
        out
    }
}

/// Bodies up to this size are written together with the head.
pub const INLINE_BODY: usize = 16 * 1024;

fn goes_along(head: &RequestHead, name: &str) -> bool {
    let is_response_to_this = OWN_FIELDS.iter().any(|own| own.eq_ignore_ascii_case(name));
    let is_apart = name.eq_ignore_ascii_case("last-event-id") || name.eq_ignore_ascii_case("priority");
    !is_response_to_this && !is_apart && !is_hop_by_hop(name) && !head.headers.has_token("connection", name)
}
