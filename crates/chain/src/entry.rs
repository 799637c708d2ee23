//! The entries of the history, and the part of a history that is sent to another replica.
//!
//! Encoded names are fixed by `serde(rename)` where the code uses another term; see docs/GLOSSARY.md.

use crate::byte_string;
use crate::digest::{Blake3, Digest, Fnv};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The header of an entry, which identifies the entry without its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EncodedEntryHeader", into = "EncodedEntryHeader")]
pub struct EntryHeader {
    /// The index of the entry in the history, from 1.
    pub index: u64,
    /// The version that the operator assigned.
    pub version: u64,
    /// The version on which the configuration is based, 0 for the first.
    pub base: u64,
    /// The digest of the entry's bytes.
    pub digest: Digest,
}

impl EntryHeader {
    /// Whether both headers identify the same change at the same index. Differs from `==`, since a header
    /// written by an earlier version has a digest with fewer hashes.
    pub fn is_same(&self, other: &EntryHeader) -> bool {
        let fields = |header: &EntryHeader| (header.index, header.version, header.base);
        fields(self) == fields(other) && self.digest.matches(&other.digest)
    }
}

/// The encoded form of a header. Earlier versions encode and decode it without `blake3` or without `request`.
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

/// An entry of the history, including its bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The header of the entry.
    #[serde(rename = "mark")]
    pub header: EntryHeader,
    /// The encoded configuration.
    #[serde(with = "byte_string")]
    pub bytes: Arc<[u8]>,
}

/// The bytes of an entry, without its header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryBody {
    /// The index of the entry.
    pub index: u64,
    /// The encoded configuration.
    #[serde(with = "byte_string")]
    pub bytes: Arc<[u8]>,
}

/// The part of a history that another replica is missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistorySuffix {
    /// The receiver keeps its own entries up to this index. If the index of the first header is not the next
    /// one, the receiver discards all of its entries.
    pub after: u64,
    /// The headers of the entries after that index, or of all retained entries.
    #[serde(rename = "marks")]
    pub headers: Vec<EntryHeader>,
    /// The bytes of the newest of these entries.
    pub bodies: Vec<EntryBody>,
}

/// A committed configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedConfig {
    /// The version that the operator assigned.
    pub version: u64,
    /// The version on which the configuration is based, 0 for the first.
    pub base: u64,
    /// The encoded configuration.
    #[serde(with = "byte_string")]
    pub bytes: Arc<[u8]>,
}
