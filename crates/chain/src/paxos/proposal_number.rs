//! Paxos proposal numbers.

use crate::member::MemberId;
use serde::{Deserialize, Serialize};

/// The number of a Paxos proposal, unique across proposers. Ordered by round, then by proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// The round, from 1. Increases with each attempt.
    pub round: u64,
    /// The proposer.
    pub proposer: MemberId,
}
