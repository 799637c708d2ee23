//! The table of visited states.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};

/// The number of shards of the table. Each has its own lock.
const SHARD_COUNT: usize = 64;

/// Hashes a fingerprint to itself, since the bits of a fingerprint are already evenly distributed.
#[derive(Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn write(&mut self, _: &[u8]) {
        unreachable!("only fingerprints are hashed");
    }

    fn write_u64(&mut self, word: u64) {
        self.0 = word;
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// Fingerprints of states, each with the fingerprint of its predecessor.
type Shard = HashMap<u64, u64, BuildHasherDefault<IdentityHasher>>;

/// The fingerprints of all visited states, each with the fingerprint of its predecessor. An initial state is
/// its own predecessor.
pub struct VisitedStates {
    shards: Vec<Mutex<Shard>>,
    count: AtomicUsize,
}

impl VisitedStates {
    /// An empty table.
    pub fn new() -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        VisitedStates { shards, count: AtomicUsize::new(0) }
    }

    fn lock_shard(&self, fingerprint: u64) -> MutexGuard<'_, Shard> {
        // The upper half selects the shard, since the lower bits select the bucket within the shard.
        let shard = &self.shards[(fingerprint >> 32) as usize % SHARD_COUNT];
        shard.lock().expect("no thread panics while it holds the lock of a shard")
    }

    /// Adds a state. Returns whether it was not visited before.
    pub fn insert(&self, fingerprint: u64, predecessor: u64) -> bool {
        let mut shard = self.lock_shard(fingerprint);
        if shard.contains_key(&fingerprint) {
            return false;
        }
        shard.insert(fingerprint, predecessor);
        self.count.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// The fingerprints on the path from an initial state to a visited one, both included.
    pub fn path_to(&self, last: u64) -> Vec<u64> {
        let mut path = vec![last];
        let mut current = last;
        loop {
            let predecessor = self.lock_shard(current)[&current];
            if predecessor == current {
                path.reverse();
                return path;
            }
            path.push(predecessor);
            current = predecessor;
        }
    }

    /// The number of visited states.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}
