//! What a client got, and what is wrong with it.

use crate::content;
use crate::events::Event;
use crate::names;
use crate::stamp::{ExpectedBody, Stamp};
use crate::wire::Headers;

/// How the try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole response came.
    Complete,
    /// The connection ended before the response was whole.
    Truncated,
    /// No connection came up.
    ConnectFailed,
    /// The deadline passed.
    TimedOut,
    /// Bytes came that are no response.
    Malformed,
}

/// What is wrong with a response, by the rules MIXED and ORDER.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A success without a server's stamp.
    MissingStamp,
    /// A status that the server did not give.
    StatusMismatch,
    /// The response belongs to another request.
    RequestIdMismatch,
    /// Not the server's whole body.
    BodyMismatch,
    /// The body is encoded.
    EncodedBody,
    /// An event is missing or repeated.
    EventOrder {
        /// The id that was due.
        due: u64,
        /// The id that came.
        came: Option<u64>,
    },
    /// An event has other data than the server made.
    EventMismatch {
        /// Its id.
        id: u64,
    },
    /// The stream ended as complete before its last event.
    MissingEvents,
    /// A stream that ended as complete holds bytes that make no event.
    PartialEvent,
    /// Bytes came although no request was waiting.
    SurplusBytes,
    /// Bytes came that are no response.
    MalformedResponse,
}

/// What a client got for one try.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The id of the try.
    pub request_id: String,
    /// Hash of what was sent, as servers count it.
    pub content: u64,
    /// The host it went to.
    pub host: String,
    /// Path and query.
    pub target: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The last event that the client had before.
    pub received_events: u64,
    /// The status, if a head came.
    pub status: Option<u16>,
    /// The headers of the response.
    pub headers: Headers,
    /// The stamp, if there is one that can be read.
    pub stamp: Option<Stamp>,
    /// The body.
    pub body: Vec<u8>,
    /// The events, if it is a stream.
    pub events: Vec<Event>,
    /// How it ended.
    pub ending: AttemptEnd,
    /// What is wrong.
    pub findings: Vec<Finding>,
}

impl Outcome {
    /// Whether the whole response is a success.
    pub fn is_success(&self) -> bool {
        self.ending == AttemptEnd::Complete && self.status.is_some_and(|status| (200..300).contains(&status))
    }

    /// Whether the client was told that the request has not run and never will.
    pub fn promises_not_executed(&self) -> bool {
        self.ending == AttemptEnd::Complete && matches!(self.status, Some(408 | 421 | 429 | 503))
    }

    pub(super) fn check(&mut self) {
        let Some(status) = self.status else {
            return;
        };
        let is_success = (200..300).contains(&status);
        let other_id = self.headers.get(names::REQUEST_ID).is_some_and(|id| id != self.request_id);
        if other_id {
            self.findings.push(Finding::RequestIdMismatch);
        }
        if is_success && self.headers.get(names::CONTENT_ENCODING).is_some() {
            self.findings.push(Finding::EncodedBody);
        }
        match self.stamp.clone() {
            None if is_success => self.findings.push(Finding::MissingStamp),
            None => {}
            Some(stamp) => {
                if stamp.status != status {
                    self.findings.push(Finding::StatusMismatch);
                }
                self.check_body(stamp.expected_body);
            }
        }
    }

    fn check_body(&mut self, expected_body: ExpectedBody) {
        match expected_body {
            ExpectedBody::Bytes { length, hash } => {
                let is_same = self.body.len() == length && content::hash(&self.body) == hash;
                if self.ending == AttemptEnd::Complete && !is_same {
                    self.findings.push(Finding::BodyMismatch);
                }
            }
            ExpectedBody::Events { last, event_bytes, seed } => self.check_events(last, event_bytes, seed),
        }
    }

    fn check_events(&mut self, last: u64, event_bytes: usize, seed: u64) {
        let mut seen = self.received_events;
        for event in &self.events {
            let due = seen + 1;
            if event.id != Some(due) {
                self.findings.push(Finding::EventOrder { due, came: event.id });
                return;
            }
            if event.data != content::event_data(seed, due, event_bytes) {
                self.findings.push(Finding::EventMismatch { id: due });
            }
            seen = due;
        }
        if self.ending == AttemptEnd::Complete && seen != last {
            self.findings.push(Finding::MissingEvents);
        }
    }
}
