//! The events of a replica that the driver writes to the process log.

use crate::entry::EntryHeader;
use crate::member::MemberId;
use std::net::SocketAddr;

/// The reason why a view is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewChangeReason {
    /// No view was decided yet.
    Bootstrap,
    /// A replica of the chain is unreachable or leaving, or its disk is unhealthy.
    ChainBroken,
    /// The set of members changes.
    MembershipChange,
    /// A replica returns to the chain.
    ChainExtension,
    /// A proposal has sealed the current view but was not completed.
    UnfinishedProposal,
    /// The chain has not obtained the history of the view in time.
    Stalled,
}

/// The fault of a replica of the chain, or of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaFault {
    /// A process with another disk runs at the replica's address, so the original disk is lost.
    DiskLost,
    /// Writes to the replica's disk fail or take too long.
    DiskFault,
    /// The replica is shutting down.
    Leaving,
    /// Neither this process nor, as far as it knows, any other process receives heartbeats from the replica.
    Unreachable,
    /// The replica and another one receive no heartbeats from each other.
    LinkSevered,
}

/// The replica or member that caused a view to be proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultyReplica {
    /// The peer address of the replica.
    pub address: SocketAddr,
    /// The fault of the replica, as observed by the proposer.
    pub fault: ReplicaFault,
}

/// An event for the process log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The replica has started.
    Started {
        /// The identity of the replica.
        identity: MemberId,
        /// Whether the replica may take part in bootstrapping the first view.
        may_bootstrap: bool,
        /// The number of the newest view on disk.
        view_number: u64,
    },
    /// This process has started to propose the next view.
    Proposing {
        /// The number of the view.
        view_number: u64,
        /// The reason why the current view must be replaced.
        reason: ViewChangeReason,
        /// The first faulty replica of the current chain, or else the first faulty member outside the chain.
        faulty_replica: Option<FaultyReplica>,
    },
    /// All replicas of a view's chain hold the history.
    Serving {
        /// The number of the view.
        view_number: u64,
        /// The number of replicas of the view's chain.
        chain_length: usize,
    },
    /// An entry was committed.
    EntryCommitted(EntryHeader),
    /// A proposer used the same proposal number for two views. The second proposal was not accepted. The
    /// proposer's disk has lost a synced promise, or was copied.
    ProposalNumberReused {
        /// The number of the view.
        view_number: u64,
    },
    /// A batch could not be written, or its write takes too long.
    DiskFault,
    /// The disk completes batches in time again.
    DiskHealthy,
    /// An uncommitted entry was replaced by the history of a newer view.
    EntrySuperseded(EntryHeader),
}
