//! Views: the configurations of the control plane, each decided by Paxos.
//!
//! Encoded names are fixed by `serde(rename)` where the code uses another term; see docs/GLOSSARY.md.

use crate::member::MemberId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The minimum of [`View::target_member_count`]. With fewer members, the restart of a single one would leave
/// no majority.
const MIN_TARGET_MEMBERS: usize = 3;

/// One decided configuration of the control plane: its members and its chain. View `n + 1` is decided by the
/// members of view `n`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The number of the view, from 1. View 0 represents the seeds before any view was decided.
    pub number: u64,
    /// The members, which are the acceptors of the next view.
    pub members: Vec<MemberId>,
    /// The replicas of the chain, head first. Each of them is a member.
    pub chain: Vec<MemberId>,
    /// The replica of the chain from which the others install the history.
    pub source: Option<MemberId>,
    /// The earlier views that may have been the last one to serve, newest first.
    pub lineage: Vec<Ancestor>,
    /// The number of the newest view before those of the lineage. That view is treated as one that has
    /// served. 0 for none.
    #[serde(rename = "base")]
    pub last_known_served: u64,
    /// The number of machines that may lose their disks at the same time.
    #[serde(rename = "tolerated")]
    pub fault_tolerance: u32,
    /// The number of members that a view needs to serve.
    #[serde(rename = "required")]
    pub min_members: u32,
}

/// An earlier view that may have served, so its history may be the newest one that contains acknowledged
/// entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ancestor {
    /// The number of the view.
    pub number: u64,
    /// The chain of the view, head first.
    pub chain: Vec<MemberId>,
}

impl View {
    /// The number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The number of members that a view has if there are enough processes. The number is odd, since adding
    /// one member to an odd number would not let the view tolerate another failure.
    pub fn target_member_count(&self) -> usize {
        (self.min_members as usize).max(MIN_TARGET_MEMBERS)
    }

    /// The member at an address, if there is one.
    pub fn member_at(&self, address: SocketAddr) -> Option<MemberId> {
        self.members.iter().copied().find(|member| member.address == address)
    }

    /// Whether a member has this address.
    pub fn has_member_at(&self, address: SocketAddr) -> bool {
        self.member_at(address).is_some()
    }

    /// Whether a process is an acceptor of the next view. Before the first view is decided, the seeds are
    /// acceptors, whatever their disks.
    pub fn has_acceptor(&self, member: MemberId) -> bool {
        if self.number == 0 { self.has_member_at(member.address) } else { self.members.contains(&member) }
    }

    /// The position of a member in the chain, 0 for the head.
    pub fn position(&self, member: MemberId) -> Option<usize> {
        self.chain.iter().position(|replica| *replica == member)
    }

    /// The replica that accepts changes.
    pub fn head(&self) -> Option<MemberId> {
        self.chain.first().copied()
    }

    /// The replica that commits changes and serves reads.
    pub fn tail(&self) -> Option<MemberId> {
        self.chain.last().copied()
    }

    /// Whether a chain of `chain_length` replicas among `member_count` members is long enough to serve: every
    /// acknowledged change survives the loss of [`View::fault_tolerance`] disks, and each majority of the
    /// members contains a replica of the chain.
    pub fn is_sufficient(&self, member_count: usize, chain_length: usize) -> bool {
        let min_members = self.min_members as usize;
        let durable = (self.fault_tolerance as usize + 1).min(min_members);
        let min_replicas = durable.max(member_count.div_ceil(2)).max(1);
        member_count >= min_members && chain_length >= min_replicas
    }

    /// Whether this view may serve once all replicas of its chain hold the history.
    pub fn may_serve(&self) -> bool {
        self.is_sufficient(self.members.len(), self.chain.len())
    }
}
