//! The numbers of proposals.

use crate::member::MemberId;
use serde::{Deserialize, Serialize};

/// The number of a Paxos proposal, unique across proposers. Ordered by round, then by proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Counts the attempts from 1.
    pub round: u64,
    /// The proposer.
    pub proposer: MemberId,
}
