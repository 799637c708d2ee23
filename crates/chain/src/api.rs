//! The events that a driver hands to a replica, and the actions that it carries out.

use crate::digest::Blake3;
use crate::message::Message;
use crate::model::{CommittedConfig, EntryHeader, MemberId, View};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The identity of an operator's request, unique within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorRequestId(pub u64);

/// An input of a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Expected every 20 to 50 ms.
    Tick,
    /// A message has arrived.
    Message {
        /// The peer address under which the sender listens.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The connection to a peer broke. A hint that lets the peer be suspected sooner.
    LinkDown {
        /// The peer.
        peer: SocketAddr,
    },
    /// The operator submits a configuration that was already validated.
    Submit {
        /// The request, named again in its [`Action::Respond`].
        id: OperatorRequestId,
        /// The version that it builds on (`If-Match`).
        base: u64,
        /// Its own version.
        version: u64,
        /// The hash of the request that the configuration was computed from; `None` if the operator sent a full configuration.
        request_hash: Option<Blake3>,
        /// The configuration, byte for byte. Empty if the base is not available to compute it from: such a change is
        /// recognised if it was accepted before, otherwise refused because its base is not current, and never written.
        bytes: Arc<[u8]>,
    },
    /// The operator reads the newest committed configuration.
    Read {
        /// The request, named again in its [`Action::Respond`].
        id: OperatorRequestId,
    },
    /// The operator has disconnected; no response is wanted.
    Cancel {
        /// The request.
        id: OperatorRequestId,
    },
    /// The process is shutting down and asks to be left out of the next view; see [`LeaveState`].
    Leave,
    /// A batch is synced to disk.
    Persisted {
        /// The batch, as named in [`Action::Persist`] or [`Action::RewriteLog`].
        batch: u64,
    },
    /// The disk refused a batch. What the append left on disk must be removed before the next batch.
    PersistFailed {
        /// The batch.
        batch: u64,
    },
}

/// An output of a replica. The driver carries actions out in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer. It may be lost; messages to one peer keep their order.
    Send {
        /// The peer.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Append records to the log and sync it. Answered by [`Event::Persisted`] or [`Event::PersistFailed`]. At most one batch
    /// is in flight, rewrites included.
    Persist {
        /// The number of the batch.
        batch: u64,
        /// The encoded records, in order.
        records: Vec<Vec<u8>>,
    },
    /// Replace the whole log by these records. Answered as a batch.
    RewriteLog {
        /// The number of the batch.
        batch: u64,
        /// All records that the log needs.
        records: Vec<Vec<u8>>,
    },
    /// Respond to a request of the operator.
    Respond {
        /// The request.
        id: OperatorRequestId,
        /// The response.
        response: OperatorResponse,
    },
    /// A newer committed configuration is known here. Versions increase from one of these actions to the next.
    Committed {
        /// The configuration.
        config: Arc<CommittedConfig>,
    },
    /// A newer view is known here.
    ViewChanged(Arc<View>),
    /// Write an event to the process log.
    Log(LogEvent),
}

/// The response to a request of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorResponse {
    /// The configuration is committed.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// The base of the change is not the current version (412).
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The change builds on the current version, but its own version is not above it (4xx).
    StaleVersion {
        /// The current version.
        current: u64,
    },
    /// The outcome is unknown (503): the change may or may not be committed.
    Unavailable,
    /// The newest committed configuration, if there is any.
    Config(Option<Arc<CommittedConfig>>),
}

/// The progress of a process that asked to be left out of the next view ([`Event::Leave`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveState {
    /// It has not asked.
    Staying,
    /// It is in the chain, or a learner is ready to replace it as a member.
    Leaving,
    /// A view serves whose chain is without it. It is still a member, since no learner is ready to replace it.
    OutOfChain,
    /// A view serves without it. Each acknowledged entry is on the disks of that view's chain.
    Left,
}

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
        view: u64,
    },
    /// A proposal for the next view begins.
    Proposing {
        /// The number of the view.
        number: u64,
        /// The reason for which the current view has to be replaced.
        reason: ViewChangeReason,
    },
    /// All replicas of a view's chain hold the history.
    Serving {
        /// The number of the view.
        number: u64,
        /// The length of its chain.
        replicas: usize,
    },
    /// An entry was committed.
    Committed(EntryHeader),
    /// A proposer used one proposal number for two views. The second was not accepted; the proposer's disk lost a synced
    /// promise or was copied.
    ProposalNumberReused {
        /// The number of the view.
        number: u64,
    },
    /// The disk refused a batch, or a batch takes too long.
    DiskFault,
    /// The disk accepts batches again.
    DiskHealthy,
    /// An entry that was never committed was replaced by the history of a newer view.
    Superseded(EntryHeader),
}

/// The error of a replica that could not be recovered from its records.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum RecoverError {
    /// A record could not be decoded.
    #[error("record {index} of the log is not readable: {reason}")]
    Unreadable {
        /// The position of the record in the log, from 0.
        index: usize,
        /// The decoder's message.
        reason: String,
    },
    /// The first record is not an identity.
    #[error("the log has records but names no disk")]
    NoIdentity,
    /// The history on disk has a gap.
    #[error("the history has a gap at entry {index}")]
    Gap {
        /// The index of the missing entry.
        index: u64,
    },
}

/// The status of a replica, for operators and for agents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The identity of this replica.
    pub identity: MemberId,
    /// The number of the newest view known here, 0 for none.
    pub view: u64,
    /// The peer addresses of its members.
    pub members: Vec<SocketAddr>,
    /// The peer addresses of its chain, head first.
    pub chain: Vec<SocketAddr>,
    /// The position of this replica in the chain, 0 for the head.
    pub position: Option<usize>,
    /// Whether this replica is a member of the view.
    pub is_member: bool,
    /// The version of the newest committed configuration known here.
    pub committed_version: Option<u64>,
    /// Whether the view serves, as far as is known here.
    pub is_serving: bool,
    /// The index of the newest entry that is known here to be committed, 0 for none.
    pub committed_index: u64,
    /// Whether this replica has a bidirectional link to a majority of the members, itself included.
    pub has_quorum: bool,
    /// Whether this replica has accepted a proposal for the view after this one. True before the proposer can know, since the
    /// reply waits for the disk, and again after a restart: whatever relies on this view's majority must stop here.
    pub has_accepted_next_view: bool,
    /// Whether the disk accepts batches in time.
    pub disk_healthy: bool,
    /// The peer addresses of the processes heard lately that are not members. Those that may become members keep the
    /// committed history, ready to replace one.
    pub learners: Vec<SocketAddr>,
    /// The committed history is on disk up to this index.
    pub durable_commit_index: u64,
    /// The progress of leaving.
    pub leave: LeaveState,
    /// The time since the start of the replica.
    pub uptime: Duration,
}
