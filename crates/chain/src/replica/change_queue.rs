//! Deciding on the changes of the operator. Only the head of a serving view decides.
//!
//! | the change | decision |
//! | --- | --- |
//! | is in the committed history | accepted |
//! | is so old that its header may have been dropped | none: the operator gets "unavailable" |
//! | arrives while another one is uncommitted | none until that one is committed |
//! | builds on the current version and has a higher one | appended; never without bytes |
//! | builds on the current version and has no higher one | stale version |
//! | builds on an older version | conflict |
//! | builds on a version that was never seen here | conflict, once a majority confirms that the view is in force |
//!
//! The refusals in rows 5 and 6 are final, since committed versions only increase. The one in the last row needs the
//! confirmation: a newer view, which this process does not know yet, may have committed that base.

use super::Replica;
use crate::digest::{Blake3, Digest};
use crate::entry::{Entry, EntryHeader};
use crate::message::Message;
use crate::request::{RequestId, RequestOutcome};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The most undecided changes; far more than the operators have in flight.
const MAX_PENDING_CHANGES: usize = 64;
/// An older change is dropped: the process that received it from the operator has answered by then.
const DROP_AFTER: Duration = Duration::from_millis(1_500);

/// A change as a process sends it to the head.
#[derive(Debug)]
pub(super) struct SubmittedChange {
    pub(super) request_id: RequestId,
    pub(super) base: u64,
    pub(super) version: u64,
    pub(super) request_hash: Option<Blake3>,
    pub(super) bytes: Arc<[u8]>,
}

/// A change that is not decided yet.
#[derive(Debug)]
struct PendingChange {
    /// The process that gets the outcome.
    origin: SocketAddr,
    request_id: RequestId,
    base: u64,
    version: u64,
    digest: Digest,
    bytes: Arc<[u8]>,
    received_at: Duration,
    /// The round of confirmation that a refusal waits for.
    confirmation_round: Option<u64>,
}

/// The changes that are not decided yet, in the order of their arrival.
#[derive(Debug, Default)]
pub struct ChangeQueue {
    pending: VecDeque<PendingChange>,
}

impl ChangeQueue {
    /// Drops all changes, as on entering a view: the processes that received them send them again.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

/// What to do with a change.
enum Decision {
    Respond(RequestOutcome),
    Append,
    Wait,
    ConfirmView,
}

impl Replica {
    pub(super) fn on_submit(&mut self, origin: SocketAddr, change: SubmittedChange) {
        let SubmittedChange { request_id, base, version, request_hash, bytes } = change;
        let is_repeat = self.change_queue.pending.iter().any(|pending| pending.request_id == request_id);
        let is_head = self.view.head() == Some(self.identity) && !self.is_sealed();
        if !is_head || is_repeat || self.change_queue.pending.len() >= MAX_PENDING_CHANGES {
            return;
        }
        // The digest is computed here: nothing depends on what another process claims about the bytes.
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

    /// Decides on all changes that can be decided now.
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

    /// Does what was decided on a change. Returns its outcome, if there is one already.
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
            // Without bytes it was computed from another base than the one that is current by now. The process that received
            // it cancels it and computes it again.
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
