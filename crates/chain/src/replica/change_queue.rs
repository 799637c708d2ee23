//! Judging the changes of the operator. Only the head of a serving view judges.
//!
//! | the change | judged |
//! | --- | --- |
//! | is in the committed history | accepted |
//! | is so old that the history would not know it any more | never judged: its caller gets no clear answer in time |
//! | another one is on its way down the chain | waits until that one is decided |
//! | builds on the current version, its own is higher | written; without bytes never judged |
//! | builds on the current version, its own is not higher | outdated |
//! | builds on an older version | conflict |
//! | builds on a version never seen here | conflict, once a majority says that the view is in force |
//!
//! The refusals in rows 5 and 6 hold for ever, since committed versions only climb.

use super::Replica;
use crate::digest::{Blake3, Digest};
use crate::entry::{Entry, EntryHeader};
use crate::message::Message;
use crate::request::RequestId;
use crate::request::RequestOutcome;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// More changes at a time than the operator has under way, by far.
const MAX_WAITING: usize = 64;
/// The process that the operator called has given up a call that is older.
const FORGET_AFTER: Duration = Duration::from_millis(1_500);

/// A change as a process passes it on to the head.
#[derive(Debug)]
pub(super) struct SubmittedChange {
    pub(super) request_id: RequestId,
    pub(super) base: u64,
    pub(super) version: u64,
    pub(super) request_hash: Option<Blake3>,
    pub(super) bytes: Arc<[u8]>,
}

/// A change that is not judged yet.
#[derive(Debug)]
struct Waiting {
    origin: SocketAddr,
    request_id: RequestId,
    base: u64,
    version: u64,
    digest: Digest,
    bytes: Arc<[u8]>,
    arrived: Duration,
    /// The round of confirmation that a refusal rests on.
    round: Option<u64>,
}

/// The changes that are not judged yet.
#[derive(Debug, Default)]
pub struct Head {
    waiting: VecDeque<Waiting>,
}

impl Head {
    /// A new view: the processes that the operator called send their changes again.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }
}

enum Judgement {
    Decided(RequestOutcome),
    Write,
    Wait,
    Confirm,
}

impl Replica {
    pub(super) fn on_submit(&mut self, origin: SocketAddr, change: SubmittedChange) {
        let SubmittedChange { request_id, base, version, request_hash, bytes } = change;
        let known = self.head.waiting.iter().any(|waiting| waiting.request_id == request_id);
        let mine = self.view.head() == Some(self.identity) && !self.sealed();
        if !mine || known || self.head.waiting.len() >= MAX_WAITING {
            return;
        }
        // What another process says of the bytes is not relied on.
        let digest = Digest::of_request(&bytes, request_hash);
        let arrived = self.now;
        let waiting = Waiting { origin, request_id, base, version, digest, bytes, arrived, round: None };
        self.head.waiting.push_back(waiting);
        self.judge_changes();
    }

    /// Judges all changes that can be judged now.
    pub(super) fn judge_changes(&mut self) {
        if !self.is_active_head() || !self.installation.serving {
            return;
        }
        for mut waiting in std::mem::take(&mut self.head.waiting) {
            let unknowable = self.history.may_have_dropped(waiting.version, waiting.base);
            if unknowable || self.now > waiting.arrived + FORGET_AFTER {
                continue;
            }
            if let Some(outcome) = self.settle_change(&mut waiting) {
                self.send(waiting.origin, Message::Outcome { request_id: waiting.request_id, outcome });
            } else {
                self.head.waiting.push_back(waiting);
            }
        }
    }

    fn settle_change(&mut self, waiting: &mut Waiting) -> Option<RequestOutcome> {
        match self.judge(waiting) {
            Judgement::Decided(outcome) => return Some(outcome),
            Judgement::Write => self.write(waiting),
            Judgement::Confirm => waiting.round = Some(self.want_confirmation()),
            Judgement::Wait => {}
        }
        None
    }

    fn judge(&self, waiting: &Waiting) -> Judgement {
        let committed = self.history.find(waiting.version, waiting.base, waiting.digest);
        if committed.is_some_and(|header| header.index <= self.committed) {
            return Judgement::Decided(RequestOutcome::Accepted);
        }
        if self.history.last_index() > self.committed || !self.disk_healthy() {
            return Judgement::Wait;
        }
        let current = self.history.last_version();
        if waiting.base == current && waiting.version > current {
            // Without its bytes it was computed from another base than the one that is current by now: its caller gives
            // it up and computes it anew.
            return if waiting.bytes.is_empty() { Judgement::Wait } else { Judgement::Write };
        }
        if waiting.base == current {
            return Judgement::Decided(RequestOutcome::StaleVersion { current });
        }
        match waiting.round {
            _ if waiting.base < current => Judgement::Decided(RequestOutcome::Conflict { current }),
            Some(round) if self.confirmed(round) => Judgement::Decided(RequestOutcome::Conflict { current }),
            Some(_) => Judgement::Wait,
            None => Judgement::Confirm,
        }
    }

    fn write(&mut self, waiting: &Waiting) {
        let header = EntryHeader {
            index: self.history.last_index() + 1,
            version: waiting.version,
            base: waiting.base,
            digest: waiting.digest,
        };
        self.append(Entry { header, bytes: waiting.bytes.clone() });
    }
}
