//! The requests that this process has received from operators. Each is sent to the head or the tail and
//! answered within a bounded time.
//!
//! A request is sent again until its outcome arrives or it times out, since messages may be lost and views
//! change. Resending is safe, because the head recognises a change that is already in the history.

use super::Replica;
use crate::action::OperatorResponse;
use crate::digest::{Blake3, Digest};
use crate::entry::EntryHeader;
use crate::message::Message;
use crate::request::{OperatorRequestId, RequestId, RequestOutcome};
use lugwharf_invariants::{Invariant, check};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A request without an outcome is sent again after this time.
const RESEND_AFTER: Duration = Duration::from_millis(300);
/// The request timeout of a process without a quorum. It is short so that the operator retries at another
/// process soon.
const NO_QUORUM_TIMEOUT: Duration = Duration::from_millis(350);
/// The maximum number of pending requests, which is far more than operators have in flight.
const MAX_PENDING_REQUESTS: usize = 128;

/// The operation that a request asks for.
#[derive(Debug)]
enum Operation {
    Submit {
        base: u64,
        version: u64,
        digest: Digest,
        bytes: Arc<[u8]>,
    },
    Read {
        /// The version reported by the tail. The response is sent once this process knows a configuration
        /// that is at least as new.
        min_version: Option<u64>,
    },
}

/// A request without a response.
#[derive(Debug)]
struct PendingRequest {
    operation: Operation,
    received_at: Duration,
    /// The newest committed version that this process knew when the request arrived.
    known_version: u64,
    last_sent: Option<SentRequest>,
}

/// The last time that a request was sent.
#[derive(Debug)]
struct SentRequest {
    /// The head or the tail of the view.
    to: SocketAddr,
    /// The number of the view.
    view: u64,
    sent_at: Duration,
}

/// The requests without a response.
#[derive(Debug, Default)]
pub struct PendingRequests {
    requests: BTreeMap<OperatorRequestId, PendingRequest>,
}

impl Replica {
    pub(super) fn submit(
        &mut self, id: OperatorRequestId, base: u64, version: u64, request_hash: Option<Blake3>,
        bytes: Arc<[u8]>,
    ) {
        let digest = Digest::of_request(&bytes, request_hash);
        let resent = self.history.find(version, base, digest);
        if resent.is_some_and(|header| header.index <= self.commit_index) {
            return self.outbox.respond(id, OperatorResponse::Accepted { version });
        }
        self.add_request(id, Operation::Submit { base, version, digest, bytes });
    }

    pub(super) fn read(&mut self, id: OperatorRequestId) {
        self.add_request(id, Operation::Read { min_version: None });
    }

    pub(super) fn cancel(&mut self, id: OperatorRequestId) {
        self.pending_requests.requests.remove(&id);
    }

    fn add_request(&mut self, id: OperatorRequestId, operation: Operation) {
        let requests = &mut self.pending_requests.requests;
        if requests.len() >= MAX_PENDING_REQUESTS {
            return self.outbox.respond(id, OperatorResponse::Unavailable);
        }
        let known_version = self.newest_committed.config_version();
        let received_at = self.now;
        requests.insert(id, PendingRequest { operation, received_at, known_version, last_sent: None });
        let count = requests.len();
        check(Invariant::WaitersBounded, count <= MAX_PENDING_REQUESTS, || format!("{count} requests"));
        self.drive_pending_request(id);
    }

    /// Sends the requests that are due, and answers those that have timed out.
    pub(super) fn drive_pending_requests(&mut self) {
        let ids: Vec<OperatorRequestId> = self.pending_requests.requests.keys().copied().collect();
        for id in ids {
            self.drive_pending_request(id);
        }
    }

    fn drive_pending_request(&mut self, id: OperatorRequestId) {
        let Some(request) = self.pending_requests.requests.get(&id) else { return };
        let timeout = if self.has_quorum() { self.settings.request_timeout } else { NO_QUORUM_TIMEOUT };
        if self.now >= request.received_at + timeout {
            self.pending_requests.requests.remove(&id);
            return self.outbox.respond(id, OperatorResponse::Unavailable);
        }
        if let Operation::Read { min_version: Some(min_version) } = request.operation {
            return self.respond_to_read(id, min_version);
        }
        let target = match request.operation {
            Operation::Submit { .. } => self.view.head(),
            Operation::Read { .. } => self.view.tail(),
        };
        let Some(target) = target.filter(|_| self.is_ready && self.view.may_serve()) else { return };
        let awaits_outcome = request.last_sent.as_ref().is_some_and(|sent| {
            let is_same_target = sent.to == target.address && sent.view == self.view.number;
            is_same_target && self.now < sent.sent_at + RESEND_AFTER
        });
        if !awaits_outcome {
            self.send_request(id, target.address);
        }
    }

