//! Heartbeats.
//!
//! Encoded names are fixed by `serde(rename)` where the code uses another term; see docs/GLOSSARY.md.

use crate::entry::EntryHeader;
use crate::member::MemberId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How far the history of a replica reaches. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryPosition {
    /// The number of the newest view whose history the replica holds.
    #[serde(rename = "installed")]
    pub installed_view: u64,
    /// The index of its last entry.
    pub last_index: u64,
}

/// The state of a link as one of its ends sees it. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// The other end, from which a heartbeat was received lately.
    pub peer: SocketAddr,
    /// Whether the other end reports that it receives heartbeats from this one.
    #[serde(rename = "two_way")]
    pub bidirectional: bool,
}

/// A heartbeat: the state of a process, as far as others need it to judge the view. Encoded names are fixed; see
/// docs/GLOSSARY.md.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub sender: MemberId,
    /// Drawn at random at the start of the process.
    pub incarnation: u64,
    /// Whether the sender may take part in bootstrapping the first view.
    #[serde(rename = "founder")]
    pub may_bootstrap: bool,
    /// Whether the sender may become a member.
    pub counts_for_quorum: bool,
    /// The number of the newest view that it knows.
    pub view: u64,
    /// The number of the newest view whose history it holds on disk.
    #[serde(rename = "installed")]
    pub installed_view: u64,
    /// Whether it has promised a later view than the newest that it knows.
    pub sealed: bool,
    /// The index of the last entry on its disk.
    #[serde(rename = "synced")]
    pub synced_index: u64,
    /// The newest committed entry that it knows.
    pub committed: Option<EntryHeader>,
    /// Its disk holds the committed history up to this index. `None` from earlier versions, which do not report it.
    #[serde(default, rename = "held")]
    pub durable_commit_index: Option<u64>,
    /// Whether it is shutting down and asks to be left out of the next view.
    #[serde(default, rename = "leaving")]
    pub is_leaving: bool,
    /// Whether its disk accepts batches in time.
    #[serde(rename = "disk_well")]
    pub disk_healthy: bool,
    /// The peers that it received heartbeats from lately.
    pub links: Vec<Link>,
}
