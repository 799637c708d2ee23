//! Linearizable reads at the tail, and the confirmation that a view is current.
//!
//! Reads work like read-index in Raft (Ongaro's thesis, section 6.4), without leases or clocks. A
//! confirmation round proves that a view was current for all requests that arrived before the round began:
//! after that, a majority of the members has stated that it has promised no later view. A later view needs
//! promises of a majority, and any two majorities have a member in common.

use super::Replica;
use crate::message::Message;
use crate::request::{RequestId, RequestOutcome};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// A round that was not confirmed by a majority is repeated after this time.
const REPEAT_AFTER: Duration = Duration::from_millis(150);
/// The maximum number of pending reads, which is far more than operators have in flight.
const MAX_PENDING_READS: usize = 64;

/// A read that waits for a confirmation round.
#[derive(Debug)]
struct PendingRead {
    /// The process to which the outcome is sent.
    origin: SocketAddr,
    request_id: RequestId,
    round: u64,
}

/// The pending reads and the confirmation rounds of the current view. At most one round is in progress.
#[derive(Debug, Default)]
pub struct ReadOnly {
    pending_reads: Vec<PendingRead>,
    /// The newest round that has begun.
    last_round: u64,
    /// The newest round that a majority has confirmed.
    confirmed_round: u64,
    /// The newest round for which a request waits. Equal to `last_round + 1` if the request arrived during a
    /// round in progress.
    requested_round: u64,
    round_sent_at: Duration,
    /// The members that have confirmed the round in progress.
    confirmations: BTreeSet<SocketAddr>,
}

impl ReadOnly {
    /// Drops the pending reads when a view is entered. The processes that received the reads
    /// from operators send them again. Round numbers continue, so that late confirmations are recognised as
    /// stale.
    pub fn reset(&mut self) {
        self.pending_reads.clear();
        self.confirmations.clear();
        self.confirmed_round = self.last_round;
        self.requested_round = self.last_round;
    }

    fn is_round_in_progress(&self) -> bool {
        self.last_round > self.confirmed_round
    }
}

impl Replica {
    pub(super) fn on_read(&mut self, origin: SocketAddr, request_id: RequestId) {
        let is_duplicate = self.read_only.pending_reads.iter().any(|read| read.request_id == request_id);
        let is_tail = self.view.tail() == Some(self.identity) && !self.is_sealed();
        if !is_tail || is_duplicate || self.read_only.pending_reads.len() >= MAX_PENDING_READS {
            return;
        }
        let round = self.request_confirmation();
        self.read_only.pending_reads.push(PendingRead { origin, request_id, round });
        self.respond_to_confirmed_reads();
    }

    /// Requests a confirmation round that begins now or later. Returns the number of the round.
    pub(super) fn request_confirmation(&mut self) -> u64 {
        self.read_only.requested_round = self.read_only.last_round + 1;
        let round = self.read_only.requested_round;
        self.begin_round_if_requested();
        round
    }

    /// Whether a round was confirmed in the current view.
    pub(super) fn is_confirmed(&self, round: u64) -> bool {
        self.read_only.confirmed_round >= round
    }

    fn begin_round_if_requested(&mut self) {
        let is_requested = self.read_only.requested_round > self.read_only.last_round;
        if self.read_only.is_round_in_progress() || !is_requested {
            return;
        }
        self.read_only.last_round += 1;
        self.read_only.confirmations.clear();
        self.send_confirmation_requests();
    }

    fn current_round_id(&self) -> RequestId {
        RequestId { incarnation: self.incarnation, sequence: self.read_only.last_round }
    }

    /// Sends a request to the members that have not confirmed the round in progress.
    fn send_confirmation_requests(&mut self) {
        self.read_only.round_sent_at = self.now;
        let (view, request_id) = (self.view.number, self.current_round_id());
        for member in self.view.members.clone() {
            if !self.read_only.confirmations.contains(&member.address) {
                self.outbox.send(member.address, Message::Confirm { view, request_id });
            }
        }
    }

    pub(super) fn repeat_confirmation_if_due(&mut self) {
        let is_due = self.now >= self.read_only.round_sent_at + REPEAT_AFTER;
        if self.read_only.is_round_in_progress() && is_due {
            self.send_confirmation_requests();
        }
    }

    pub(super) fn on_confirm(&mut self, from: SocketAddr, view: u64, request_id: RequestId) {
        if view > self.view.number {
            self.outbox.send(from, Message::ViewRequest { above: self.view.number });
        }
        if view == self.view.number && self.is_member() && !self.is_sealed() {
            self.outbox.send(from, Message::Confirmed { view, request_id });
        }
    }

    pub(super) fn on_confirmed(&mut self, from: SocketAddr, view: u64, request_id: RequestId) {
        let is_current = view == self.view.number && request_id == self.current_round_id();
        if !self.read_only.is_round_in_progress() || !is_current || !self.view.has_member_at(from) {
            return;
        }
        self.read_only.confirmations.insert(from);
        if self.read_only.confirmations.len() < self.view.majority() {
            return;
        }
        self.read_only.confirmed_round = self.read_only.last_round;
        self.begin_round_if_requested();
        self.respond_to_confirmed_reads();
        self.decide_changes();
    }

    /// Responds to the reads whose round is confirmed.
    pub(super) fn respond_to_confirmed_reads(&mut self) {
        if !self.is_active_tail() || !self.state_transfer.is_serving {
            return;
        }
        let confirmed_round = self.read_only.confirmed_round;
        let reads = std::mem::take(&mut self.read_only.pending_reads);
        let (confirmed, pending): (Vec<PendingRead>, Vec<PendingRead>) =
            reads.into_iter().partition(|read| read.round <= confirmed_round);
        self.read_only.pending_reads = pending;
        let version = self.history.header(self.commit_index).map(|header| header.version);
        for read in confirmed {
            let outcome = RequestOutcome::Newest { version };
            self.outbox.send(read.origin, Message::Outcome { request_id: read.request_id, outcome });
        }
    }
}
