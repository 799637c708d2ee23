//! Messages between the replicas of the model.

use super::identity::Identity;
use super::view::{History, ProposalNumber, View};

/// A message in flight, for every machine that it concerns. It may arrive late, again or never.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Message {
    /// Phase 1a of Paxos for view `instance`.
    Prepare { instance: u8, proposal: ProposalNumber },
    /// Phase 1b: the sender accepts no lower proposal, and stops serving in the view before.
    Promise {
        instance: u8,
        proposal: ProposalNumber,
        sender: Identity,
        accepted: Option<(ProposalNumber, View)>,
        installed: u8,
        last_index: u8,
    },
    /// Phase 2a: asks to accept a view.
    Accept { proposal: ProposalNumber, view: View },
    /// Phase 2b: the sender has accepted.
    Accepted { instance: u8, proposal: ProposalNumber, sender: Identity },
    /// The history of a view, from its source, for the other replicas.
    State { view: u8, history: History },
    /// An entry, from a replica to its successor.
    Replicate { view: u8, sender: Identity, index: u8, change: u8 },
}
