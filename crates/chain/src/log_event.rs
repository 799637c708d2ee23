//! The events that a replica has its driver write to the process log.

use crate::entry::EntryHeader;
use crate::member::MemberId;
use std::net::SocketAddr;

/// The reason for which a view is proposed.
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
    /// A proposal sealed the current view and was not finished.
    UnfinishedProposal,
    /// The chain does not get to hold the history.
    Stalled,
}

/// What is wrong with a replica of the chain, or with a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaFault {
    /// Another disk answers under its address: its own is lost.
    DiskLost,
    /// Its disk rejects batches, or is too slow.
    DiskFault,
    /// It is shutting down.
    Leaving,
    /// Neither this process nor, as far as it knows, another one hears it.
    Unreachable,
    /// It and another replica do not reach each other.
    LinkSevered,
}

/// The replica or member because of which a view is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultyReplica {
    /// Its peer address.
    pub address: SocketAddr,
    /// What is wrong with it, as far as the proposer sees.
    pub fault: ReplicaFault,
}

/// An event for the process log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The replica has started.
    Started {
        /// Its identity.
        identity: MemberId,
        /// Whether it may take part in bootstrapping the first view.
        may_bootstrap: bool,
        /// The number of the newest view on its disk.
        view_number: u64,
    },
    /// A proposal for the next view begins.
    Proposing {
        /// The number of the view.
        view_number: u64,
        /// The reason for which the current view has to be replaced.
        reason: ViewChangeReason,
        /// The first replica of the current chain, or member, with which something is wrong.
        faulty_replica: Option<FaultyReplica>,
    },
    /// All replicas of a view's chain hold the history.
    Serving {
        /// The number of the view.
        view_number: u64,
        /// The length of its chain.
        chain_length: usize,
    },
    /// An entry was committed.
    EntryCommitted(EntryHeader),
    /// A proposer used one proposal number for two views. The second was not accepted; the proposer's disk lost a synced
    /// promise or was copied.
    ProposalNumberReused {
        /// The number of the view.
        view_number: u64,
    },
    /// The disk refused a batch, or a batch takes too long.
    DiskFault,
    /// The disk accepts batches again.
    DiskHealthy,
    /// An entry that was never committed was replaced by the history of a newer view.
    EntrySuperseded(EntryHeader),
}
