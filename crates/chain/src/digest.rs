//! The digest of a configuration, by which a change is identified without its bytes.
//!
//! Earlier versions identified a change by [`Fnv`] alone, a hash with collisions that are easy to construct. Now [`Blake3`]
//! does. Logs and processes of earlier versions only know the older hash, so a digest carries both, and the older one decides
//! only if the newer one is missing on one side.

use serde::{Deserialize, Serialize};
use std::fmt;

const FNV_OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const FNV_PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

/// An FNV-1a hash of 128 bits (draft-eastlake-fnv), upper half first. Not resistant to collisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fnv(pub u64, pub u64);

impl Fnv {
    /// Hashes bytes.
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
    /// Hashes bytes.
    pub fn of(bytes: &[u8]) -> Blake3 {
        Blake3::of_parts([bytes])
    }

    /// Hashes the concatenation of several parts.
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

/// The digest of a change: the hashes of its configuration, and the hash of the request that the
/// configuration was computed from if the operator did not send a full one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest {
    /// The only hash that earlier versions know.
    pub fnv: Fnv,
    /// Missing if an earlier version wrote the entry and its bytes were dropped before this version first read it.
    pub blake3: Option<Blake3>,
    /// The hash of the request, if it changes named items of its base.
    pub request_hash: Option<Blake3>,
}

impl Digest {
    /// The digest of these bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest { fnv: Fnv::of(bytes), blake3: Some(Blake3::of(bytes)), request_hash: None }
    }

    /// The digest of the bytes that were computed from a request with this hash.
    pub fn of_request(bytes: &[u8], request_hash: Option<Blake3>) -> Digest {
        Digest { request_hash, ..Digest::of(bytes) }
    }

    /// Whether both identify the same change. One request on one base gives the same bytes, whichever process computes them.
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

    /// Whether this is the digest of these bytes, by the stronger hash that is known.
    pub fn fits(&self, bytes: &[u8]) -> bool {
        match self.blake3 {
            Some(known) => known == Blake3::of(bytes),
            None => self.fnv == Fnv::of(bytes),
        }
    }

    /// Adds the hash that an earlier version did not know, if these are the bytes.
    pub fn completed(self, bytes: &[u8]) -> Digest {
        let is_incomplete = self.blake3.is_none() && self.fits(bytes);
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
