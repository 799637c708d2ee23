//! The state of one machine.

use super::collections::SmallSet;
use super::identity::Identity;
use super::view::{History, ProposalNumber, View};

/// What a replica writes to its log.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Records {
    /// The newest view that it knows.
    pub view: View,
    /// The highest proposal for the next view that it has promised. With one, it is sealed.
    pub promised: Option<ProposalNumber>,
    /// What it has accepted for the next view.
    pub accepted: Option<(ProposalNumber, View)>,
    /// The newest view whose history it holds.
    pub installed: u8,
    /// The history.
    pub history: History,
}

/// A proposal in progress, at its proposer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct ProposalAttempt {
    /// Its number.
    pub proposal: ProposalNumber,
    /// The view that is proposed, once a majority has promised.
    pub view: Option<View>,
}

/// A read at the tail or a rejection at the head that waits until a majority confirms the view.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct PendingConfirmation {
    /// The change that would be rejected, `None` for a read.
    pub rejection: Option<u8>,
    /// The changes acknowledged before the request.
    pub acknowledged_before: SmallSet,
    /// The members that have confirmed.
    pub confirmers: SmallSet,
}

/// One machine.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Node {
    /// Who it is.
    pub identity: Identity,
    /// Whether it has left for good.
    pub has_left: bool,
    /// Its log, synced or not.
    pub records: Records,
    /// The proposal in progress.
    pub attempt: Option<ProposalAttempt>,
    /// The highest round that it has proposed or promised.
    pub highest_round: u8,
    /// Whether it is in the chain and knows that all replicas of it hold the history.
    pub is_serving: bool,
    /// What waits for the confirmation of its view.
    pub pending_confirmation: Option<PendingConfirmation>,
}

impl Node {
    /// Promises a proposal, which ends its part in the present view.
    pub fn seal(&mut self, proposal: ProposalNumber) {
        self.records.promised = Some(proposal);
        self.highest_round = self.highest_round.max(proposal.round);
    }

    /// Whether it has stopped serving in its view.
    pub fn is_sealed(&self) -> bool {
        self.records.promised.is_some()
    }

    /// Whether it is a member of its view.
    pub fn is_member(&self) -> bool {
        !self.has_left && self.records.view.members.contains(self.identity)
    }
}
