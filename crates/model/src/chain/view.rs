//! Views, histories and proposal numbers.

use super::collections::{Sequence, SmallSet};
use super::identity::{INITIAL_MEMBER_COUNT, Identity};
use std::fmt::{Debug, Formatter, Result as FormatResult};

/// The number of distinct changes that operators submit.
pub const CHANGE_COUNT: usize = 2;
/// The maximum number of views that a search may reach, including the first.
pub const MAX_VIEWS: usize = 3;

/// The replicas of a view, from head to tail.
pub type Chain = Sequence<INITIAL_MEMBER_COUNT>;
/// Configuration changes, oldest first. The index of the first one is 1.
pub type History = Sequence<CHANGE_COUNT>;

/// The number of a proposal, ordered by round, then by proposer (Lamport, Paxos Made Simple, section 2.2).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalNumber {
    /// The round, counted from 1.
    pub round: u8,
    /// The identity of the proposer.
    pub proposer: Identity,
}

impl Debug for ProposalNumber {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FormatResult {
        write!(formatter, "{}.{}", self.round, self.proposer)
    }
}

/// An earlier view that may have served.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Ancestor {
    /// The number of the view; 0 for none.
    pub number: u8,
    /// The replicas of its chain.
    pub chain: SmallSet,
}

/// A configuration of the replication group.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct View {
    /// The number of the view, counted from 1; 0 at a machine that knows no view.
    pub number: u8,
    /// The members, which are the acceptors of the next view.
    pub members: SmallSet,
    /// The replicas, from head to tail.
    pub chain: Chain,
    /// The replica whose history the other replicas install.
    pub source: Identity,
    /// The earlier views that may have been the last view to serve, newest first.
    pub lineage: [Ancestor; MAX_VIEWS - 1],
    /// The newest view before those of `lineage`, which is treated as a view that has served; 0 for none.
    pub base: u8,
}

impl View {
    /// The number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Whether `identity` is a replica of the chain.
    pub fn is_in_chain(&self, identity: Identity) -> bool {
        self.chain.position(identity).is_some()
    }

    /// The replica that accepts writes.
    pub fn head(&self) -> Option<Identity> {
        self.chain.items().first().copied()
    }

    /// The replica that commits and answers reads.
    pub fn tail(&self) -> Option<Identity> {
        self.chain.items().last().copied()
    }

    /// The replica after `replica` in the chain.
    pub fn successor(&self, replica: Identity) -> Option<Identity> {
        let position = self.chain.position(replica)?;
        self.chain.items().get(position + 1).copied()
    }
}

impl Debug for View {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FormatResult {
        let View { number, members, chain, source, base, .. } = self;
        let lineage: Vec<u8> =
            self.lineage.iter().map(|ancestor| ancestor.number).filter(|number| *number > 0).collect();
        write!(formatter, "view {number} of {members:?}, chain {chain:?} from {source}, ")?;
        write!(formatter, "lineage {lineage:?} base {base}")
    }
}
