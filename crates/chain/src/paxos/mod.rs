//! Single-decree Paxos on the next view: the states of an acceptor and of a proposer.
//!
//! Terms and phases as in Lamport, "Paxos Made Simple", section 2.2. Instance `n` decides view `n`; its acceptors are the
//! members of view `n - 1`. The messages are sent and received by `replica::acceptor` and `replica::proposer`.
//!
//! Two things are added to plain Paxos. A promise for view `n + 1` also seals view `n`: its sender takes no further part in
//! it. And a promise reports how far the sender's history reaches, so that the proposer can name a source for the history of
//! the next view ([`Lineage`]).

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
