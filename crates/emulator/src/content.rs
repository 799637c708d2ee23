//! Reproducible bodies: every byte is derived from a seed, so that a client can verify what it received.

use std::fmt::Write;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The 64-bit FNV-1a hash. It distinguishes bodies in tests and is not collision-resistant.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET, |state, byte| (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// The hash of several byte strings, each prefixed with its length.
pub fn hash_all(segments: &[&[u8]]) -> u64 {
    let mut joined = Vec::new();
    for segment in segments {
        joined.extend_from_slice(&(segment.len() as u64).to_be_bytes());
        joined.extend_from_slice(segment);
    }
    hash(&joined)
}

/// Hexadecimal text of `length` bytes, derived from the seed.
pub fn text(seed: u64, length: usize) -> String {
    let mut out = String::with_capacity(length + 16);
    let mut state = seed;
    while out.len() < length {
        state = hash(&state.to_be_bytes());
        let _ = write!(out, "{state:016x}");
    }
    out.truncate(length);
    out
}

/// The data of event `id` in the stream with this seed, `length` bytes long.
pub fn event_data(seed: u64, id: u64, length: usize) -> String {
    text(hash_all(&[&seed.to_be_bytes(), &id.to_be_bytes()]), length)
}
