//! The state of an acceptor.

use super::ProposalNumber;
use crate::view::View;
use serde::{Deserialize, Serialize};

/// A view that an acceptor has accepted. Encoded as a pair, as earlier versions do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(ProposalNumber, View)", into = "(ProposalNumber, View)")]
pub struct AcceptedProposal {
    /// The proposal in which it was accepted.
    pub number: ProposalNumber,
    /// The view.
    pub view: View,
}

impl From<(ProposalNumber, View)> for AcceptedProposal {
    fn from((number, view): (ProposalNumber, View)) -> AcceptedProposal {
        AcceptedProposal { number, view }
    }
}

impl From<AcceptedProposal> for (ProposalNumber, View) {
    fn from(accepted: AcceptedProposal) -> (ProposalNumber, View) {
        (accepted.number, accepted.view)
    }
}

/// The state of an acceptor in the instance that decides the view after the newest one.
///
/// Both fields are on disk before they are reported to a proposer. A decided view resets them.
#[derive(Clone, Debug, Default)]
pub struct Acceptor {
    /// The highest proposal that it has promised.
    pub promised: Option<ProposalNumber>,
    /// What it has accepted in the highest proposal so far.
    pub accepted: Option<Box<AcceptedProposal>>,
}

impl Acceptor {
    /// Whether a proposal is high enough to be promised or accepted.
    pub fn admits(&self, proposal: ProposalNumber) -> bool {
        self.promised.is_none_or(|promised| proposal >= promised)
    }

    /// Compares an admitted proposal with the one that was accepted.
    pub fn compare_accepted(&self, proposal: ProposalNumber, view: &View) -> AcceptedComparison {
        match &self.accepted {
            Some(accepted) if accepted.number == proposal && accepted.view == *view => {
                AcceptedComparison::Identical
            }
            Some(accepted) if accepted.number == proposal => AcceptedComparison::OtherView,
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
