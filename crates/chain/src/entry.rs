//! The entries of the history, and the part of a history that one replica sends to another.
//!
//! Encoded names are fixed by `serde(rename)` where the code uses another term; see docs/GLOSSARY.md.

use crate::byte_string;
use crate::digest::{Blake3, Digest, Fnv};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

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
    #[serde(with = "byte_string")]
    pub bytes: Arc<[u8]>,
}

/// The bytes of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryBody {
    /// The index of the entry.
    pub index: u64,
    /// The configuration, byte for byte.
    #[serde(with = "byte_string")]
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
    #[serde(with = "byte_string")]
    pub bytes: Arc<[u8]>,
}
