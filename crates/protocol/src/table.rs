//! The tables that the control plane distributes to the data plane: the configuration, the servers and the
//! fleet summary.

use crate::byte_string;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A committed configuration as submitted by the operator.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct ConfigRecord {
    /// The version of the configuration, greater than 0.
    pub version: u64,
    /// The JSON text of the configuration, byte for byte.
    #[serde(with = "byte_string")]
    pub bytes: Vec<u8>,
}

impl ConfigRecord {
    /// Returns the hash of the configuration's bytes, which identifies the configuration in the logs of all
    /// processes. The hash is computed when it is formatted.
    pub fn hash(&self) -> ConfigHash<'_> {
        ConfigHash(&self.bytes)
    }
}

/// Formats the first 128 bits of the BLAKE3 hash of a configuration in hex, the form that control processes
/// also log.
pub struct ConfigHash<'a>(&'a [u8]);

impl fmt::Display for ConfigHash<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hash = blake3::hash(self.0);
        let (displayed, _) = hash.as_bytes().split_at(DISPLAYED_HASH_BYTES);
        displayed.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The number of bytes of a hash that are displayed: 128 bits.
const DISPLAYED_HASH_BYTES: usize = 16;

/// The inference phase that a model server executes if prefill and decode are disaggregated.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stage {
    /// The server processes prompts.
    Prefill,
    /// The server generates tokens.
    Decode,
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts new requests.
    Ready,
    /// The server finishes its requests in flight and accepts no new ones.
    Draining,
}

/// A model that a server has loaded.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct ModelEntry {
    /// The name of the model.
    pub name: String,
    /// The version of its weights.
    pub version: u64,
}

/// One server of the platform's list. The encoded names must not change; see docs/GLOSSARY.md.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ServerEntry {
    /// The id of the server's incarnation; each restart changes it.
    pub id: String,
    /// The service that the server belongs to.
    pub service: String,
    /// The address on which the server accepts requests.
    pub address: SocketAddr,
    /// The zone of the server.
    pub zone: String,
    /// The number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// The remaining warm-up time of the server when the list was read, in ms.
    #[serde(rename = "cold_left_ms")]
    pub warmup_remaining_ms: u64,
    /// The phase that the server executes; `None` if its service does not disaggregate prefill and decode.
    pub stage: Option<Stage>,
    /// The models that the server has loaded.
    pub models: Vec<ModelEntry>,
}

/// A position in the history of a table that has a single writer at a time. Positions are ordered by epoch,
/// then by sequence number.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TablePosition {
    /// The fencing token of the writer.
    pub epoch: u64,
    /// The sequence number of the change within the epoch, starting at 1.
    pub sequence: u64,
}

/// A change to the server table. The module `packed` defines its encoded form.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerDelta {
    /// The position of the table after this change.
    pub position: TablePosition,
    /// Whether the delta is a snapshot: `entries` is then the complete table and replaces the receiver's
    /// table. Otherwise `entries` contains only the new and changed servers.
    pub is_full: bool,
    /// The position that an incremental delta was computed for: it contains all changes after that position.
    /// `None` if `is_full` is true, and in deltas of earlier versions, which do not send it.
    pub base: Option<TablePosition>,
    /// The entries to insert, or to replace by id.
    pub entries: Vec<ServerEntry>,
    /// The ids of the servers to remove; empty if `is_full` is true.
    pub removed: Vec<String>,
}

impl ServerDelta {
    /// Returns whether a table at `have` has the content of `position` once it has applied this delta.
    ///
    /// An incremental delta must contain every change that the table is missing. This is certain if the table
    /// is at its base, or beyond its base in the epoch of `position`, which has one writer. A table beyond the
    /// base in another epoch may contain changes that the writer of this epoch never saw. Without a base, only
    /// the next change of the same epoch is certain to be complete.
    pub fn completes(&self, have: TablePosition) -> bool {
        let is_same_epoch = have.epoch == self.position.epoch;
        match self.base {
            _ if self.is_full => true,
            Some(base) => have == base || (have > base && is_same_epoch),
            None => is_same_epoch && have.sequence.checked_add(1) == Some(self.position.sequence),
        }
    }
}

/// A summary of the fleet of proxies.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct FleetSummary {
    /// The number of live proxies; 0 if it is unknown.
    pub live_proxies: u32,
}
