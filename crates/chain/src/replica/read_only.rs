//! Reads at the tail, and whether a view is still in force.
//!
//! A view is in force for what began before a request_id if, after the request_id, a majority of its members says that it
//! has promised no later view: a later view needs promises of a majority, and both would share a member.

use super::Replica;
use crate::message::Message;
use crate::request::RequestId;
use crate::request::RequestOutcome;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// A request_id that was not answered by a majority is repeated after this.
const ASK_AGAIN: Duration = Duration::from_millis(150);
/// More reads at a time than the operator has under way, by far.
const MAX_READS: usize = 64;

/// A read that waits for a confirmation.
#[derive(Debug)]
struct PendingRead {
    origin: SocketAddr,
    request_id: RequestId,
    round: u64,
}

/// Reads and rounds of confirmation in the present view.
#[derive(Debug, Default)]
pub struct Tail {
    reads: Vec<PendingRead>,
    /// The newest round that has begun.
    begun: u64,
    /// The newest round that a majority has confirmed.
    confirmed: u64,
    /// The newest round that is wanted.
    wanted: u64,
    asked: Duration,
    confirmers: BTreeSet<SocketAddr>,
}

impl Tail {
    /// A new view: rounds go on counting, what waits is asked again.
    pub fn clear(&mut self) {
        self.reads.clear();
        self.confirmers.clear();
        self.confirmed = self.begun;
        self.wanted = self.begun;
    }
}

impl Replica {
    pub(super) fn on_read(&mut self, origin: SocketAddr, request_id: RequestId) {
        let known = self.tail.reads.iter().any(|read| read.request_id == request_id);
        let mine = self.view.tail() == Some(self.identity) && !self.sealed();
        if !mine || known || self.tail.reads.len() >= MAX_READS {
            return;
        }
        let round = self.want_confirmation();
        self.tail.reads.push(PendingRead { origin, request_id, round });
        self.answer_reads();
    }

    /// Asks for a round of confirmation that begins now or later. Returns the round.
    pub(super) fn want_confirmation(&mut self) -> u64 {
        self.tail.wanted = self.tail.begun + 1;
        let wanted = self.tail.wanted;
        self.begin_round();
        wanted
    }

    /// Whether a round was confirmed in the present view.
    pub(super) fn confirmed(&self, round: u64) -> bool {
        self.tail.confirmed >= round
    }

    fn begin_round(&mut self) {
        if self.tail.begun > self.tail.confirmed || self.tail.wanted <= self.tail.begun {
            return;
        }
        self.tail.begun += 1;
        self.tail.confirmers.clear();
        self.ask();
    }

    fn ask(&mut self) {
        self.tail.asked = self.now;
        let request_id = RequestId { incarnation: self.incarnation, sequence: self.tail.begun };
        let view = self.view.number;
        for member in self.view.members.clone() {
            if !self.tail.confirmers.contains(&member.address) {
                self.send(member.address, Message::Confirm { view, request_id });
            }
        }
    }

    pub(super) fn confirm_when_due(&mut self) {
        if self.tail.begun > self.tail.confirmed && self.now >= self.tail.asked + ASK_AGAIN {
            self.ask();
        }
    }

    pub(super) fn on_confirm(&mut self, from: SocketAddr, view: u64, request_id: RequestId) {
        if view > self.view.number {
            self.send(from, Message::ViewRequest { above: self.view.number });
        }
        if view == self.view.number && self.is_member() && !self.sealed() {
            self.send(from, Message::Confirmed { view, request_id });
        }
    }

    pub(super) fn on_confirmed(&mut self, from: SocketAddr, view: u64, request_id: RequestId) {
        let open = self.tail.begun > self.tail.confirmed;
        let current = RequestId { incarnation: self.incarnation, sequence: self.tail.begun };
        if !open || view != self.view.number || request_id != current || !self.view.has_member_at(from) {
            return;
        }
        self.tail.confirmers.insert(from);
        if self.tail.confirmers.len() < self.view.majority() {
            return;
        }
        self.tail.confirmed = self.tail.begun;
        self.begin_round();
        self.answer_reads();
        self.judge_changes();
    }

    /// Answers the reads whose round is confirmed.
    pub(super) fn answer_reads(&mut self) {
        if !self.is_active_tail() || !self.installation.serving {
            return;
        }
        let confirmed = self.tail.confirmed;
        let (ready, waiting) =
            std::mem::take(&mut self.tail.reads).into_iter().partition(|read| read.round <= confirmed);
        self.tail.reads = waiting;
        let ready: Vec<PendingRead> = ready;
        let version = self.history.header(self.committed).map(|header| header.version);
        for read in ready {
            let outcome = RequestOutcome::Newest { version };
            self.send(read.origin, Message::Outcome { request_id: read.request_id, outcome });
        }
    }
}
