//! Messages shared by the controller and the tasks around it: messages between control processes, the outcome
//! of log writes, and announcements to seeds.
//!
//! This module depends only on `record_owner`, so that both the commands and the tasks that send them can use
//! it.

use crate::record_owner::RecordOwner;
use lugwharf_protocol::{ServiceLoad, Update, VersionVector};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Messages between control processes about the tables that agents pull. They are sent every 500 ms and after
/// each change of the server list. The encoded names must not change; see `docs/GLOSSARY.md`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TablesMessage {
    /// The versions that the sender has, and its observations.
    #[serde(rename = "Have")]
    Report {
        /// The versions of the sender's tables.
        vector: VersionVector,
        /// The number of live front-end nodes whose agents pull from the sender.
        #[serde(rename = "fronts")]
        front_count: u32,
        /// Requests in flight at those front-end nodes, summed by service.
        loads: Vec<ServiceLoad>,
        /// Whether the sender may be able to reach the platform. True if the sender has not tried, and if the
        /// field is missing, because earlier versions do not send it.
        #[serde(rename = "reaches", default = "reachable_by_default")]
        is_platform_reachable: bool,
        /// The peer addresses of all control processes that a member receives messages from. Empty if the
        /// sender is a learner or an earlier version.
        #[serde(default)]
        processes: Vec<SocketAddr>,
        /// The digest of the sender's server list, which belongs to the position in `vector`. `None` if the
        /// sender reports another position than it has, or is an earlier version.
        #[serde(rename = "digest", default, skip_serializing_if = "Option::is_none")]
        list_digest: Option<u64>,
    },
    /// The changes that the receiver does not have yet.
    Update(Update),
}

fn reachable_by_default() -> bool {
    true
}

/// A message between control processes, by the state machine that handles it. The encoded names must not
/// change; see `docs/GLOSSARY.md`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// For the replica of the configuration.
    Chain(lugwharf_chain::Message),
    /// For the elector of the list watcher.
    Election(lugwharf_election::Message),
    /// For the tables.
    Tables(TablesMessage),
}

/// An announcement of control processes to the seeds that run none.
#[derive(Clone, Debug, Default)]
pub struct Announcement {
    /// The agent addresses of the seeds that are not known to run a control process.
    pub seeds: Vec<SocketAddr>,
    /// The agent addresses of the control processes.
    pub control: Vec<SocketAddr>,
}

/// The outcome of writing a batch of records to the log.
#[derive(Clone, Copy, Debug)]
pub struct PersistOutcome {
    /// The state machine that the batch belongs to.
    pub owner: RecordOwner,
    /// The number of the batch, assigned by its owner.
    pub batch: u64,
    /// Whether the batch is synced to disk; otherwise the write or the sync failed.
    pub is_synced: bool,
}
