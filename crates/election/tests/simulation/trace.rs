//! A digest of the events in a simulated world. It covers only encoded bytes, virtual times and addresses, so
//! that renaming identifiers in the source does not change it.

use crate::process::address;
use std::time::Duration;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The FNV-1a hash of everything folded so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trace(u64);

impl Trace {
    pub fn new() -> Self {
        Self(FNV_OFFSET)
    }

    pub fn digest(self) -> u64 {
        self.0
    }

    pub fn fold(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    pub fn fold_number(&mut self, number: u64) {
        self.fold(&number.to_be_bytes());
    }

    /// Folds the kind, time and process of an event.
    pub fn fold_event(&mut self, kind: u8, now: Duration, process: usize) {
        self.fold(&[kind]);
        self.fold(&now.as_nanos().to_be_bytes());
        self.fold_number(u64::from(address(process).port()));
    }

    /// Folds bytes, preceded by their length.
    pub fn fold_sized(&mut self, bytes: &[u8]) {
        self.fold_number(bytes.len() as u64);
        self.fold(bytes);
    }
}
