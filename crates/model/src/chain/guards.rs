//! The rules that keep the chain safe. Each can be left out of a search, to show what it prevents.

use crate::guards::{GuardRule, GuardSet};

/// A rule of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A proposer sends `Prepare` once its own promise is synced.
    PrepareAfterSync,
    /// A restarted proposer uses a higher round than that of the proposal that it has promised.
    RoundRecoveredOnRestart,
    /// An acceptor accepts no second view under one proposal number.
    OneViewPerProposal,
    /// A promise is sent once it is synced.
    PromiseAfterSync,
    /// An acceptance is sent once it is synced.
    AcceptedAfterSync,
    /// An entry is forwarded to the successor, or committed by the tail, once it is synced.
    ReplicateAfterSync,
    /// A sealed replica neither writes, replicates nor commits.
    SealStopsReplication,
    /// A sealed replica does not install the history of its present view.
    SealStopsTakeover,
    /// A sealed member does not confirm its present view.
    SealStopsConfirmation,
    /// A machine with a new disk has a new identity.
    NewDiskNewIdentity,
    /// A read is answered once a majority of the members has confirmed the view.
    ReadsConfirmed,
    /// A change on an unknown base is rejected once a majority of the members has confirmed the view.
    RejectionsConfirmed,
    /// A chain has at least `f + 1` replicas, for `f` disks that may be lost.
    MinChainLength,
    /// The source of a view holds the history of the newest view that may have served.
    SourceHoldsNewestHistory,
    /// A view serves once all replicas of its chain hold the history on disk.
    ServeAfterInstall,
    /// A change that is in the history already is acknowledged again, not judged again.
    RetriesDeduplicated,
    /// No change is judged while another one is in flight along the chain.
    OneChangeInFlight,
    /// A proposer proposes the view accepted under the highest proposal that its promises name, if any.
    AcceptedViewAdopted,
    /// An acceptor neither promises nor accepts a proposal below the one that it has promised.
    LowerProposalsRejected,
    /// A member with a healthy disk is replaced only if `f + 1` others hold the history.
    ReplaceOnlyWithSpareReplicas,
    /// A member that leaves gracefully ends once the chain of a view without it holds the history.
    LeaveAfterNextView,
}

impl GuardRule for Guard {
    fn index(self) -> u32 {
        self as u32
    }
}

/// The rules that are in force.
pub type Guards = GuardSet<Guard>;

impl Guards {
    /// Whether a proposal number is used for one proposal only.
    pub fn proposals_are_unique(self) -> bool {
        self.has(Guard::PrepareAfterSync) && self.has(Guard::RoundRecoveredOnRestart)
    }
}
