//! The status of a replica.

use crate::member::MemberId;
use std::net::SocketAddr;
use std::time::Duration;

/// The status of a replica, as reported to operators and agents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The identity of this replica.
    pub identity: MemberId,
    /// The number of the newest view that this replica knows, 0 for none.
    pub view_number: u64,
    /// The peer addresses of the members of that view.
    pub members: Vec<SocketAddr>,
    /// The peer addresses of the chain of that view, head first.
    pub chain: Vec<SocketAddr>,
    /// The position of this replica in the chain, 0 for the head.
    pub chain_position: Option<usize>,
    /// Whether this replica is a member of that view.
    pub is_member: bool,
    /// The version of the newest committed configuration that this replica knows.
    pub committed_version: Option<u64>,
    /// Whether that view serves, as far as this replica knows.
    pub is_serving: bool,
    /// The index of the newest entry that this replica knows to be committed, 0 for none.
    pub committed_index: u64,
    /// Whether this replica has a bidirectional link to a majority of the members, counting itself.
    pub has_quorum: bool,
    /// Whether this replica has accepted a proposal for the next view. True before the proposer can know,
    /// since the reply is sent only after the sync, and still true after a restart. From then on nothing may
    /// rely on a majority of the current view.
    pub has_accepted_next_view: bool,
    /// Whether the disk completes batches in time.
    pub disk_healthy: bool,
    /// The peer addresses of the live processes that are not members. Those that are eligible for membership
    /// replicate the committed history, so that they can replace a member.
    pub learners: Vec<SocketAddr>,
    /// The index up to which this replica holds the committed history on disk.
    pub durable_commit_index: u64,
    /// The progress of a graceful leave.
    pub leave_state: LeaveState,
    /// The time since this replica was started.
    pub uptime: Duration,
}

/// The progress of a graceful leave, in which a process asks to be left out of the next view
/// ([`crate::Event::Leave`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveState {
    /// The process has not asked to leave.
    NotLeaving,
    /// The current view does not serve, its chain contains the process, or the process is a member although a
    /// learner is ready to replace it.
    Leaving,
    /// The current view serves and its chain does not contain the process. The process is still a member,
    /// since no learner is ready to replace it.
    OutOfChain,
    /// The current view serves and the process is not a member of it, so each acknowledged entry is on the
    /// disks of that view's chain. Also the state if no view was decided yet.
    Left,
}
