//! The voting state of an elector: the process to which it has granted a lease, and until when.

use crate::action::BatchId;
use crate::lease::LeaseHolder;
use crate::record::{GrantRecord, last_grant};
use crate::settings::{ElectorSettings, Role};
use crate::token::FencingToken;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of processes whose released tokens are tracked. A view has fewer members.
const MAX_RELEASED_TOKENS: usize = 64;

/// The kind of a [`VoteRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Requests a lease under a new token.
    Election,
    /// Requests an extension of the lease under the token that the requester holds.
    Renewal,
}

/// A request for this process's vote.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoteRequest {
    pub(crate) kind: RequestKind,
    pub(crate) requester: SocketAddr,
    pub(crate) view: u64,
    pub(crate) request_id: u64,
    pub(crate) token: FencingToken,
}

impl VoteRequest {
    /// Returns the requester and its token as a lease holder.
    fn holder(&self) -> LeaseHolder {
        LeaseHolder { address: self.requester, token: self.token }
    }
}

/// The decision of a voter on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum VoteDecision {
    /// The request is granted immediately.
    Grant,
    /// The request is granted once `record` is synced.
    GrantOncePersisted { batch: BatchId, record: GrantRecord },
    /// The same request is already waiting for its record to be synced.
    AlreadyPending,
    /// The request is denied.
    Deny,
}

/// A lease that this process has granted.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    holder: LeaseHolder,
    expires_at: Duration,
}

/// A lease that is granted once its record is synced.
#[derive(Clone, Copy, Debug)]
struct PendingGrant {
    batch: BatchId,
    request: VoteRequest,
    /// Whether the requester has released the lease in the meantime.
    is_released: bool,
}

/// The voting state of an elector.
#[derive(Clone, Debug)]
pub(crate) struct Voter {
    role: Role,
    lease_duration: Duration,
    /// The last record written, whether synced or not.
    last_record: Option<GrantRecord>,
    /// The last record known to be synced.
    synced_record: Option<GrantRecord>,
    highest_token: FencingToken,
    granted: Option<GrantedLease>,
    pending: Option<PendingGrant>,
    /// The highest token that each process has released. It prevents a renewal that was overtaken by the
    /// release from reviving the lease.
    released_tokens: BTreeMap<SocketAddr, FencingToken>,
    /// The highest token known to have been held, as opposed to merely having been proposed by a candidate.
    highest_held_token: FencingToken,
    /// Nothing is granted before this time, since a lease granted without a record may have been lost in a
    /// restart.
    no_grants_before: Duration,
    /// No process is elected before this time, since a holder of an earlier view may still act.
    no_elections_before: Duration,
    /// Nothing is granted in this view or earlier ones.
    sealed_view: u64,
    next_batch: u64,
}

impl Voter {
    /// Restores a voter after a process start from the records of its log. The last lease that it granted
    /// restarts at `now`.
    pub(crate) fn recover(settings: &ElectorSettings, records: &[Vec<u8>], now: Duration) -> Self {
        let lease_duration = settings.voter_lease_duration();
        let record = last_grant(settings.role, records);
        let granted = record.map(|last| GrantedLease {
            holder: LeaseHolder { address: last.holder, token: last.token },
            expires_at: now + lease_duration,
        });
        Self {
            role: settings.role,
            lease_duration,
            last_record: record,
            synced_record: record,
            highest_token: record.map_or(FencingToken::default(), |last| last.token),
            granted,
            pending: None,
            released_tokens: BTreeMap::new(),
            highest_held_token: FencingToken::default(),
            no_grants_before: if record.is_some() { now } else { now + lease_duration },
            no_elections_before: now + lease_duration,
            sealed_view: 0,
            next_batch: 1,
        }
    }

    /// Returns the highest token known to this voter.
    pub(crate) fn highest_token(&self) -> FencingToken {
        self.highest_token
    }

    /// Returns the record that a rewritten log must contain.
    pub(crate) fn last_record(&self) -> Option<GrantRecord> {
        self.last_record
    }

    /// Starts voting in a new view. No process is elected for one lease duration, since the holder of the
    /// previous view may still act.
    pub(crate) fn enter_view(&mut self, now: Duration) {
        self.no_elections_before = self.no_elections_before.max(now + self.lease_duration);
    }

    /// Stops granting in `view` and in earlier views.
    pub(crate) fn seal(&mut self, view: u64) {
        self.sealed_view = self.sealed_view.max(view);
    }

    /// Returns whether this voter would vote for `candidate` under a new token of `view`.
    pub(crate) fn would_vote_for(&self, now: Duration, view: u64, candidate: SocketAddr) -> bool {
        view > self.sealed_view
            && now >= self.no_grants_before
            && now >= self.no_elections_before
            && self.pending.is_none()
            && self.is_free_for(now, candidate)
    }

    /// Decides on a request made in the current view.
    pub(crate) fn decide(&mut self, now: Duration, request: VoteRequest) -> VoteDecision {
        if request.view <= self.sealed_view || now < self.no_grants_before {
            return VoteDecision::Deny;
        }
        if let Some(pending) = &mut self.pending {
            if pending.request.holder() != request.holder() {
                return VoteDecision::Deny;
            }
            // The response carries the id of the latest of several equal requests.
            pending.request = request;
            return VoteDecision::AlreadyPending;
        }
        if self.extend_granted(now, request) {
            return VoteDecision::Grant;
        }
        let is_allowed = match request.kind {
            RequestKind::Election => now >= self.no_elections_before && self.is_new_token(request),
            RequestKind::Renewal => self.is_renewable(request),
        };
        if !is_allowed || !self.is_free_for(now, request.requester) {
            return VoteDecision::Deny;
        }
        self.grant(now, request)
    }