    fn send_request(&mut self, id: OperatorRequestId, to: SocketAddr) {
        let Some(request) = self.pending_requests.requests.get_mut(&id) else { return };
        request.last_sent = Some(SentRequest { to, view: self.view.number, sent_at: self.now });
        let request_id = RequestId { incarnation: self.incarnation, sequence: id.0 };
        let message = match &request.operation {
            Operation::Submit { base, version, digest, bytes } => Message::Submit {
                request_id,
                base: *base,
                version: *version,
                digest: digest.fnv,
                bytes: bytes.clone(),
                request_hash: digest.request_hash,
                forwarded: false,
            },
            Operation::Read { .. } => Message::Read { request_id, forwarded: false },
        };
        let next_hop = self.next_hop(to);
        self.outbox.send(next_hop, message);
    }

    pub(super) fn on_outcome(&mut self, from: SocketAddr, request_id: RequestId, outcome: RequestOutcome) {
        if request_id.incarnation != self.incarnation {
            return self.forward_outcome(request_id, outcome);
        }
        let id = OperatorRequestId(request_id.sequence);
        let Some(request) = self.pending_requests.requests.get_mut(&id) else { return };
        let response = match (outcome, &mut request.operation) {
            (RequestOutcome::Accepted, Operation::Submit { version, .. }) => {
                OperatorResponse::Accepted { version: *version }
            }
            (RequestOutcome::Conflict { current }, Operation::Submit { .. }) => {
                OperatorResponse::Conflict { current }
            }
            (RequestOutcome::StaleVersion { current }, Operation::Submit { .. }) => {
                OperatorResponse::StaleVersion { current }
            }
            (RequestOutcome::Newest { version: Some(version) }, Operation::Read { min_version }) => {
                *min_version = Some(version);
                return self.fetch_config(from, id, version);
            }
            (RequestOutcome::Newest { version: None }, Operation::Read { .. }) => {
                OperatorResponse::Config(self.newest_committed.config.clone())
            }
            _ => return,
        };
        self.pending_requests.requests.remove(&id);
        self.outbox.respond(id, response);
    }

    /// Responds to a read if this process knows a configuration that is new enough.
    fn respond_to_read(&mut self, id: OperatorRequestId, min_version: u64) {
        let newest = self.newest_committed.config.clone();
        let config = newest.filter(|config| config.version >= min_version);
        if config.is_some() {
            let request = self.pending_requests.requests.remove(&id);
            let known_version = request.map_or(0, |request| request.known_version);
            let details = || format!("{min_version} after {known_version}");
            check(Invariant::ReadIsNewest, min_version >= known_version, details);
            self.outbox.respond(id, OperatorResponse::Config(config));
        }
    }

    /// Responds to a read, or requests the configuration for which the read waits.
    fn fetch_config(&mut self, from: SocketAddr, id: OperatorRequestId, min_version: u64) {
        self.respond_to_read(id, min_version);
        if self.pending_requests.requests.contains_key(&id) {
            let above = self.newest_committed.config_version();
            self.outbox.send(from, Message::ConfigRequest { above });
        }
    }

    /// Responds to the pending changes that are identical to this committed entry.
    pub(super) fn accept_pending_submits(&mut self, header: EntryHeader) {
        let is_this_entry = |request: &PendingRequest| match request.operation {
            Operation::Submit { base, version, digest, .. } => {
                (header.base, header.version) == (base, version) && header.digest.matches(&digest)
            }
            Operation::Read { .. } => false,
        };
        let requests = self.pending_requests.requests.iter();
        let accepted = requests.filter(|(_, request)| is_this_entry(request)).map(|(id, _)| *id);
        let accepted: Vec<OperatorRequestId> = accepted.collect();
        for id in accepted {
            self.pending_requests.requests.remove(&id);
            self.outbox.respond(id, OperatorResponse::Accepted { version: header.version });
        }
    }
}
