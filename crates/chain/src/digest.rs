//! The digest of a configuration, which identifies a change without its bytes.
//!
//! Earlier versions identified a change by [`Fnv`] alone, for which collisions are easy to construct. The
//! current version uses [`Blake3`]. Logs and processes of earlier versions contain only the older hash, so a
//! digest carries both. The older hash is compared only if one side lacks the newer one.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The offset basis of FNV-1a with 128 bits.
const FNV_OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
/// The prime of FNV-1a with 128 bits.
const FNV_PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

/// An FNV-1a hash of 128 bits (draft-eastlake-fnv), upper half first. Not resistant to collisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fnv(pub u64, pub u64);

impl Fnv {
    /// Returns the hash of some bytes.
    pub fn of(bytes: &[u8]) -> Fnv {
        let hash = bytes.iter().fold(FNV_OFFSET, |hash, byte| {
            let mixed = hash ^ u128::from(*byte);
            mixed.wrapping_mul(FNV_PRIME)
        });
        Fnv((hash >> 64) as u64, hash as u64)
    }
}

/// The first 128 bits of a BLAKE3 hash, upper half first. Finding a collision takes about 2^64 hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Blake3(pub u64, pub u64);

impl Blake3 {
    /// Returns the hash of some bytes.
    pub fn of(bytes: &[u8]) -> Blake3 {
        Blake3::of_parts([bytes])
    }

    /// Returns the hash of the concatenation of several parts.
    pub fn of_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Blake3 {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(part);
        }
        let mut halves = [[0; size_of::<u64>()]; 2];
        hasher.finalize_xof().fill(halves.as_flattened_mut());
        let [upper, lower] = halves.map(u64::from_be_bytes);
        Blake3(upper, lower)
    }
}

impl fmt::Display for Blake3 {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.0, self.1)
    }
}

/// The digest of a change: the hashes of its configuration and, if the operator did not send a full
/// configuration, the hash of the request from which the configuration was computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest {
    /// The FNV-1a hash of the configuration, the only hash that earlier versions know.
    pub fnv: Fnv,
    /// The BLAKE3 hash of the configuration. Missing if an earlier version wrote the entry and its bytes were
    /// dropped before this version first decoded the entry.
    pub blake3: Option<Blake3>,
    /// The hash of the request, if the request was a partial update of its base configuration.
    pub request_hash: Option<Blake3>,
}

impl Digest {
    /// Returns the digest of a full configuration.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest { fnv: Fnv::of(bytes), blake3: Some(Blake3::of(bytes)), request_hash: None }
    }

    /// Returns the digest of a configuration that was computed from a request with this hash.
    pub fn of_request(bytes: &[u8], request_hash: Option<Blake3>) -> Digest {
        Digest { request_hash, ..Digest::of(bytes) }
    }

    /// Whether both digests identify the same change. Equal request hashes are sufficient: a request that is
    /// applied to the same base yields the same bytes in every process.
    pub fn matches(&self, other: &Digest) -> bool {
        let same_request = self.request_hash.is_some() && self.request_hash == other.request_hash;
        same_request || self.has_same_bytes(other)
    }

    fn has_same_bytes(&self, other: &Digest) -> bool {
        match (self.blake3, other.blake3) {
            (Some(one), Some(other)) => one == other,
            _ => self.fnv == other.fnv,
        }
    }

    /// Whether this is the digest of these bytes, according to the strongest hash that is present.
    pub fn matches_bytes(&self, bytes: &[u8]) -> bool {
        match self.blake3 {
            Some(known) => known == Blake3::of(bytes),
            None => self.fnv == Fnv::of(bytes),
        }
    }

    /// Returns the digest with the BLAKE3 hash added, if an earlier version omitted it and these are the
    /// bytes.
    pub fn with_blake3(self, bytes: &[u8]) -> Digest {
        let is_incomplete = self.blake3.is_none() && self.matches_bytes(bytes);
        if is_incomplete { Digest { blake3: Some(Blake3::of(bytes)), ..self } } else { self }
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.blake3 {
            Some(hash) => hash.fmt(formatter),
            None => write!(formatter, "fnv-{:016x}{:016x}", self.fnv.0, self.fnv.1),
        }
    }
}
