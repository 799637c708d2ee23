//! The messages that several parts of this process share: what control processes send each other, and how a write to the
//! log ended. It depends on no other module, so that the queue of commands and the drivers that fill it may both use it.

use lugwharf_protocol::{ServiceLoad, Update, VersionVector};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What one control process tells another about its tables.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TablesMessage {
    /// What the sender has, and how many fronts it counts as its own.
    Have {
        /// Its vector.
        vector: VersionVector,
        /// Fronts that it hears.
        fronts: u32,
        /// What those fronts have under way, summed.
        loads: Vec<ServiceLoad>,
        /// Whether it may reach the platform; true where it has not tried.
        #[serde(default = "yes")]
        reaches: bool,
        /// Peer addresses of all control processes that the sender hears, where it is a member; followers name nobody.
        #[serde(default)]
        processes: Vec<SocketAddr>,
    },
    /// What the receiver is missing.
    Update(Update),
}

fn yes() -> bool {
    true
}

/// The messages of a link, by the state machine they are for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// For the replica.
    Chain(lugwharf_chain::Message),
    /// For the election.
    Election(lugwharf_election::Message),
    /// For the tables.
    Tables(TablesMessage),
}

/// Which state machine a record belongs to; the first byte of each record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOwner {
    /// The replica of the configuration and its views.
    Chain,
    /// The election of the list reader.
    Election,
}

/// How a batch ended.
#[derive(Clone, Copy, Debug)]
pub struct PersistOutcome {
    /// Whose it was.
    pub owner: RecordOwner,
    /// Its number.
    pub batch: u64,
    /// Whether it is synced.
    pub is_synced: bool,
}
