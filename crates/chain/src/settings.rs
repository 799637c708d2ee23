//! The settings of a replica, with timings that fit a core within one region.

use std::net::SocketAddr;
use std::time::Duration;

/// Heartbeats are frequent enough that three may be missed before a peer is suspected.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Well above a sync on a disk 25 times slower than usual (125 ms), well below the bound on acknowledgements (4 s).
const SUSPECT_AFTER: Duration = Duration::from_millis(700);
/// A member that was never heard for this long gives its place to a learner. Below the time in which a newcomer counts (4 s).
const REPLACE_AFTER: Duration = Duration::from_millis(1_800);
/// A member that came back is taken into the chain after it has been calm for this long.
const REJOIN_AFTER: Duration = Duration::from_millis(500);
/// The operator moves on to another machine after a second of silence.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// A sixteenth of the smallest disk.
const REWRITE_THRESHOLD_BYTES: usize = 8 * 1024 * 1024;

/// A few of them fit into the queue of a link without position up heartbeats.
const CHUNK_BYTES: usize = 256 * 1024;
/// How many entries are kept to recognise resends: days of hundreds of changes.
const MAX_HEADERS: usize = 10_000;
/// The last entry may be uncommitted, the one before it is then current.
const MAX_BODIES: usize = 2;

/// How much of the history a replica keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryLimits {
    /// The newest entries that are known by their headers, at least 2.
    pub max_headers: usize,
    /// The newest of those whose bytes are kept, at least 2.
    pub max_bodies: usize,
}

impl Default for HistoryLimits {
    fn default() -> HistoryLimits {
        HistoryLimits { max_headers: MAX_HEADERS, max_bodies: MAX_BODIES }
    }
}

/// What a replica is told at its start.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The peer address of this process.
    pub local_address: SocketAddr,
    /// Peer addresses of processes that serve control. May include this process and may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// How many machines may lose their disks at once.
    pub fault_tolerance: usize,
    /// Whether this process may become a member. Others learn what is committed and pass calls on.
    pub counts_for_quorum: bool,
    /// The time between two heartbeats to a peer.
    pub heartbeat_interval: Duration,
    /// A peer that is silent, or a disk that hangs, for this long leaves the chain.
    pub suspect_after: Duration,
    /// A member that was not heard for this long since the start may be replaced by a learner; one that was heard and went silent
    /// may be at once when it is suspected.
    pub replace_after: Duration,
    /// A replica that is well again for this long is taken back into the chain.
    pub rejoin_after: Duration,
    /// A call of the operator that is not decided after this long is answered with unavailable.
    pub request_timeout: Duration,
    /// The log is rewritten when it is longer than this and than twice what it needs to hold, in bytes.
    pub rewrite_threshold_bytes: usize,
    /// How much of the history is kept.
    pub history: HistoryLimits,
    /// A history goes to another replica in chunks of so many bytes.
    pub chunk_bytes: usize,
    /// Seed of the random numbers. Must differ from start to start: the identity of a new disk comes from it.
    pub seed: u64,
}

impl ReplicaSettings {
    /// Settings with the usual timings.
    pub fn new(
        local_address: SocketAddr, seeds: Vec<SocketAddr>, bootstrap: bool, fault_tolerance: usize, seed: u64,
    ) -> ReplicaSettings {
        ReplicaSettings {
            local_address,
            seeds,
            bootstrap,
            fault_tolerance,
            counts_for_quorum: true,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            suspect_after: SUSPECT_AFTER,
            replace_after: REPLACE_AFTER,
            rejoin_after: REJOIN_AFTER,
            request_timeout: REQUEST_TIMEOUT,
            rewrite_threshold_bytes: REWRITE_THRESHOLD_BYTES,
            history: HistoryLimits::default(),
            chunk_bytes: CHUNK_BYTES,
            seed,
        }
    }
}
