//! The settings of a replica. The default timings suit a control plane within one region.

use std::net::SocketAddr;
use std::time::Duration;

/// Short enough that a peer is only suspected after three heartbeats in a row are lost.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Well above a sync on a disk 25 times slower than usual (125 ms), well below the bound on acknowledgements (4 s).
const SUSPECT_AFTER: Duration = Duration::from_millis(700);
/// Below the time after which a new process must count (4 s).
const REPLACE_AFTER: Duration = Duration::from_millis(1_800);
const REJOIN_AFTER: Duration = Duration::from_millis(500);
/// Below the second after which the operator turns to another process.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// A sixteenth of the smallest disk.
const REWRITE_THRESHOLD_BYTES: usize = 8 * 1024 * 1024;
/// A few chunks fit into the send queue of a link without delaying heartbeats.
const CHUNK_BYTES: usize = 256 * 1024;
/// Days of hundreds of changes, within which a resend is recognised.
const MAX_HEADERS: usize = 10_000;
/// The last entry may be uncommitted; the one before it is then the current configuration.
const MAX_BODIES: usize = 2;

/// How much of the history a replica retains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryLimits {
    /// The number of the newest entries whose headers are retained, at least 2. Default 10,000.
    pub max_headers: usize,
    /// The number of the newest entries whose bytes are retained, at least 2. Default 2.
    pub max_bodies: usize,
}

impl Default for HistoryLimits {
    fn default() -> HistoryLimits {
        HistoryLimits { max_headers: MAX_HEADERS, max_bodies: MAX_BODIES }
    }
}

/// The settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The peer address of this process.
    pub local_address: SocketAddr,
    /// Peer addresses of processes that run a replica. May include this process and may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system, so that the seeds may agree on view 1.
    pub bootstrap: bool,
    /// How many machines may lose their disks at once.
    pub fault_tolerance: usize,
    /// Whether this process may become a member. Others only learn what is committed and forward requests. Default true.
    pub counts_for_quorum: bool,
    /// The interval between two heartbeats to a peer. Default 200 ms.
    pub heartbeat_interval: Duration,
    /// A peer without heartbeats, or a disk that does not complete a batch, for this long leaves the chain. Default 700 ms.
    pub suspect_after: Duration,
    /// A member that was never heard since the start may be replaced by a learner after this; one that was heard may be
    /// replaced as soon as it is suspected. Default 1.8 s.
    pub replace_after: Duration,
    /// A replica that has been healthy again for this long returns to the chain. Default 500 ms.
    pub rejoin_after: Duration,
    /// A request of the operator without an outcome is answered with "unavailable" after this. Default 900 ms.
    pub request_timeout: Duration,
    /// The log is rewritten when it is longer than this and than twice what it needs to contain, in bytes. Default 8 MiB.
    pub rewrite_threshold_bytes: usize,
    /// How much of the history is retained.
    pub history: HistoryLimits,
    /// The length of the chunks in which a history is sent to another replica, in bytes. Default 256 KiB.
    pub chunk_bytes: usize,
    /// The seed of the random number generator. Must differ from start to start: the identity of a new disk comes from it.
    pub seed: u64,
}

impl ReplicaSettings {
    /// Settings with the default timings and limits.
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
