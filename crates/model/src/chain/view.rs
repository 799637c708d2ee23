//! Views, histories and proposal numbers.

use super::collections::{Sequence, SmallSet};
use super::identity::{FOUNDER_COUNT, Identity};
use std::fmt::{Debug, Formatter, Result as FormatResult};

/// Distinct changes that the operators send.
pub const CHANGE_COUNT: usize = 2;
/// Views that a search may reach, the first included.
pub const MAX_VIEWS: usize = 3;

/// The replicas of a view, head first.
pub type Chain = Sequence<FOUNDER_COUNT>;
/// Changes, oldest first; the index of the first is 1.
pub type History = Sequence<CHANGE_COUNT>;

/// The number of a proposal: round first, then proposer (Lamport, Paxos Made Simple, section 2.2).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalNumber {
    /// Counts attempts from 1.
    pub round: u8,
    /// Who proposes.
    pub proposer: Identity,
}

impl Debug for ProposalNumber {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FormatResult {
        write!(formatter, "{}.{}", self.round, self.proposer)
    }
}

/// A view that may have served.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Ancestor {
    /// Its number, 0 for none.
    pub number: u8,
    /// Its chain.
    pub chain: SmallSet,
}

/// A configuration of the replication group.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct View {
    /// Counts views from 1; 0 at a machine that knows none.
    pub number: u8,
    /// The acceptors of the next view.
    pub members: SmallSet,
    /// The replicas.
    pub chain: Chain,
    /// The replica whose history the others install.
    pub source: Identity,
    /// The earlier views that may have been the last to serve, newest first.
    pub lineage: [Ancestor; MAX_VIEWS - 1],
    /// The last view before those that may have served.
    pub base: u8,
}

impl View {
    /// How many members are a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Whether an identity is a replica of the chain.
    pub fn has_in_chain(&self, identity: Identity) -> bool {
        self.chain.position(identity).is_some()
    }

    /// The replica that takes writes.
    pub fn head(&self) -> Option<Identity> {
        self.chain.items().first().copied()
    }

    /// The replica that commits and answers reads.
    pub fn tail(&self) -> Option<Identity> {
        self.chain.items().last().copied()
    }

    /// The replica after this one in the chain.
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