    /// Records that a write is synced, which starts the lease. Returns the request to grant; `None` if the
    /// lease was released or the view was sealed in the meantime.
    pub(crate) fn record_persisted(&mut self, now: Duration, batch: BatchId) -> Option<VoteRequest> {
        let pending = self.pending.take_if(|pending| pending.batch == batch)?;
        self.synced_record = self.last_record;
        if pending.is_released {
            return None;
        }
        let request = pending.request;
        self.start_lease(now, request.holder());
        (request.view > self.sealed_view).then_some(request)
    }

    /// Records that a write failed, so that its lease never starts. Returns the request to deny.
    pub(crate) fn record_persist_failed(&mut self, batch: BatchId) -> Option<VoteRequest> {
        self.pending.take_if(|pending| pending.batch == batch).map(|pending| pending.request)
    }

    /// Returns whether no later token is known to have been held and `holder` has not released its token.
    pub(crate) fn is_latest(&self, holder: LeaseHolder) -> bool {
        let released = self.released_tokens.get(&holder.address);
        let has_released = released.is_some_and(|released| *released >= holder.token);
        holder.token >= self.highest_held_token && !has_released
    }

    /// Returns the holder of the lease that this voter has granted, unless the lease has expired at `now`.
    pub(crate) fn granted_to(&self, now: Duration) -> Option<LeaseHolder> {
        self.granted.filter(|granted| granted.expires_at > now).map(|granted| granted.holder)
    }

    /// Records that some process acts or has acted as the holder under `token`.
    pub(crate) fn record_held(&mut self, token: FencingToken) {
        self.highest_held_token = self.highest_held_token.max(token);
    }

    /// Ends the lease granted to `holder`, including one whose record is not synced yet.
    pub(crate) fn release(&mut self, holder: LeaseHolder) {
        self.highest_token = self.highest_token.max(holder.token);
        let known = self.released_tokens.contains_key(&holder.address);
        if known || self.released_tokens.len() < MAX_RELEASED_TOKENS {
            let released = self.released_tokens.entry(holder.address).or_default();
            *released = (*released).max(holder.token);
        }
        self.granted.take_if(|granted| granted.holder == holder);
        if let Some(pending) = &mut self.pending {
            pending.is_released |= pending.request.holder() == holder;
        }
    }

    /// Allows elections from `now` on, because the last holder of an earlier view has released the role in
    /// this view.
    pub(crate) fn allow_elections(&mut self, now: Duration) {
        self.no_elections_before = self.no_elections_before.min(now);
    }

    /// Extends the requester's unexpired lease under the same token. Returns whether there is such a lease.
    fn extend_granted(&mut self, now: Duration, request: VoteRequest) -> bool {
        let is_granted = self.granted_to(now) == Some(request.holder());
        if is_granted {
            self.start_lease(now, request.holder());
        }
        is_granted
    }

    /// Returns whether no other process has an unexpired lease from this voter.
    fn is_free_for(&self, now: Duration, requester: SocketAddr) -> bool {
        self.granted_to(now).is_none_or(|holder| holder.address == requester)
    }

    /// Returns whether the token is larger than all tokens known to this voter and belongs to the requester's
    /// view.
    fn is_new_token(&self, request: VoteRequest) -> bool {
        request.token > self.highest_token && request.token.view() == request.view
    }

    /// Returns whether, as far as this process knows, the renewal comes from the current holder: no later
    /// token is known to have been held, and the requester has not released its token.
    ///
    /// After concurrent campaigns, the highest known token may be a different one, or the record may name
    /// another process under the same token. The renewal is nevertheless valid, since a process that renews a
    /// token has won it with the votes of a majority. This check only serves progress, not safety: a new
    /// holder requires an election, and [`Voter::is_free_for`] protects unexpired leases.
    fn is_renewable(&self, request: VoteRequest) -> bool {
        self.is_latest(request.holder()) && request.token.view() <= request.view
    }

    /// Grants a request.
    ///
    /// The persisted record is always that of the highest token, so that this process never campaigns under
    /// the same token twice. A renewal below the highest token is therefore granted without a record. If that
    /// grant is lost in a restart, this process elects no process for one lease duration, during which
    /// the granted lease expires.
    fn grant(&mut self, now: Duration, request: VoteRequest) -> VoteDecision {
        let record = GrantRecord { role: self.role, token: request.token, holder: request.requester };
        if self.synced_record == Some(record) || request.token < self.highest_token {
            self.start_lease(now, request.holder());
            return VoteDecision::Grant;
        }
        let batch = BatchId(self.next_batch);
        self.next_batch += 1;
        self.highest_token = request.token;
        self.last_record = Some(record);
        self.pending = Some(PendingGrant { batch, request, is_released: false });
        VoteDecision::GrantOncePersisted { batch, record }
    }

    fn start_lease(&mut self, now: Duration, holder: LeaseHolder) {
        self.granted = Some(GrantedLease { holder, expires_at: now + self.lease_duration });
    }
}
