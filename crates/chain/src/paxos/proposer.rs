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
    /// The proposal with the highest number that the acceptor has accepted, if any.
    pub accepted: Option<Box<AcceptedProposal>>,
    /// The extent of the acceptor's history.
    pub position: HistoryPosition,
}

/// The Paxos phase of an attempt.
#[derive(Clone, Debug)]
pub enum Phase {
    /// Phase 1: the proposer collects promises.
    Preparing {
        /// The promises received so far, by the address of the acceptor.
        promises: BTreeMap<SocketAddr, ReceivedPromise>,
        /// The time at which the promises became a majority.
        majority_since: Option<Duration>,
    },
    /// Phase 2: the proposer collects acceptances.
    Accepting {
        /// The proposed view.
        view: Box<View>,
        /// The addresses of the acceptors that have accepted the view.
        accepted: BTreeSet<SocketAddr>,
    },
}

/// An attempt to have a view decided.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The number of the proposal.
    pub proposal: ProposalNumber,
    /// The time at which the current phase times out.
    pub deadline: Duration,
    /// The current phase of the attempt.
    pub phase: Phase,
}

/// The state of a proposer.
#[derive(Debug, Default)]
pub struct Proposer {
    /// The attempt in progress.
    pub attempt: Option<Attempt>,
    /// The time before which no attempt begins.
    pub backoff_until: Duration,
    /// The number of consecutive failed attempts.
    pub consecutive_failures: u32,
    /// The highest round of any proposal that this process has seen.
    pub highest_round: u64,
    /// The time since which this process has planned a different view.
    pub change_wanted_since: Option<Duration>,
    /// The time since which a member has promised a view that is not decided yet.
    pub sealed_since: Option<Duration>,
}

impl Proposer {
    /// Restores the proposer after a restart. A proposer syncs its own promise before it sends a proposal
    /// number, so it continues above every number that it may have used.
    pub fn recover(promised: Option<ProposalNumber>) -> Proposer {
        let highest_round = promised.map_or(0, |proposal| proposal.round);
        Proposer { highest_round, ..Proposer::default() }
    }

    /// The attempt in progress, if it has this proposal number.
    pub fn attempt_for(&mut self, proposal: ProposalNumber) -> Option<&mut Attempt> {
        self.attempt.as_mut().filter(|attempt| attempt.proposal == proposal)
    }
}
