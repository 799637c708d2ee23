//! Server list entries and updates, as the caller reports them.

use super::id::ServerId;
use std::time::Duration;

/// Whether a server accepts requests, according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The server accepts requests.
    Ready,
    /// The server completes its requests in flight and accepts no new ones.
    Draining,
    /// The server has been removed.
    Gone,
}

/// One entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The id of the server.
    pub server: ServerId,
    /// Whether the server accepts requests.
    pub availability: Availability,
    /// The cell of the server, a group of servers that may share request deduplication; see
    /// [`DedupScope::Cell`](super::DedupScope::Cell).
    pub cell: u16,
    /// The zone of the server.
    pub zone: u16,
    /// The machine type of the server. Servers of one type have the same relative latency for each class.
    pub machine_type: u8,
    /// The capacity of the server relative to other servers. Values below 1, and NaN, count as 1.
    pub weight: f64,
    /// The clock reading at the last start of the server; `None` if it started long ago.
    pub started_at: Option<Duration>,
}

/// An update of the server list, or of the subscription to it.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerListEvent {
    /// The complete list. Servers that are missing from it count as removed.
    Full(Vec<ServerEntry>),
    /// Only the entries that changed.
    Delta(Vec<ServerEntry>),
    /// The last list that this sidecar knew, which may be out of date. Reported once, at startup.
    Cached(Vec<ServerEntry>),
    /// A call to discovery failed. The current list stays in use.
    Failed,
    /// A running subscription was reset or timed out. The current list stays in use, but the sidecar may
    /// already be missing changes, so it subscribes again sooner than after [`ServerListEvent::Failed`].
    Interrupted,
}
