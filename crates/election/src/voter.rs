//! The voting side of an elector: to whom this process has granted the role and until when.

use crate::message::BatchId;
use crate::record::{GrantRecord, last_grant};
use crate::settings::{ElectorSettings, FencingToken, Role};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Processes whose releases are kept; a view has fewer members.
const MOST_RELEASES: usize = 64;

/// What a requester wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Request {
    /// A grant under a new token.
    Elect,
    /// A longer grant under the token that it holds.
    Renew,
}

/// A request as it came.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    pub(crate) from: SocketAddr,
    pub(crate) view: u64,
    pub(crate) request_id: u64,
    pub(crate) token: FencingToken,
}

/// What a voter does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The vote goes out now.
    Vote,
    /// The vote goes out when the write is synced.
    VoteOnceStored { batch: BatchId, record: GrantRecord },
    /// The vote already waits for its write.
    Waiting,
    /// No.
    Refuse,
}

#[derive(Clone, Copy, Debug)]
struct Promise {
    holder: SocketAddr,
    token: FencingToken,
    until: Duration,
}

/// A grant whose write is under way.
#[derive(Clone, Copy, Debug)]
struct Pending {
    batch: BatchId,
    asked: Asked,
    /// The asker gave it up meanwhile.
    released: bool,
}

/// The voting side of an elector.
#[derive(Clone, Debug)]
pub(crate) struct Voter {
    role: Role,
    lease: Duration,
    /// The last record written, whether synced or not.
    record: Option<GrantRecord>,
    /// The last record known to be synced.
    synced: Option<GrantRecord>,
    highest_token: FencingToken,
    promise: Option<Promise>,
    pending: Option<Pending>,
    /// The highest token that each process has given up. A renewal that was overtaken by the release does not bring the
    /// grant back.
    released: BTreeMap<SocketAddr, FencingToken>,
    /// The highest token that is known to have been held, rather than only stood under.
    held: FencingToken,
    /// Nothing is granted before: a grant without a record may be forgotten.
    quarantined_until: Duration,
    /// Nobody is elected before: a holder of an earlier view may still act.
    settled_at: Duration,
    /// Nothing is granted in this view and earlier ones.
    sealed: u64,
    next_batch: u64,
}

impl Voter {
    /// A voter after a start, with the records of its log. It takes its last grant as given anew.
    pub(crate) fn recover(settings: &ElectorSettings, records: &[Vec<u8>], now: Duration) -> Self {
        let lease = settings.voter_lease();
        let record = last_grant(settings.role, records);
        let promise =
            record.map(|last| Promise { holder: last.holder, token: last.token, until: now + lease });
        Self {
            role: settings.role,
            lease,
            record,
            synced: record,
            highest_token: record.map_or(FencingToken::default(), |last| last.token),
            promise,
            pending: None,
            released: BTreeMap::new(),
            held: FencingToken::default(),
            quarantined_until: if record.is_some() { now } else { now + lease },
            settled_at: now + lease,
            sealed: 0,
            next_batch: 1,
        }
    }

    /// The highest token known here.
    pub(crate) fn highest_token(&self) -> FencingToken {
        self.highest_token
    }

    /// The record that a rewritten log must hold.
    pub(crate) fn record(&self) -> Option<GrantRecord> {
        self.record
    }

    /// Begins to vote in a new view.
    pub(crate) fn enter_view(&mut self, now: Duration) {
        self.settled_at = self.settled_at.max(now + self.lease);
    }

    /// Stops granting in `view` and earlier ones.
    pub(crate) fn seal(&mut self, view: u64) {
        self.sealed = self.sealed.max(view);
    }

    /// Whether `candidate` would get a vote under a new token.
    pub(crate) fn would_elect(&self, now: Duration, view: u64, candidate: SocketAddr) -> bool {
        view > self.sealed
            && now >= self.quarantined_until
            && now >= self.settled_at
            && self.pending.is_none()
            && self.is_free_for(now, candidate)
    }

    /// Decides on a request made in the view of this process.
    pub(crate) fn consider(&mut self, now: Duration, request: Request, asked: Asked) -> Verdict {
        if asked.view <= self.sealed || now < self.quarantined_until {
            return Verdict::Refuse;
        }
        if let Some(pending) = &mut self.pending {
            let repeated = pending.asked.from == asked.from && pending.asked.token == asked.token;
            if !repeated {
                return Verdict::Refuse;
            }
            pending.asked = asked;
            return Verdict::Waiting;
        }
        if self.extend(now, asked) {
            return Verdict::Vote;
        }
        let allowed = match request {
            Request::Elect => now >= self.settled_at && self.is_new_in_view(asked),
            Request::Renew => self.is_current(asked),
        };
        if !allowed || !self.is_free_for(now, asked.from) {
            return Verdict::Refuse;
        }
        self.write(now, asked)
    }

