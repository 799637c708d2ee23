//! The state of an acceptor.

use super::ProposalNumber;
use crate::view::View;

/// What an acceptor has promised and accepted for the view after the newest one.
#[derive(Clone, Debug, Default)]
pub struct Acceptor {
    /// The highest proposal it takes part in.
    pub promised: Option<ProposalNumber>,
    /// The view that it has accepted, and in which proposal.
    pub accepted: Option<Box<(ProposalNumber, View)>>,
}

impl Acceptor {
    /// Whether a proposal may be promised or accepted.
    pub fn admits(&self, proposal: ProposalNumber) -> bool {
        self.promised.is_none_or(|promised| proposal >= promised)
    }

    /// How an admitted proposal compares to what was accepted.
    pub fn compare(&self, proposal: ProposalNumber, view: &View) -> Held {
        match &self.accepted {
            Some(held) if held.0 == proposal && held.1 == *view => Held::Same,
            Some(held) if held.0 == proposal => Held::OtherValue,
            _ => Held::Lower,
        }
    }
}

/// How a proposal compares to what an acceptor has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// Nothing was accepted, or in a lower proposal.
    Lower,
    /// This very proposal was accepted.
    Same,
    /// Another value was accepted under the same proposal. No sound proposer does that.
    OtherValue,
}
