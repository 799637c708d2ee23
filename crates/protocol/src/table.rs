//! The tables that the control plane distributes to the data plane: the configuration, the servers, the size of the fleet.

use crate::byte_string;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A committed configuration as the operator sent it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct ConfigRecord {
    /// Its version, above 0.
    pub version: u64,
    /// Its JSON, byte for byte.
    #[serde(with = "byte_string")]
    pub bytes: Vec<u8>,
}

impl ConfigRecord {
    /// The hash of its bytes, by which a configuration is followed from process to process in the logs. Computed when it is
    /// shown.
    pub fn hash(&self) -> ConfigHash<'_> {
        ConfigHash(&self.bytes)
    }
}

/// Shows the first 128 bits of the BLAKE3 hash of a configuration in hex, as control processes log it too.
pub struct ConfigHash<'a>(&'a [u8]);

impl fmt::Display for ConfigHash<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hash = blake3::hash(self.0);
        let (shown, _) = hash.as_bytes().split_at(SHOWN_HASH_BYTES);
        shown.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

const SHOWN_HASH_BYTES: usize = 16;

/// The phase of generations that a model server does where prefill and decode are split.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stage {
    /// It processes prompts.
    Prefill,
    /// It generates tokens.
    Decode,
}

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum ServerState {
    /// It takes new requests.
    Ready,
    /// It finishes its requests in flight and takes no new ones.
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

/// One server of the platform's list. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ServerEntry {
    /// The id of the server's incarnation: a restart gives it another one.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The address that it serves requests on.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ServerState,
    /// For how long it was still warming up when the list was read, in ms.
    #[serde(rename = "cold_left_ms")]
    pub warmup_remaining_ms: u64,
    /// The phase that it does; absent where its service does not split them.
    pub stage: Option<Stage>,
    /// The models that it has loaded.
    pub models: Vec<ModelEntry>,
}

/// A position in the history of a table that has one writer at a time. Positions are ordered by epoch, then sequence.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TablePosition {
    /// The fencing token of the writer.
    pub epoch: u64,
    /// The number of the writer's change, from 1.
    pub sequence: u64,
}

/// A change of the server table. The module `packed` has its encoded form.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerDelta {
    /// The position of the table after this change.
    pub position: TablePosition,
    /// Whether this is a snapshot in the form of a delta: `entries` is then the complete table, which replaces what the
    /// receiver has. Otherwise `entries` contains only those that are new or different.
    pub is_full: bool,
    /// Entries to insert, or to replace by id.
    pub entries: Vec<ServerEntry>,
    /// Ids to remove; empty where `is_full`.
    pub removed: Vec<String>,
}

/// What is known of the fleet of proxies.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct FleetSummary {
    /// The number of live proxies; 0 where it is unknown.
    pub live_proxies: u32,
}
