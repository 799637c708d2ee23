//! Rendezvous hashing, or highest random weight (Thaler and Ravishankar, Using Name-Based Mappings to
//! Increase Hit Rates, 1998).
//!
//! Each key ranks all servers independently of other keys, so proxies agree on a key's server without
//! communication, and removing a server moves only the keys of that server.

/// Parameters of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash. The hash is the same on all machines and in all versions, which proxies
/// rely on to agree.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Returns the weight of a server for a key; the server with the highest weight owns the key. `server` is a
/// hash of the server's id.
pub fn weight(key: u64, server: u64) -> u64 {
    mix(key ^ mix(server))
}

/// The finalizer of SplitMix64: every input bit affects every output bit.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
