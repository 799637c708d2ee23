//! The settings of a replica. The default timings are meant for a control plane within one region.

use std::net::SocketAddr;
use std::time::Duration;

/// Less than a third of [`SUSPECT_AFTER`], so a peer is suspected only after three consecutive heartbeats are
/// lost.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Far longer than a sync on a disk that is 25 times slower than usual (125 ms), and far shorter than the
/// bound on acknowledgements (4 s).
const SUSPECT_AFTER: Duration = Duration::from_millis(700);
/// Shorter than the time within which a new process must have become a member (4 s).
const REPLACE_AFTER: Duration = Duration::from_millis(1_800);
/// Two and a half heartbeat intervals.
const REJOIN_AFTER: Duration = Duration::from_millis(500);
/// Shorter than the one second after which an operator retries at another process.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// One sixteenth of the smallest supported disk.
const REWRITE_THRESHOLD_BYTES: usize = 8 * 1024 * 1024;
/// A few chunks of this size fit into the send queue of a connection without delaying heartbeats.
const CHUNK_BYTES: usize = 256 * 1024;
/// Covers several days with hundreds of changes each, during which a resent change is recognised.
const MAX_HEADERS: usize = 10_000;
/// The last entry may be uncommitted, in which case the entry before it is the current configuration.
const MAX_BODIES: usize = 2;

/// The limits on the part of the history that a replica retains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryLimits {
    /// The number of newest entries whose headers are retained, at least 2. Default 10,000.
    pub max_headers: usize,
    /// The number of newest entries whose bytes are retained, at least 2. Default 2.
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
    /// Peer addresses of processes that run a replica. The list may include this process and may be out of
    /// date.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system, in which case the seeds may decide view 1.
    pub bootstrap: bool,
    /// The number of machines that may lose their disks at the same time without losing an acknowledged
    /// change.
    pub fault_tolerance: usize,
    /// Whether this process may become a member. A process that may not only learns the committed history and
    /// forwards requests. Default true.
    pub counts_for_quorum: bool,
    /// The interval between two heartbeats to the same peer. Default 200 ms.
    pub heartbeat_interval: Duration,
    /// A replica is removed from the chain if no heartbeat of it arrives, or its disk does not complete a
    /// batch, within this time. Default 700 ms.
    pub suspect_after: Duration,
    /// A member from which no heartbeat has arrived since the start may be replaced by a learner after this
    /// time. A member from which one has arrived may be replaced as soon as it is suspected. Default 1.8 s.
    pub replace_after: Duration,
    /// A replica returns to the chain once it has been healthy again for this long. Default 500 ms.
    pub rejoin_after: Duration,
    /// An operator request without an outcome is answered with [`crate::OperatorResponse::Unavailable`] after
    /// this time. Default 900 ms.
    pub request_timeout: Duration,
    /// The log is rewritten (compacted) when it is longer than this and longer than twice its live content,
    /// in bytes. Default 8 MiB.
    pub rewrite_threshold_bytes: usize,
    /// The limits on the part of the history that is retained.
    pub history: HistoryLimits,
    /// The maximum length of the chunks in which a history is sent to another replica, in bytes. Default 256
    /// KiB.
    pub chunk_bytes: usize,
    /// The seed of the random number generator. It must differ from start to start, since the identity of a
    /// new disk is derived from it.
    pub seed: u64,
}

impl ReplicaSettings {
    /// Creates settings with the default timings and limits.
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
