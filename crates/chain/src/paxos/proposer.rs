//! The state of a proposer.

use super::ProposalNumber;
use crate::heartbeat::HistoryPosition;
use crate::member::MemberId;
use crate::view::View;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A promise as its proposer keeps it.
#[derive(Clone, Debug)]
pub struct ReceivedPromise {
    /// Who promised.
    pub member: MemberId,
    /// What the acceptor has accepted in a lower proposal.
    pub accepted: Option<Box<(ProposalNumber, View)>>,
    /// The history that it holds.
    pub position: HistoryPosition,
}

/// How far a proposal is.
#[derive(Clone, Debug)]
pub enum Phase {
    /// Promises are gathered.
    Preparing {
        /// The promises so far.
        promises: BTreeMap<SocketAddr, ReceivedPromise>,
        /// Since when they are a majority.
        majority_since: Option<Duration>,
    },
    /// Acceptances are gathered.
    Accepting {
        /// The view.
        view: Box<View>,
        /// Who has accepted it.
        accepted: BTreeSet<SocketAddr>,
    },
}

/// A proposal under way.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its number.
    pub proposal: ProposalNumber,
    /// When it is given up.
    pub deadline: Duration,
    /// How far it is.
    pub phase: Phase,
}

/// The state of a proposer.
#[derive(Debug, Default)]
pub struct Proposer {
    /// The proposal under way.
    pub attempt: Option<Attempt>,
    /// Not before this time is another one begun.
    pub not_before: Duration,
    /// How many failed in a row.
    pub failures: u32,
    /// The highest round seen.
    pub highest_round: u64,
    /// Since when another view is desired.
    pub desired_since: Option<Duration>,
    /// Since when some member has promised a view that was not agreed yet.
    pub sealed_since: Option<Duration>,
}

impl Proposer {
    /// The proposer of a process that starts again: it goes on above every proposal that it may have used before, since its
    /// own promise was on disk before anybody else heard of one.
    pub fn recover(promised: Option<ProposalNumber>) -> Proposer {
        Proposer { highest_round: promised.map_or(0, |proposal| proposal.round), ..Proposer::default() }
    }
}
