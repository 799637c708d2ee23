//! The operator's calls at this process: each is passed to the head or the tail and answered within a bounded time.

use super::Replica;
use crate::action::OperatorResponse;
use crate::digest::{Blake3, Digest};
use crate::entry::EntryHeader;
use crate::message::Message;
use crate::request::OperatorRequestId;
use crate::request::RequestId;
use crate::request::RequestOutcome;
use lugwharf_invariants::{Invariant, check};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A call that was passed on without an outcome is passed on again after this.
const PASS_AGAIN: Duration = Duration::from_millis(300);
/// A process that reaches no majority gives up early, so that the operator moves on.
const OUT_OF_TOUCH_TIMEOUT: Duration = Duration::from_millis(350);
/// More calls at a time than the operator has under way, by far.
const MAX_CALLS: usize = 128;

#[derive(Debug)]
enum Wish {
    Submit { base: u64, version: u64, digest: Digest, bytes: Arc<[u8]> },
    Read { at_least: Option<u64> },
}

#[derive(Debug)]
struct Call {
    wish: Wish,
    begun: Duration,
    /// The newest committed version that was known here when it began.
    known: u64,
    /// Where it was passed to, in which view, and when.
    passed: Option<(SocketAddr, u64, Duration)>,
}

/// The calls under way.
#[derive(Debug, Default)]
pub struct Calls {
    calls: BTreeMap<OperatorRequestId, Call>,
}

impl Replica {
    pub(super) fn submit(
        &mut self, ticket: OperatorRequestId, base: u64, version: u64, request_hash: Option<Blake3>,
        bytes: Arc<[u8]>,
    ) {
        let digest = Digest::of_request(&bytes, request_hash);
        let held = self.history.find(version, base, digest);
        if held.is_some_and(|header| header.index <= self.committed) {
            return self.answer(ticket, OperatorResponse::Accepted { version });
        }
        self.begin_call(ticket, Wish::Submit { base, version, digest, bytes });
    }

    pub(super) fn read(&mut self, ticket: OperatorRequestId) {
        self.begin_call(ticket, Wish::Read { at_least: None });
    }

    pub(super) fn abandon(&mut self, ticket: OperatorRequestId) {
        self.calls.calls.remove(&ticket);
    }

    fn begin_call(&mut self, ticket: OperatorRequestId, wish: Wish) {
        if self.calls.calls.len() >= MAX_CALLS {
            return self.answer(ticket, OperatorResponse::Unavailable);
        }
        let known = self.newest.as_ref().map_or(0, |config| config.version);
        self.calls.calls.insert(ticket, Call { wish, begun: self.now, known, passed: None });
        let open = self.calls.calls.len();
        check(Invariant::WaitersBounded, open <= MAX_CALLS, || format!("{open} calls"));
        self.drive_call(ticket);
    }

    /// Passes on what is due, and gives up what is too old.
    pub(super) fn drive_calls(&mut self) {
        let tickets: Vec<OperatorRequestId> = self.calls.calls.keys().copied().collect();
        for ticket in tickets {
            self.drive_call(ticket);
        }
    }

    fn drive_call(&mut self, ticket: OperatorRequestId) {
        let Some(call) = self.calls.calls.get(&ticket) else { return };
        let patience = if self.has_quorum() { self.settings.request_timeout } else { OUT_OF_TOUCH_TIMEOUT };
        if self.now >= call.begun + patience {
            self.calls.calls.remove(&ticket);
            return self.answer(ticket, OperatorResponse::Unavailable);
        }
        if let Wish::Read { at_least: Some(version) } = call.wish {
            return self.answer_read(ticket, version);
        }
        let end = match call.wish {
            Wish::Submit { .. } => self.view.head(),
            Wish::Read { .. } => self.view.tail(),
        };
        let Some(end) = end.filter(|_| self.ready && self.view.may_serve()) else { return };
        let waits = call.passed.is_some_and(|(to, view, at)| {
            to == end.address && view == self.view.number && self.now < at + PASS_AGAIN
        });
        if !waits {
            self.pass(ticket, end.address);
        }
    }

    fn pass(&mut self, ticket: OperatorRequestId, to: SocketAddr) {
        let Some(call) = self.calls.calls.get_mut(&ticket) else { return };
        call.passed = Some((to, self.view.number, self.now));
        let id = RequestId { incarnation: self.incarnation, sequence: ticket.0 };
        let message = match &call.wish {
            Wish::Submit { base, version, digest, bytes } => Message::Submit {
                request_id: id,
                base: *base,
                version: *version,
                digest: digest.fnv,
                bytes: bytes.clone(),
                request_hash: digest.request_hash,
                forwarded: false,
            },
            Wish::Read { .. } => Message::Read { request_id: id, forwarded: false },
        };
        let way = self.way_to(to);
        self.send(way, message);
    }

    pub(super) fn on_outcome(&mut self, from: SocketAddr, request_id: RequestId, outcome: RequestOutcome) {
        if request_id.incarnation != self.incarnation {
            return self.relay_outcome(request_id, outcome);
        }
        let ticket = OperatorRequestId(request_id.sequence);
        let Some(open) = self.calls.calls.get_mut(&ticket) else { return };
        let answer = match (outcome, &mut open.wish) {
            (RequestOutcome::Accepted, Wish::Submit { version, .. }) => {
                OperatorResponse::Accepted { version: *version }
            }
            (RequestOutcome::Conflict { current }, Wish::Submit { .. }) => {
                OperatorResponse::Conflict { current }
            }
            (RequestOutcome::StaleVersion { current }, Wish::Submit { .. }) => {
                OperatorResponse::StaleVersion { current }
            }
            (RequestOutcome::Newest { version: Some(version) }, Wish::Read { at_least }) => {
                *at_least = Some(version);
                return self.fetch(from, ticket, version);
            }
            (RequestOutcome::Newest { version: None }, Wish::Read { .. }) => {
                OperatorResponse::Config(self.newest.clone())
            }
            _ => return,
        };
        self.calls.calls.remove(&ticket);
        self.answer(ticket, answer);
    }

    /// Answers a read once a configuration that is new enough is known here.
    fn answer_read(&mut self, ticket: OperatorRequestId, at_least: u64) {
        let known = self.newest.clone().filter(|config| config.version >= at_least);
        if known.is_some() {
            let call = self.calls.calls.remove(&ticket);
            let before = call.map_or(0, |call| call.known);
            check(Invariant::ReadIsNewest, at_least >= before, || format!("{at_least} after {before}"));
            self.answer(ticket, OperatorResponse::Config(known));
        }
    }

    fn fetch(&mut self, from: SocketAddr, ticket: OperatorRequestId, at_least: u64) {
        self.answer_read(ticket, at_least);
        if self.calls.calls.contains_key(&ticket) {
            let above = self.newest.as_ref().map_or(0, |config| config.version);
            self.send(from, Message::ConfigRequest { above });
        }
    }

    /// An entry is committed: the calls that submitted it are accepted.
    pub(super) fn finish_calls(&mut self, header: EntryHeader) {
        let submitted = |call: &Call| match call.wish {
            Wish::Submit { base, version, digest, .. } => {
                (header.base, header.version) == (base, version) && header.digest.matches(&digest)
            }
            Wish::Read { .. } => false,
        };
        let finished = self.calls.calls.iter().filter(|(_, call)| submitted(call));
        let tickets: Vec<OperatorRequestId> = finished.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            self.calls.calls.remove(&ticket);
            self.answer(ticket, OperatorResponse::Accepted { version: header.version });
        }
    }
}
