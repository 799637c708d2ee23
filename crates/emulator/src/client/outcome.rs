//! The outcome of one attempt of a client, and the checks that the response failed.

use crate::content;
use crate::events::Event;
use crate::header_names;
use crate::stamp::{ExpectedBody, Stamp};
use crate::wire::Headers;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete response was received.
    Complete,
    /// The connection was closed before the response was complete.
    Truncated,
    /// No connection could be opened.
    ConnectFailed,
    /// The deadline passed.
    TimedOut,
    /// The received bytes are not an HTTP response.
    Malformed,
}

/// A check that a response failed (guarantees MIXED and ORDER of `docs/PROMISES.md`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailedCheck {
    /// A successful response has no stamp of a server.
    MissingStamp,
    /// The status differs from the status in the stamp.
    StatusMismatch,
    /// The response carries the id of another request.
    RequestIdMismatch,
    /// The body differs from the body that the stamp states.
    BodyMismatch,
    /// The body has a content encoding.
    EncodedBody,
    /// An event was skipped or repeated.
    EventOrder {
        /// The expected id.
        expected: u64,
        /// The received id.
        received: Option<u64>,
    },
    /// The data of an event differs from the data that the stamp states.
    EventMismatch {
        /// The id of the event.
        id: u64,
    },
    /// The stream ended normally before the last event that the stamp states.
    MissingEvents,
    /// The stream ended normally inside an event.
    PartialEvent,
    /// Bytes arrived while no request was waiting for a response.
    SurplusBytes,
    /// The received bytes are not an HTTP response.
    MalformedResponse,
}

/// The outcome of one attempt of a client.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The id of the attempt.
    pub request_id: String,
    /// The hash of method, target and body, as servers compute it.
    pub content_hash: u64,
    /// The host of the request.
    pub host: String,
    /// The path and query.
    pub target: String,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// The id of the last event that the client received in earlier attempts (`Last-Event-Id`); 0 if none.
    pub received_events: u64,
    /// The status of the response, if a head was received.
    pub status: Option<u16>,
    /// The headers of the response.
    pub headers: Headers,
    /// The stamp of the response, if there is a valid one.
    pub stamp: Option<Stamp>,
    /// The received part of the body.
    pub body: Vec<u8>,
    /// The received events, if the response is a stream.
    pub events: Vec<Event>,
    /// How the attempt ended.
    pub ending: AttemptEnd,
    /// The checks that the response failed.
    pub failed_checks: Vec<FailedCheck>,
}

impl AttemptOutcome {
    /// Whether a complete 2xx response was received.
    pub fn is_success(&self) -> bool {
        self.ending == AttemptEnd::Complete && self.status.is_some_and(|status| (200..300).contains(&status))
    }

    /// Whether the response promises that the request was not executed and never will be: status 408, 421,
    /// 429 or 503.
    pub fn promises_not_executed(&self) -> bool {
        self.ending == AttemptEnd::Complete && matches!(self.status, Some(408 | 421 | 429 | 503))
    }

    /// Compares the response with the request and the stamp, and records the checks that fail.
    pub fn check(&mut self) {
        let Some(status) = self.status else {
            return;
        };
        let is_success = (200..300).contains(&status);
        let has_other_id = self.headers.get(header_names::REQUEST_ID).is_some_and(|id| id != self.request_id);
        if has_other_id {
            self.failed_checks.push(FailedCheck::RequestIdMismatch);
        }
        if is_success && self.headers.get(header_names::CONTENT_ENCODING).is_some() {
            self.failed_checks.push(FailedCheck::EncodedBody);
        }
        match self.stamp.clone() {
            None if is_success => self.failed_checks.push(FailedCheck::MissingStamp),
            None => {}
            Some(stamp) => {
                if stamp.status != status {
                    self.failed_checks.push(FailedCheck::StatusMismatch);
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
                    self.failed_checks.push(FailedCheck::BodyMismatch);
                }
            }
            ExpectedBody::Events { last, event_bytes, seed } => self.check_events(last, event_bytes, seed),
        }
    }

    fn check_events(&mut self, last: u64, event_bytes: usize, seed: u64) {
        let mut received = self.received_events;
        for event in &self.events {
            let expected = received + 1;
            if event.id != Some(expected) {
                self.failed_checks.push(FailedCheck::EventOrder { expected, received: event.id });
                return;
            }
            if event.data != content::event_data(seed, expected, event_bytes) {
                self.failed_checks.push(FailedCheck::EventMismatch { id: expected });
            }
            received = expected;
        }
        if self.ending == AttemptEnd::Complete && received != last {
            self.failed_checks.push(FailedCheck::MissingEvents);
        }
    }
}
