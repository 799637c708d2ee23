//! Heartbeats between the processes of the control plane.
//!
//! Encoded names are fixed by `serde(rename)` where the code uses another term; see docs/GLOSSARY.md.

use crate::entry::EntryHeader;
use crate::member::MemberId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The extent of the history that a replica holds. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryPosition {
    /// The number of the newest view whose history the replica holds.
    #[serde(rename = "installed")]
    pub installed_view: u64,
    /// The index of the last entry of that history.
    pub last_index: u64,
}

/// The state of a link as observed by one of its ends. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// The address of the other end, from which a heartbeat was received recently.
    pub peer: SocketAddr,
    /// Whether the other end reports that it receives heartbeats from this end.
    #[serde(rename = "two_way")]
    pub bidirectional: bool,
}

/// A heartbeat: the state of a process that the other processes need to plan the next view. Encoded names are
/// fixed; see docs/GLOSSARY.md.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The identity of the sender.
    pub sender: MemberId,
    /// A random number, generated when the process started.
    pub incarnation: u64,
    /// Whether the sender may take part in bootstrapping the first view.
    #[serde(rename = "founder")]
    pub may_bootstrap: bool,
    /// Whether the sender may become a member.
    pub counts_for_quorum: bool,
    /// The number of the newest view that the sender knows.
    pub view: u64,
    /// The number of the newest view whose history the sender holds on disk.
    #[serde(rename = "installed")]
    pub installed_view: u64,
    /// Whether the sender has promised a view later than the newest one that it knows.
    pub sealed: bool,
    /// The index of the last entry on the sender's disk.
    #[serde(rename = "synced")]
    pub synced_index: u64,
    /// The header of the newest committed entry that the sender knows.
    pub committed: Option<EntryHeader>,
    /// The index up to which the sender holds the committed history on disk. `None` from earlier versions,
    /// which do not report it.
    #[serde(default, rename = "held")]
    pub durable_commit_index: Option<u64>,
    /// Whether the sender is shutting down and asks to be left out of the next view.
    #[serde(default, rename = "leaving")]
    pub is_leaving: bool,
    /// Whether the sender's disk completes batches in time.
    #[serde(rename = "disk_well")]
    pub disk_healthy: bool,
    /// The peers from which the sender has received heartbeats recently.
    pub links: Vec<Link>,
}
