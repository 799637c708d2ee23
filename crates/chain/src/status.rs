//! The status of a replica.

use crate::member::MemberId;
use std::net::SocketAddr;
use std::time::Duration;

/// The status of a replica, for operators and for agents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The identity of this replica.
    pub identity: MemberId,
    /// The number of the newest view known here, 0 for none.
    pub view_number: u64,
    /// The peer addresses of its members.
    pub members: Vec<SocketAddr>,
    /// The peer addresses of its chain, head first.
    pub chain: Vec<SocketAddr>,
    /// The position of this replica in the chain, 0 for the head.
    pub chain_position: Option<usize>,
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
    pub leave_state: LeaveState,
    /// The time since the start of the replica.
    pub uptime: Duration,
}

/// The progress of a process that asked to be left out of the next view ([`crate::Event::Leave`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveState {
    /// It has not asked.
    NotLeaving,
    /// It is in the chain, or a learner is ready to replace it as a member.
    Leaving,
    /// A view serves whose chain is without it. It is still a member, since no learner is ready to replace it.
    OutOfChain,
    /// A view serves without it. Each acknowledged entry is on the disks of that view's chain.
    Left,
}
