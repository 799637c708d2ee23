//! How a simulated cluster is set up.

use lugwharf_chain::HistoryLimits;
use std::time::Duration;

/// The set-up of a cluster.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub node_count: usize,
    /// How many disks may be lost at once without losing an acknowledged change.
    pub fault_tolerance: usize,
    pub client_count: usize,
    /// How long a disk takes to sync a batch.
    pub sync_time: Duration,
    /// The slowest link takes this long.
    pub max_delay: Duration,
    /// A log above this size is rewritten.
    pub rewrite_threshold_bytes: usize,
    pub history: HistoryLimits,
    /// The size of a chunk of a state transfer.
    pub chunk_bytes: usize,
    /// Whether messages are encoded and decoded on their way.
    pub encodes_messages: bool,
    /// Whether peers are suspected so soon that processes propose views against each other all the time.
    pub has_dueling_proposers: bool,
}

impl Scenario {
    /// Three machines, one of which may be lost.
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

    /// Five machines, two of which may be lost.
    pub fn five_nodes() -> Scenario {
        Scenario { node_count: 5, fault_tolerance: 2, ..Scenario::three_nodes() }
    }
}
