//! The server list as the caller hands it over.

use super::id::ServerId;
use std::time::Duration;

/// What the list says about whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It takes requests.
    Ready,
    /// It finishes what it has in flight and takes nothing new.
    Draining,
    /// It has left.
    Gone,
}

/// One entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Whether it takes requests.
    pub availability: Availability,
    /// Its cell.
    pub cell: u16,
    /// Its zone.
    pub zone: u16,
    /// Its kind of machine. Servers of one kind suit the classes alike.
    pub machine_type: u8,
    /// Its capacity relative to that of others. Values under 1, and NaN, count as 1.
    pub weight: f64,
    /// Clock reading of its last start; `None` if that is long ago.
    pub started_at: Option<Duration>,
}

/// An update of the server list, or of the subscription to it.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerListEvent {
    /// The complete list. Servers that are missing from it are gone.
    Full(Vec<ServerEntry>),
    /// Only the entries that changed.
    Delta(Vec<ServerEntry>),
    /// The list that this sidecar had last, perhaps out of date. Comes once, at the start.
    Cached(Vec<ServerEntry>),
    /// A call to discovery failed. The current list stays in use.
    Failed,
    /// A running subscription was reset or timed out. The current list stays in use, but the sidecar may be missing
    /// changes already, so it asks again sooner than after [`ServerListEvent::Failed`].
    Interrupted,
}
