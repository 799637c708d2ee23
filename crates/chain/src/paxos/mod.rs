//! Single-decree Paxos on the next view: the states of an acceptor and of a proposer.

mod acceptor;
mod lineage;
mod proposal_number;
mod proposer;
#[cfg(test)]
mod proposer_tests;

pub use acceptor::{Acceptor, Held};
pub use lineage::{Lineage, choose_source, holders};
pub use proposal_number::ProposalNumber;
pub use proposer::{Attempt, Phase, Proposer, ReceivedPromise};
