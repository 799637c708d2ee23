//! The role as held by this process.

use crate::settings::FencingToken;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Renewals under way; an older one is of no more use than the newest that a majority answers.
const MAX_RENEWALS: usize = 8;

#[derive(Clone, Debug)]
struct Renewal {
    request_id: u64,
    /// Before the request was sent.
    sent: Duration,
    votes: BTreeSet<SocketAddr>,
}

/// The role as held by this process.
#[derive(Clone, Debug)]
pub(crate) struct Tenure {
    pub(crate) token: FencingToken,
    /// The end of the lease unless it is renewed.
    pub(crate) until: Duration,
    pub(crate) next_renewal: Duration,
    renewals: VecDeque<Renewal>,
}

impl Tenure {
    /// A tenure that begins.
    pub(crate) fn new(token: FencingToken, until: Duration, next_renewal: Duration) -> Self {
        Self { token, until, next_renewal, renewals: VecDeque::new() }
    }

    /// Notes a renewal that is about to be sent.
    pub(crate) fn begin_renewal(&mut self, request_id: u64, sent: Duration) {
        if self.renewals.len() >= MAX_RENEWALS {
            self.renewals.pop_front();
        }
        self.renewals.push_back(Renewal { request_id, sent, votes: BTreeSet::new() });
    }

    /// Forgets renewals under way, as their votes are of an earlier view.
    pub(crate) fn drop_renewals(&mut self) {
        self.renewals.clear();
    }

    /// Takes a vote of a member; with a majority of the `members` the lease runs anew from before the request.
    pub(crate) fn vote(&mut self, from: SocketAddr, request_id: u64, members: usize, lease: Duration) {
        let Some(index) = self.renewals.iter().position(|renewal| renewal.request_id == request_id) else {
            return;
        };
        let Some(renewal) = self.renewals.get_mut(index) else { return };
        renewal.votes.insert(from);
        if renewal.votes.len() <= members / 2 {
            return;
        }
        self.until = self.until.max(renewal.sent + lease);
        self.renewals.drain(..=index);
    }
}
