//! What replicas agree on: members, views, ballots and the entries of the history.

use crate::digest::{Blake3, Digest, Fnv};
use crate::wire_bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A member of the core: a machine together with its disk. A machine with a new disk is another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The peer address of the process.
    pub address: SocketAddr,
    /// Drawn at random when the disk was empty.
    pub disk: u64,
}

/// With fewer members than this, the restart of one would leave no majority.
const FEWEST_SEATS: usize = 3;

/// One agreed configuration of the core. View `n + 1` is agreed by a majority of the members of view `n`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Counts views from 1. View 0 stands for the seeds before anything was agreed.
    pub number: u64,
    /// The acceptors of the next view.
    pub members: Vec<MemberId>,
    /// The replicas, head first. Each is a member.
    pub chain: Vec<MemberId>,
    /// The replica of this chain that the others take the history from.
    pub source: Option<MemberId>,
    /// The views before this one that may have been the last to serve, newest first.
    pub lineage: Vec<Ancestor>,
    /// The last view before those that may have served, 0 for none.
    pub base: u64,
    /// How many machines may lose their disks at once.
    pub tolerated: u32,
    /// How many members a view needs before it serves.
    pub required: u32,
}

/// A view that may have served, and whose history may be the newest that counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ancestor {
    /// The number of the view.
    pub number: u64,
    /// Its chain.
    pub chain: Vec<MemberId>,
}

impl View {
    /// How many members are a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// How many members a view has where there are enough processes: an odd number, since one more would not let one more
    /// be lost.
    pub fn seats(&self) -> usize {
        (self.required as usize).max(FEWEST_SEATS)
    }

    /// The member at an address.
    pub fn member_at(&self, address: SocketAddr) -> Option<MemberId> {
        self.members.iter().copied().find(|member| member.address == address)
    }

    /// Whether a process at this address is a member.
    pub fn has_member_at(&self, address: SocketAddr) -> bool {
        self.member_at(address).is_some()
    }

    /// Whether a process votes on the next view. Before anything was agreed, the seeds do, whatever their disks.
    pub fn admits(&self, member: MemberId) -> bool {
        if self.number == 0 { self.has_member_at(member.address) } else { self.members.contains(&member) }
    }

    /// The position of a member in the chain, 0 for the head.
    pub fn position(&self, member: MemberId) -> Option<usize> {
        self.chain.iter().position(|replica| *replica == member)
    }

    /// The replica that takes writes.
    pub fn head(&self) -> Option<MemberId> {
        self.chain.first().copied()
    }

    /// The replica that commits and answers reads.
    pub fn tail(&self) -> Option<MemberId> {
        self.chain.last().copied()
    }

    /// Whether a chain of `length` replicas among `members` members may serve: every acknowledged change outlives
    /// the tolerated loss of disks, and each majority of the members contains a replica of the chain.
    pub fn suffices(&self, members: usize, length: usize) -> bool {
        let required = self.required as usize;
        let replicas = (self.tolerated as usize + 1).min(required).max(members.div_ceil(2)).max(1);
        members >= required && length >= replicas
    }

    /// Whether this view may serve once its chain holds the history.
    pub fn may_serve(&self) -> bool {
        self.suffices(self.members.len(), self.chain.len())
    }
}

/// The number of a proposal for one view. Ordered by round, then by proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Counts attempts from 1.
    pub round: u64,
    /// Who proposes.
    pub proposer: MemberId,
}

/// What identifies an entry of the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EncodedMark", into = "EncodedMark")]
pub struct Mark {
    /// Its place in the history, from 1.
    pub index: u64,
    /// The version that the operator gave it.
    pub version: u64,
    /// The version that it builds on, 0 for the first.
    pub base: u64,
    /// The digest of its bytes.
    pub digest: Digest,
}

impl Mark {
    /// Whether both are the same change at the same place. Not `==`: an earlier version tells less of a digest.
    pub fn is_same(&self, other: &Mark) -> bool {
        let fields = |mark: &Mark| (mark.index, mark.version, mark.base);
        fields(self) == fields(other) && self.digest.matches(&other.digest)
    }
}

/// A mark in logs and messages. Earlier versions write and read it without `blake3` or without `request`.
#[derive(Serialize, Deserialize)]
struct EncodedMark {
    index: u64,
    version: u64,
    base: u64,
    digest: Fnv,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    blake3: Option<Blake3>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    request: Option<Blake3>,
}

impl From<EncodedMark> for Mark {
    fn from(encoded: EncodedMark) -> Mark {
        let EncodedMark { index, version, base, digest: fnv, blake3, request } = encoded;
        Mark { index, version, base, digest: Digest { fnv, blake3, request } }
    }
}

impl From<Mark> for EncodedMark {
    fn from(mark: Mark) -> EncodedMark {
        let Mark { index, version, base, digest: Digest { fnv, blake3, request } } = mark;
        EncodedMark { index, version, base, digest: fnv, blake3, request }
    }
}

/// An entry of the history on its way from replica to replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What identifies it.
    pub mark: Mark,
    /// The configuration, byte for byte.
    #[serde(with = "wire_bytes")]
    pub bytes: Arc<[u8]>,
}

/// The bytes of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The place of the entry.
    pub index: u64,
    /// The configuration, byte for byte.
    #[serde(with = "wire_bytes")]
    pub bytes: Arc<[u8]>,
}

/// The part of a history that another replica lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The entries up to this one stay. If the first mark does not follow it, nothing stays.
    pub after: u64,
    /// The entries behind it.
    pub marks: Vec<Mark>,
    /// The bytes of the newest of them.
    pub bodies: Vec<Body>,
}

/// A committed configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedConfig {
    /// The version that the operator gave it.
    pub version: u64,
    /// The version that it builds on, 0 for the first.
    pub base: u64,
    /// The configuration, byte for byte.
    #[serde(with = "wire_bytes")]
    pub bytes: Arc<[u8]>,
}

/// One call of the operator at one process. The incarnation tells apart calls from before and after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// Drawn at random at the start of the process.
    pub incarnation: u64,
    /// The ticket of the call within that process.
    pub ticket: u64,
}