    /// A write is synced: the grant begins. Returns the request to answer, unless it was given up.
    pub(crate) fn stored(&mut self, now: Duration, batch: BatchId) -> Option<Asked> {
        let pending = self.pending.take_if(|pending| pending.batch == batch)?;
        self.synced = self.record;
        if pending.released {
            return None;
        }
        let Asked { from: holder, token, view, .. } = pending.asked;
        self.promise = Some(Promise { holder, token, until: now + self.lease });
        (view > self.sealed).then_some(pending.asked)
    }

    /// A write failed: the grant never begins. Returns the request to refuse.
    pub(crate) fn store_failed(&mut self, batch: BatchId) -> Option<Asked> {
        self.pending.take_if(|pending| pending.batch == batch).map(|pending| pending.asked)
    }

    /// Whether no later token than `token` is known to have been held, and `holder` has not given it up.
    pub(crate) fn is_latest(&self, holder: SocketAddr, token: FencingToken) -> bool {
        let has_given_up = self.released.get(&holder).is_some_and(|released| *released >= token);
        token >= self.held && !has_given_up
    }

    /// The holder and the token of a grant that runs.
    pub(crate) fn granted_to(&self, now: Duration) -> Option<(SocketAddr, FencingToken)> {
        let running = self.promise.filter(|promise| promise.until > now);
        running.map(|promise| (promise.holder, promise.token))
    }

    /// Some process acts, or has acted, as the holder of `token`.
    pub(crate) fn note_held(&mut self, token: FencingToken) {
        self.held = self.held.max(token);
    }

    /// `from` gives up what it was granted under `token`.
    pub(crate) fn release(&mut self, from: SocketAddr, token: FencingToken) {
        self.highest_token = self.highest_token.max(token);
        if self.released.len() < MOST_RELEASES || self.released.contains_key(&from) {
            let released = self.released.entry(from).or_default();
            *released = (*released).max(token);
        }
        self.promise.take_if(|promise| promise.holder == from && promise.token == token);
        if let Some(pending) = &mut self.pending {
            pending.released |= pending.asked.from == from && pending.asked.token == token;
        }
    }

    /// The last holder of an earlier view has given up the role after this view was chosen.
    pub(crate) fn settle(&mut self, now: Duration) {
        self.settled_at = self.settled_at.min(now);
    }

    /// Extends a running grant of the asker under the same token.
    fn extend(&mut self, now: Duration, asked: Asked) -> bool {
        let until = now + self.lease;
        let promise = self.promise.as_mut();
        let running = promise.filter(|promise| promise.until > now);
        let same = running.filter(|promise| promise.holder == asked.from && promise.token == asked.token);
        same.map(|promise| promise.until = until).is_some()
    }

    fn is_free_for(&self, now: Duration, asker: SocketAddr) -> bool {
        self.promise.is_none_or(|promise| promise.until <= now || promise.holder == asker)
    }

    fn is_new_in_view(&self, asked: Asked) -> bool {
        asked.token > self.highest_token && asked.token.view() == asked.view
    }

    /// Whether a renewal is that of the holder, as far as this process knows: no later token is known to have been held, and
    /// the asker has not given its own up.
    ///
    /// The highest token known here may be another one, or the record may name another process under the same token, where
    /// others stood for the role at the same time: who renews a token has won it, with the votes of a majority. This guards
    /// progress alone. A holder is followed only by an election, and [`Voter::is_free_for`] keeps grants that run.
    fn is_current(&self, asked: Asked) -> bool {
        self.is_latest(asked.from, asked.token) && asked.token.view() <= asked.view
    }

    /// Grants what was asked for. The record stays that of the highest token, so that this process never stands for a token
    /// again: a renewal below it is granted without a record. Should this process forget it in a restart, it elects nobody
    /// for a lease, in which the grant ends.
    fn write(&mut self, now: Duration, asked: Asked) -> Verdict {
        let record = GrantRecord { role: self.role, token: asked.token, holder: asked.from };
        if self.synced == Some(record) || asked.token < self.highest_token {
            self.promise = Some(Promise { holder: asked.from, token: asked.token, until: now + self.lease });
            return Verdict::Vote;
        }
        let batch = BatchId(self.next_batch);
        self.next_batch += 1;
        self.highest_token = asked.token;
        self.record = Some(record);
        self.pending = Some(Pending { batch, asked, released: false });
        Verdict::VoteOnceStored { batch, record }
    }
}
