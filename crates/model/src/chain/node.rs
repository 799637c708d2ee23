//! The state of one machine.

use super::collections::SmallSet;
use super::identity::Identity;
use super::view::{History, ProposalNumber, View};

/// The records that a replica writes to its log.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Records {
    /// The newest view that the replica knows.
    pub view: View,
    /// The highest proposal for the next view that the replica has promised. If there is one, the replica is
    /// sealed.
    pub promised: Option<ProposalNumber>,
    /// The proposal and view that the replica has accepted for the next view.
    pub accepted: Option<(ProposalNumber, View)>,
    /// The number of the newest view whose history the replica has installed; 0 for none.
    pub installed: u8,
    /// The history of configuration changes.
    pub history: History,
}

/// The state of a proposer whose proposal is in progress.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct ProposalAttempt {
    /// The number of the proposal.
    pub proposal: ProposalNumber,
    /// The proposed view; `None` until a majority has promised.
    pub view: Option<View>,
}

/// A read at the tail, or a rejection at the head, that waits until a majority has confirmed the view.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct PendingConfirmation {
    /// The change that would be rejected; `None` for a read.
    pub rejection: Option<u8>,
    /// The changes that were acknowledged before the request.
    pub acknowledged_before: SmallSet,
    /// The members that have confirmed the view.
    pub confirmers: SmallSet,
}

/// The state of one machine.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Node {
    /// The identity of the machine and its disk.
    pub identity: Identity,
    /// Whether the machine has left permanently.
    pub has_left: bool,
    /// The contents of the machine's log, synced or not.
    pub records: Records,
    /// The proposal in progress, if any.
    pub attempt: Option<ProposalAttempt>,
    /// The highest round that the machine has proposed or promised.
    pub highest_round: u8,
    /// Whether the machine is a replica of the chain and knows that all replicas of the chain hold the
    /// history.
    pub is_serving: bool,
    /// The request that waits for the confirmation of the view, if any.
    pub pending_confirmation: Option<PendingConfirmation>,
}

impl Node {
    /// Promises `proposal`. The machine then takes no further part in its current view.
    pub fn seal(&mut self, proposal: ProposalNumber) {
        self.records.promised = Some(proposal);
        self.highest_round = self.highest_round.max(proposal.round);
    }

    /// Whether the machine has promised a proposal for the next view, and so stopped serving in its current
    /// one.
    pub fn is_sealed(&self) -> bool {
        self.records.promised.is_some()
    }

    /// Whether the machine is a member of its current view.
    pub fn is_member(&self) -> bool {
        !self.has_left && self.records.view.members.contains(self.identity)
    }
}
