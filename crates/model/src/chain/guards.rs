//! The safety rules of the chain. A search can disable each of them to show which violation it prevents.

use crate::guards::{GuardRule, GuardSet};

/// A safety rule of the chain protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A proposer sends `Prepare` only once its own promise is synced.
    PrepareAfterSync,
    /// A restarted proposer uses a higher round than that of the proposal that it last promised.
    RoundRecoveredOnRestart,
    /// An acceptor accepts at most one view per proposal number.
    OneViewPerProposal,
    /// A promise is sent only once it is synced.
    PromiseAfterSync,
    /// An acceptance is sent only once it is synced.
    AcceptedAfterSync,
    /// An entry is forwarded to the successor, or committed by the tail, only once it is synced.
    ReplicateAfterSync,
    /// A sealed replica neither accepts writes, replicates nor commits.
    SealStopsReplication,
    /// A sealed replica does not install the history of its current view.
    SealStopsInstall,
    /// A sealed member does not confirm its current view.
    SealStopsConfirmation,
    /// A machine with a new disk has a new identity.
    NewDiskNewIdentity,
    /// A read is answered only once a majority of the members has confirmed the view.
    ReadsConfirmed,
    /// A change on an unknown base is rejected only once a majority of the members has confirmed the view.
    RejectionsConfirmed,
    /// A chain has at least `f + 1` replicas, where `f` is the number of disks that may be lost.
    MinChainLength,
    /// The source of a view holds the history of the newest view that may have served.
    SourceHoldsNewestHistory,
    /// A view serves only once all replicas of its chain hold the history on disk.
    ServeAfterInstall,
    /// A retried change that is already in the history is acknowledged again instead of being evaluated
    /// again.
    RetriesDeduplicated,
    /// The head evaluates no change while another change is uncommitted.
    OneChangeInFlight,
    /// A proposer proposes the view that its promises report as accepted under the highest proposal, if any.
    AcceptedViewAdopted,
    /// An acceptor neither promises nor accepts a proposal below the highest one that it has promised.
    LowerProposalsRejected,
    /// A member with a healthy disk is replaced only if `f + 1` other members hold the history.
    ReplaceOnlyWithSpareReplicas,
    /// A member that leaves gracefully exits only once the chain of a view without it holds the history.
    LeaveAfterNextView,
}

impl GuardRule for Guard {
    fn index(self) -> u32 {
        self as u32
    }
}

/// The set of enabled rules.
pub type Guards = GuardSet<Guard>;

impl Guards {
    /// Whether the enabled rules ensure that each proposal number is used for one proposal only.
    pub fn proposals_are_unique(self) -> bool {
        self.has(Guard::PrepareAfterSync) && self.has(Guard::RoundRecoveredOnRestart)
    }
}
