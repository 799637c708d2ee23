//! Messages shared by the controller and the tasks around it: what control processes send each other, how a write to the log
//! ended, and what is announced to seeds.
//!
//! This module depends on `record_owner` alone, so that the commands and the tasks that send them can both use it.

use crate::record_owner::RecordOwner;
use lugwharf_protocol::{ServiceLoad, Update, VersionVector};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What control processes send each other about the tables that agents pull. Sent every 500 ms and after each change of the
/// server list. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TablesMessage {
    /// What the sender has and observes.
    #[serde(rename = "Have")]
    Report {
        /// The versions of its tables.
        vector: VersionVector,
        /// Live front-end nodes among the agents that pull from it.
        #[serde(rename = "fronts")]
        front_count: u32,
        /// Requests in flight at those front-end nodes, summed by service.
        loads: Vec<ServiceLoad>,
        /// Whether the sender may reach the platform; true where it has not tried, and for earlier versions, which do not say.
        #[serde(rename = "reaches", default = "reachable_by_default")]
        is_platform_reachable: bool,
        /// Peer addresses of all control processes that a member gets messages from. Learners and earlier versions name none.
        #[serde(default)]
        processes: Vec<SocketAddr>,
    },
    /// What the receiver lacks.
    Update(Update),
}

fn reachable_by_default() -> bool {
    true
}

/// A message between control processes, by the state machine that handles it. Encoded names are fixed; see
/// docs/GLOSSARY.md.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// For the replica of the configuration.
    Chain(lugwharf_chain::Message),
    /// For the elector of the list watcher.
    Election(lugwharf_election::Message),
    /// For the tables.
    Tables(TablesMessage),
}

/// The control processes as announced to seeds that run none.
#[derive(Clone, Debug, Default)]
pub struct Announcement {
    /// The agent addresses of the seeds that run no control process, as far as is known.
    pub seeds: Vec<SocketAddr>,
    /// The agent addresses of the control processes.
    pub control: Vec<SocketAddr>,
}

/// How a batch of records ended.
#[derive(Clone, Copy, Debug)]
pub struct PersistOutcome {
    /// Whose batch it is.
    pub owner: RecordOwner,
    /// Its number, as its owner counts.
    pub batch: u64,
    /// Whether it is on disk; otherwise the write or the sync failed.
    pub is_synced: bool,
}
