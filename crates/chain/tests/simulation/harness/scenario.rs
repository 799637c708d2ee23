//! The configuration of a simulated cluster.

use lugwharf_chain::HistoryLimits;
use std::time::Duration;

/// The configuration of a cluster.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub node_count: usize,
    /// The number of disks that may be lost at the same time without losing an acknowledged change.
    pub fault_tolerance: usize,
    pub client_count: usize,
    /// The time that a disk needs to sync a batch.
    pub sync_time: Duration,
    /// The maximum delay of a message.
    pub max_delay: Duration,
    /// The log size in bytes above which the log is rewritten.
    pub rewrite_threshold_bytes: usize,
    pub history: HistoryLimits,
    /// The maximum size of a chunk of a state transfer, in bytes.
    pub chunk_bytes: usize,
    /// Whether messages are encoded and decoded in transit.
    pub encodes_messages: bool,
    /// Whether peers are suspected so early that processes keep proposing competing views.
    pub has_dueling_proposers: bool,
}

impl Scenario {
    /// Three machines, of which one may be lost.
    pub fn three_nodes() -> Scenario {
        Scenario {
            node_count: 3,
            fault_tolerance: 1,
            client_count: 2,
            sync_time: Duration::from_millis(5),
            max_delay: Duration::from_millis(3),
            rewrite_threshold_bytes: 8 * 1024 * 1024,
            history: HistoryLimits::default(),
            chunk_bytes: 256 * 1024,
            encodes_messages: false,
            has_dueling_proposers: false,
        }
    }

    /// Five machines, of which two may be lost.
    pub fn five_nodes() -> Scenario {
        Scenario { node_count: 5, fault_tolerance: 2, ..Scenario::three_nodes() }
    }
}
