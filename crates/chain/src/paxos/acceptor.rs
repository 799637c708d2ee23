//! The state of a Paxos acceptor.

use super::ProposalNumber;
use crate::view::View;
use serde::{Deserialize, Serialize};

/// A proposal that an acceptor has accepted. Encoded as a pair, for compatibility with earlier versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(ProposalNumber, View)", into = "(ProposalNumber, View)")]
pub struct AcceptedProposal {
    /// The number of the proposal.
    pub number: ProposalNumber,
    /// The proposed view.
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
/// Both fields are synced before they are reported to a proposer. They are reset when a view is decided.
#[derive(Clone, Debug, Default)]
pub struct Acceptor {
    /// The highest proposal number that the acceptor has promised.
    pub promised: Option<ProposalNumber>,
    /// The accepted proposal with the highest number.
    pub accepted: Option<Box<AcceptedProposal>>,
}

impl Acceptor {
    /// Whether a proposal number is high enough to be promised or accepted.
    pub fn admits(&self, proposal: ProposalNumber) -> bool {
        self.promised.is_none_or(|promised| proposal >= promised)
    }

    /// Compares an admitted proposal with the accepted one.
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

/// The relation of an admitted proposal to the accepted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptedComparison {
    /// No proposal was accepted, or only one with a lower number.
    Newer,
    /// The same proposal was accepted.
    Identical,
    /// A different view was accepted under the same number. No correct proposer uses a number for two views.
    OtherView,
}
