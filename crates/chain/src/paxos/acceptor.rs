//! The state of an acceptor.

use super::ProposalNumber;
use crate::view::View;

/// The state of an acceptor in the instance that decides the view after the newest one.
///
/// Both fields are on disk before they are reported to a proposer. A decided view resets them.
#[derive(Clone, Debug, Default)]
pub struct Acceptor {
    /// The highest proposal that it has promised.
    pub promised: Option<ProposalNumber>,
    /// The view that it has accepted, and in which proposal.
    pub accepted: Option<Box<(ProposalNumber, View)>>,
}

impl Acceptor {
    /// Whether a proposal is high enough to be promised or accepted.
    pub fn admits(&self, proposal: ProposalNumber) -> bool {
        self.promised.is_none_or(|promised| proposal >= promised)
    }

    /// Compares an admitted proposal with the one that was accepted.
    pub fn compare_accepted(&self, proposal: ProposalNumber, view: &View) -> AcceptedComparison {
        match &self.accepted {
            Some(accepted) if accepted.0 == proposal && accepted.1 == *view => AcceptedComparison::Identical,
            Some(accepted) if accepted.0 == proposal => AcceptedComparison::OtherView,
            _ => AcceptedComparison::Newer,
        }
    }
}

/// The relation of an admitted proposal to the one that an acceptor has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptedComparison {
    /// Nothing was accepted, or only in a lower proposal.
    Newer,
    /// This very proposal was accepted.
    Identical,
    /// Another view was accepted under the same number. No correct proposer uses a number twice.
    OtherView,
}
