//! 64-bit fingerprints of states. The search treats states with equal fingerprints as the same state.
//!
//! The probability that two of 10 million states share a fingerprint is 3 in a million. The search then
//! misses the states that can be reached only from one of the two.

use std::hash::{Hash, Hasher};

/// The initial value: the fractional part of the golden ratio.
const SEED: u64 = 0x9e37_79b9_7f4a_7c15;
/// An odd number with evenly spread bits, from wyhash.
const FACTOR: u64 = 0xa076_1d64_78bd_642f;

/// A hasher that collects bytes into 64-bit words and mixes each word in with a multiplication to 128 bits,
/// as wyhash does.
struct FoldingHasher {
    /// The hash of the words that are complete.
    folded: u64,
    /// The bytes that do not fill a word yet.
    word: u64,
    /// The number of bits of `word` that are in use.
    filled_bits: u32,
}

impl FoldingHasher {
    fn fold(&mut self, word: u64) {
        let product = u128::from(self.folded ^ word) * u128::from(FACTOR);
        self.folded = (product >> 64) as u64 ^ (product as u64).wrapping_add(SEED);
    }
}

impl Hasher for FoldingHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u8(*byte);
        }
    }

    fn write_u8(&mut self, byte: u8) {
        self.word |= u64::from(byte) << self.filled_bits;
        self.filled_bits += u8::BITS;
        if self.filled_bits == u64::BITS {
            self.fold(self.word);
            self.word = 0;
            self.filled_bits = 0;
        }
    }

    /// Hashes a length. Lengths in a model are below 256.
    fn write_usize(&mut self, length: usize) {
        self.write_u8(length as u8);
    }

    /// Hashes the discriminant of an enum. Discriminants in a model are below 256.
    fn write_isize(&mut self, variant: isize) {
        self.write_u8(variant as u8);
    }

    fn finish(&self) -> u64 {
        let mut finished = FoldingHasher { ..*self };
        finished.fold(self.word);
        finished.fold(u64::from(self.filled_bits));
        finished.folded
    }
}

/// The fingerprint of a state.
pub fn fingerprint(state: &impl Hash) -> u64 {
    let mut hasher = FoldingHasher { folded: SEED, word: 0, filled_bits: 0 };
    state.hash(&mut hasher);
    hasher.finish()
}
