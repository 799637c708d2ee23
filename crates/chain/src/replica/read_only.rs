//! Linearizable reads at the tail, and the confirmation that a view is still in force.
//!
//! As read-index in Raft (Ongaro's thesis, section 6.4), without leases or clocks. A view is in force for all requests that
//! arrived before a round of confirmation if, after the round began, a majority of its members says that it has promised no
//! later view: a later view needs promises of a majority, and two majorities share a member.

use super::Replica;
use crate::message::Message;
use crate::request::{RequestId, RequestOutcome};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// A round that no majority has confirmed is repeated after this.
const REPEAT_AFTER: Duration = Duration::from_millis(150);
/// The most pending reads; far more than the operators have in flight.
const MAX_PENDING_READS: usize = 64;

/// A read that waits for a round of confirmation.
#[derive(Debug)]
struct PendingRead {
    /// The process that gets the outcome.
    origin: SocketAddr,
    request_id: RequestId,
    round: u64,
}

/// The reads and the rounds of confirmation in the current view. At most one round is in progress.
#[derive(Debug, Default)]
pub struct ReadOnly {
    pending_reads: Vec<PendingRead>,
    /// The newest round that has begun.
    last_round: u64,
    /// The newest round that a majority has confirmed.
    confirmed_round: u64,
    /// The newest round that a request waits for. One above `last_round` if it came during a round in progress.
    requested_round: u64,
    asked_at: Duration,
    /// The members that have confirmed the round in progress.
    confirmations: BTreeSet<SocketAddr>,
}

impl ReadOnly {
    /// Drops the reads, as on entering a view: the processes that received them send them again. The count of rounds goes on,
    /// so that a late confirmation is recognised.
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
        let is_repeat = self.read_only.pending_reads.iter().any(|read| read.request_id == request_id);
        let is_tail = self.view.tail() == Some(self.identity) && !self.is_sealed();
        if !is_tail || is_repeat || self.read_only.pending_reads.len() >= MAX_PENDING_READS {
            return;
        }
        let round = self.request_confirmation();
        self.read_only.pending_reads.push(PendingRead { origin, request_id, round });
        self.answer_reads();
    }

    /// Requests a round of confirmation that begins now or later. Returns the round.
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
        self.ask_for_confirmation();
    }

    fn current_round_id(&self) -> RequestId {
        RequestId { incarnation: self.incarnation, sequence: self.read_only.last_round }
    }

    /// Asks the members that have not confirmed the round in progress.
    fn ask_for_confirmation(&mut self) {
        self.read_only.asked_at = self.now;
        let (view, request_id) = (self.view.number, self.current_round_id());
        for member in self.view.members.clone() {
            if !self.read_only.confirmations.contains(&member.address) {
                self.outbox.send(member.address, Message::Confirm { view, request_id });
            }
        }
    }

    pub(super) fn repeat_confirmation_if_due(&mut self) {
        let is_due = self.now >= self.read_only.asked_at + REPEAT_AFTER;
        if self.read_only.is_round_in_progress() && is_due {
            self.ask_for_confirmation();
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
        self.answer_reads();
        self.decide_changes();
    }

    /// Answers the reads whose round is confirmed.
    pub(super) fn answer_reads(&mut self) {
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
