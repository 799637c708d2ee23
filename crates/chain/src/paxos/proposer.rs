//! The state of a proposer.

use super::{AcceptedProposal, ProposalNumber};
use crate::heartbeat::HistoryPosition;
use crate::member::MemberId;
use crate::view::View;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A promise that the proposer has received.
#[derive(Clone, Debug)]
pub struct ReceivedPromise {
    /// The acceptor.
    pub member: MemberId,
    /// What the acceptor has accepted in a lower proposal.
    pub accepted: Option<Box<AcceptedProposal>>,
    /// How far the acceptor's history reaches.
    pub position: HistoryPosition,
}

/// The phase of an attempt.
#[derive(Clone, Debug)]
pub enum Phase {
    /// Phase 1: promises are collected.
    Preparing {
        /// The promises so far, by the address of the acceptor.
        promises: BTreeMap<SocketAddr, ReceivedPromise>,
        /// The time at which they became a majority.
        majority_since: Option<Duration>,
    },
    /// Phase 2: acceptances are collected.
    Accepting {
        /// The proposed view.
        view: Box<View>,
        /// The addresses of the acceptors that have accepted it.
        accepted: BTreeSet<SocketAddr>,
    },
}

/// One attempt to get a view decided.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The number of the proposal.
    pub proposal: ProposalNumber,
    /// The time at which the attempt fails.
    pub deadline: Duration,
    /// Its phase.
    pub phase: Phase,
}

/// The state of a proposer.
#[derive(Debug, Default)]
pub struct Proposer {
    /// The attempt in progress.
    pub attempt: Option<Attempt>,
    /// No attempt begins before this time.
    pub backoff_until: Duration,
    /// The number of attempts that failed in a row.
    pub consecutive_failures: u32,
    /// The highest round of any proposal seen.
    pub highest_round: u64,
    /// The time since which this process wants another view.
    pub change_wanted_since: Option<Duration>,
    /// The time since which some member has promised a view that is not decided yet.
    pub sealed_since: Option<Duration>,
}

impl Proposer {
    /// The proposer of a process that restarts. It continues above every number that it may have used before: a proposer
    /// syncs its own promise before it sends a number to anybody.
    pub fn recover(promised: Option<ProposalNumber>) -> Proposer {
        let highest_round = promised.map_or(0, |proposal| proposal.round);
        Proposer { highest_round, ..Proposer::default() }
    }

    /// The attempt in progress, if it is this proposal.
    pub fn attempt_for(&mut self, proposal: ProposalNumber) -> Option<&mut Attempt> {
        self.attempt.as_mut().filter(|attempt| attempt.proposal == proposal)
    }
}
