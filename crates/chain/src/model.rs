//! The data that replicas agree on: members, views, proposal numbers and the entries of the history.
//!
//! Encoded names are fixed by `serde(rename)` where the code uses another term; see docs/GLOSSARY.md.

use crate::digest::{Blake3, Digest, Fnv};
use crate::wire_bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The identity of a member: an address together with a disk. A machine with a new disk is another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The peer address of the process.
    pub address: SocketAddr,
    /// Drawn at random when the disk was empty.
    pub disk: u64,
}

/// With fewer members than this, the restart of one would leave no majority.
const MIN_TARGET_MEMBERS: usize = 3;

/// One decided configuration of the core: its members and its chain. View `n + 1` is decided by the members of view `n`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Counts views from 1. View 0 stands for the seeds before anything was decided.
    pub number: u64,
    /// The members: the acceptors of the next view.
    pub members: Vec<MemberId>,
    /// The replicas of the chain, head first. Each is a member.
    pub chain: Vec<MemberId>,
    /// The replica of this chain from which the others take the history.
    pub source: Option<MemberId>,
    /// The views before this one that may have been the last to serve, newest first.
    pub lineage: Vec<Ancestor>,
    /// The number of the newest view before the lineage that counts as one that has served, 0 for none.
    #[serde(rename = "base")]
    pub last_known_served: u64,
    /// How many machines may lose their disks at once.
    #[serde(rename = "tolerated")]
    pub fault_tolerance: u32,
    /// How many members a view needs before it may serve.
    #[serde(rename = "required")]
    pub min_members: u32,
}

/// A view that may have served, and whose history may be the newest with acknowledged entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ancestor {
    /// The number of the view.
    pub number: u64,
    /// Its chain.
    pub chain: Vec<MemberId>,
}

impl View {
    /// The number of members that makes a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The number of members that a view has where there are enough processes. It is odd: one more member would not let the
    /// view bear one more loss.
    pub fn target_member_count(&self) -> usize {
        (self.min_members as usize).max(MIN_TARGET_MEMBERS)
    }

    /// The member at an address.
    pub fn member_at(&self, address: SocketAddr) -> Option<MemberId> {
        self.members.iter().copied().find(|member| member.address == address)
    }

    /// Whether a process at this address is a member.
    pub fn has_member_at(&self, address: SocketAddr) -> bool {
        self.member_at(address).is_some()
    }

    /// Whether a process is an acceptor of the next view. Before anything was decided the seeds are, whatever their disks.
    pub fn has_acceptor(&self, member: MemberId) -> bool {
        if self.number == 0 { self.has_member_at(member.address) } else { self.members.contains(&member) }
    }

    /// The position of a member in the chain, 0 for the head.
    pub fn position(&self, member: MemberId) -> Option<usize> {
        self.chain.iter().position(|replica| *replica == member)
    }

    /// The replica that takes changes.
    pub fn head(&self) -> Option<MemberId> {
        self.chain.first().copied()
    }

    /// The replica that commits changes and answers reads.
    pub fn tail(&self) -> Option<MemberId> {
        self.chain.last().copied()
    }

    /// Whether a chain of `chain_length` replicas among `member_count` members is sufficient to serve: every acknowledged
    /// change survives the loss of [`View::fault_tolerance`] disks, and each majority of the members contains a replica of
    /// the chain.
    pub fn is_sufficient(&self, member_count: usize, chain_length: usize) -> bool {
        let min_members = self.min_members as usize;
        let durable = (self.fault_tolerance as usize + 1).min(min_members);
        let min_replicas = durable.max(member_count.div_ceil(2)).max(1);
        member_count >= min_members && chain_length >= min_replicas
    }

    /// Whether this view may serve once its chain holds the history.
    pub fn may_serve(&self) -> bool {
        self.is_sufficient(self.members.len(), self.chain.len())
    }
}

/// The number of a Paxos proposal, unique across proposers. Ordered by round, then by proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Counts the attempts from 1.
    pub round: u64,
    /// The proposer.
    pub proposer: MemberId,
}

/// The header of an entry: what identifies it without its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EncodedEntryHeader", into = "EncodedEntryHeader")]
pub struct EntryHeader {
    /// The position in the history, from 1.
    pub index: u64,
    /// The version that the operator gave it.
    pub version: u64,
    /// The version that it builds on, 0 for the first.
    pub base: u64,
    /// The digest of its bytes.
    pub digest: Digest,
}

impl EntryHeader {
    /// Whether both are the same change at the same index. Not `==`, since a header from an earlier version has a digest with
    /// fewer hashes.
    pub fn is_same(&self, other: &EntryHeader) -> bool {
        let fields = |header: &EntryHeader| (header.index, header.version, header.base);
        fields(self) == fields(other) && self.digest.matches(&other.digest)
    }
}

/// The encoded form of a header. Earlier versions write and read it without `blake3` or without `request`.
#[derive(Serialize, Deserialize)]
struct EncodedEntryHeader {
    index: u64,
    version: u64,
    base: u64,
    digest: Fnv,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    blake3: Option<Blake3>,
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "request")]
    request_hash: Option<Blake3>,
}

impl From<EncodedEntryHeader> for EntryHeader {
    fn from(encoded: EncodedEntryHeader) -> EntryHeader {
        let EncodedEntryHeader { index, version, base, digest: fnv, blake3, request_hash } = encoded;
        EntryHeader { index, version, base, digest: Digest { fnv, blake3, request_hash } }
    }
}

impl From<EntryHeader> for EncodedEntryHeader {
    fn from(header: EntryHeader) -> EncodedEntryHeader {
        let EntryHeader { index, version, base, digest: Digest { fnv, blake3, request_hash } } = header;
        EncodedEntryHeader { index, version, base, digest: fnv, blake3, request_hash }
    }
}

/// An entry of the history with its bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What identifies it.
    #[serde(rename = "mark")]
    pub header: EntryHeader,
    /// The configuration, byte for byte.
    #[serde(with = "wire_bytes")]
    pub bytes: Arc<[u8]>,
}

/// The bytes of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryBody {
    /// The index of the entry.
    pub index: u64,
    /// The configuration, byte for byte.
    #[serde(with = "wire_bytes")]
    pub bytes: Arc<[u8]>,
}

/// The part of a history that another replica lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistorySuffix {
    /// The receiver keeps its entries up to this index. If the first header does not follow it, the receiver keeps none.
    pub after: u64,
    /// The headers of the entries behind it.
    #[serde(rename = "marks")]
    pub headers: Vec<EntryHeader>,
    /// The bytes of the newest of them.
    pub bodies: Vec<EntryBody>,
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

/// The identity of a request between replicas. The incarnation tells requests before a restart from those after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Drawn at random at the start of the process.
    pub incarnation: u64,
    /// Counts the requests of that process.
    #[serde(rename = "ticket")]
    pub sequence: u64,
}
