//! Single-decree Paxos that decides the next view: the states of an acceptor and of a proposer.
//!
//! Terms and phases are those of Lamport, "Paxos Made Simple", section 2.2. Instance `n` decides view `n`,
//! and its acceptors are the members of view `n - 1`. The messages are handled by `replica::acceptor` and
//! `replica::proposer`.
//!
//! There are two extensions to plain Paxos. A promise for view `n + 1` also seals view `n`: the sender stops
//! participating in it. A promise also reports the extent of the sender's history, from which the proposer
//! chooses the source of the next view ([`Lineage`]).

mod acceptor;
mod lineage;
mod proposal_number;
mod proposer;
#[cfg(test)]
mod proposer_tests;

pub use acceptor::{AcceptedComparison, AcceptedProposal, Acceptor};
pub use lineage::{Lineage, choose_source, replicas_with_history};
pub use proposal_number::ProposalNumber;
pub use proposer::{Attempt, Phase, Proposer, ReceivedPromise};
