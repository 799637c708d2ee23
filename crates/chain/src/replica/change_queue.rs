//! Decides on the changes that operators submit. Only the head of a serving view decides.
//!
//! | Change | Decision |
//! | --- | --- |
//! | is in the committed history | accepted |
//! | is so old that its header may have been dropped | none: the request times out as "unavailable" |
//! | arrives while another change is uncommitted | deferred until that change is committed |
//! | is based on the current version and has a higher one | appended, unless it has no bytes |
//! | is based on the current version and has no higher one | stale version |
//! | is based on an older version | conflict |
//! | is based on an unknown version | conflict, once a majority has confirmed that the view is current |
//!
//! The rejections in rows 5 and 6 are final, since committed versions only increase. The rejection in the
//! last row must be confirmed first: a newer view, which this process does not know yet, may have committed
//! that base.

use super::Replica;
use crate::digest::{Blake3, Digest};
use crate::entry::{Entry, EntryHeader};
use crate::message::Message;
use crate::request::{RequestId, RequestOutcome};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The maximum number of undecided changes, which is far more than operators have in flight.
const MAX_PENDING_CHANGES: usize = 64;
/// A change is dropped after this time, when the process that received it from the operator has already
/// responded.
const DROP_AFTER: Duration = Duration::from_millis(1_500);

/// A change as received by the head.
#[derive(Debug)]
pub(super) struct SubmittedChange {
    pub(super) request_id: RequestId,
    pub(super) base: u64,
    pub(super) version: u64,
    pub(super) request_hash: Option<Blake3>,
    pub(super) bytes: Arc<[u8]>,
}

/// A change without a decision.
#[derive(Debug)]
struct PendingChange {
    /// The process to which the outcome is sent.
    origin: SocketAddr,
    request_id: RequestId,
    base: u64,
    version: u64,
    digest: Digest,
    bytes: Arc<[u8]>,
    received_at: Duration,
    /// The confirmation round that must complete before the change is rejected.
    confirmation_round: Option<u64>,
}

/// The changes without a decision, in order of arrival.
#[derive(Debug, Default)]
pub struct ChangeQueue {
    pending: VecDeque<PendingChange>,
}

impl ChangeQueue {
    /// Drops all changes when a view is entered. The processes that received the changes
    /// from operators send them again.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

/// The decision on a change.
enum Decision {
    Respond(RequestOutcome),
    Append,
    Wait,
    ConfirmView,
}

impl Replica {
    pub(super) fn on_submit(&mut self, origin: SocketAddr, change: SubmittedChange) {
        let SubmittedChange { request_id, base, version, request_hash, bytes } = change;
        let is_duplicate = self.change_queue.pending.iter().any(|pending| pending.request_id == request_id);
        let is_head = self.view.head() == Some(self.identity) && !self.is_sealed();
        if !is_head || is_duplicate || self.change_queue.pending.len() >= MAX_PENDING_CHANGES {
            return;
        }
        // The digest is computed from the bytes. The one in the message is not trusted.
        let digest = Digest::of_request(&bytes, request_hash);
        self.change_queue.pending.push_back(PendingChange {
            origin,
            request_id,
            base,
            version,
            digest,
            bytes,
            received_at: self.now,
            confirmation_round: None,
        });
        self.decide_changes();
    }

    /// Decides on all changes that can be decided at this time.
    pub(super) fn decide_changes(&mut self) {
        if !self.is_active_head() || !self.state_transfer.is_serving {
            return;
        }
        for mut change in std::mem::take(&mut self.change_queue.pending) {
            let is_undecidable = self.history.may_have_dropped(change.version, change.base);
            if is_undecidable || self.now > change.received_at + DROP_AFTER {
                continue;
            }
            if let Some(outcome) = self.process_change(&mut change) {
                self.outbox.send(change.origin, Message::Outcome { request_id: change.request_id, outcome });
            } else {
                self.change_queue.pending.push_back(change);
            }
        }
    }

    /// Decides on a change and executes the decision. Returns the outcome, if there is one already.
    fn process_change(&mut self, change: &mut PendingChange) -> Option<RequestOutcome> {
        match self.decide(change) {
            Decision::Respond(outcome) => return Some(outcome),
            Decision::Append => self.append_change(change),
            Decision::ConfirmView => change.confirmation_round = Some(self.request_confirmation()),
            Decision::Wait => {}
        }
        None
    }

    fn decide(&self, change: &PendingChange) -> Decision {
        let resent = self.history.find(change.version, change.base, change.digest);
        if resent.is_some_and(|header| header.index <= self.commit_index) {
            return Decision::Respond(RequestOutcome::Accepted);
        }
        if self.history.last_index() > self.commit_index || !self.disk_healthy() {
            return Decision::Wait;
        }
        let current = self.history.last_version();
        if change.base == current && change.version > current {
            // A change without bytes was sent because its base was not available, but that base has become
            // current. The process that received the change cancels it and computes the configuration again.
            return if change.bytes.is_empty() { Decision::Wait } else { Decision::Append };
        }
        if change.base == current {
            return Decision::Respond(RequestOutcome::StaleVersion { current });
        }
        match change.confirmation_round {
            _ if change.base < current => Decision::Respond(RequestOutcome::Conflict { current }),
            Some(round) if self.is_confirmed(round) => {
                Decision::Respond(RequestOutcome::Conflict { current })
            }
            Some(_) => Decision::Wait,
            None => Decision::ConfirmView,
        }
    }

    fn append_change(&mut self, change: &PendingChange) {
        let header = EntryHeader {
            index: self.history.last_index() + 1,
            version: change.version,
            base: change.base,
            digest: change.digest,
        };
        self.append_entry(Entry { header, bytes: change.bytes.clone() });
    }
}
