//! The lease held by this process, and its renewals in flight.

use crate::quorum::majority_of;
use crate::token::FencingToken;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of tracked renewals in flight. Older ones are dropped: a majority of responses to a
/// later renewal extends the lease further.
const MAX_RENEWALS_IN_FLIGHT: usize = 8;

/// A renewal that has not been granted by a majority yet.
#[derive(Clone, Debug)]
struct Renewal {
    request_id: u64,
    /// A time at or before the sending of the request. The renewed lease starts here.
    sent_at: Duration,
    votes: BTreeSet<SocketAddr>,
}

/// The lease held by this process.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    pub(crate) token: FencingToken,
    /// The time at which the lease ends unless it is renewed.
    pub(crate) expires_at: Duration,
    pub(crate) next_renewal_at: Duration,
    renewals: VecDeque<Renewal>,
}

impl HeldLease {
    /// Creates a lease that was just acquired.
    pub(crate) fn new(token: FencingToken, expires_at: Duration, next_renewal_at: Duration) -> Self {
        Self { token, expires_at, next_renewal_at, renewals: VecDeque::new() }
    }

    /// Adds a renewal that is about to be sent.
    pub(crate) fn start_renewal(&mut self, request_id: u64, sent_at: Duration) {
        if self.renewals.len() >= MAX_RENEWALS_IN_FLIGHT {
            self.renewals.pop_front();
        }
        self.renewals.push_back(Renewal { request_id, sent_at, votes: BTreeSet::new() });
    }

    /// Cancels all renewals in flight, since their votes belong to an earlier view.
    pub(crate) fn cancel_renewals(&mut self) {
        self.renewals.clear();
    }

    /// Records a member's vote for a renewal. With votes from a majority of the members, the lease is
    /// extended to `lease_duration` after the renewal's `sent_at`, so that it ends at the holder before it
    /// ends at the voters.
    pub(crate) fn record_vote(
        &mut self, voter: SocketAddr, request_id: u64, member_count: usize, lease_duration: Duration,
    ) {
        let position = self.renewals.iter().position(|renewal| renewal.request_id == request_id);
        let Some(index) = position else { return };
        let Some(renewal) = self.renewals.get_mut(index) else { return };
        renewal.votes.insert(voter);
        if renewal.votes.len() < majority_of(member_count) {
            return;
        }
        self.expires_at = self.expires_at.max(renewal.sent_at + lease_duration);
        self.renewals.drain(..=index);
    }
}
