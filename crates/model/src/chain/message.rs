//! Messages between the replicas of the model.

use super::identity::Identity;
use super::view::{History, ProposalNumber, View};

/// A message in flight, readable by every machine that it concerns. It may be delayed, duplicated or lost.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Message {
    /// Phase 1a of Paxos for view `instance`.
    Prepare { instance: u8, proposal: ProposalNumber },
    /// Phase 1b: the sender accepts no lower proposal, and stops serving in view `instance - 1`.
    /// `accepted` and `installed` are those of the sender's records, `last_index` is the length of its
    /// history.
    Promise {
        instance: u8,
        proposal: ProposalNumber,
        sender: Identity,
        accepted: Option<(ProposalNumber, View)>,
        installed: u8,
        last_index: u8,
    },
    /// Phase 2a: asks the acceptors to accept `view`.
    Accept { proposal: ProposalNumber, view: View },
    /// Phase 2b: the sender has accepted the view that was proposed under `proposal`.
    Accepted { instance: u8, proposal: ProposalNumber, sender: Identity },
    /// The history of a view, sent by its source to the other replicas.
    State { view: u8, history: History },
    /// A history entry, sent by a replica to its successor in the chain.
    Replicate { view: u8, sender: Identity, index: u8, change: u8 },
}
