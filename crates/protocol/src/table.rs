//! The tables that are brought to the data plane: configuration, servers, the size of the fleet.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A committed configuration as the operator sent it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct ConfigRecord {
    /// Its number.
    pub version: u64,
    /// Its JSON, byte for byte.
    #[serde(with = "bytes_as_cbor")]
    pub bytes: Vec<u8>,
}

mod bytes_as_cbor {
    //! Encodes a byte vector as one CBOR byte string instead of an array of numbers.
    use serde::de::{Error, SeqAccess, Visitor};
    use serde::{Deserializer, Serializer};
    use std::fmt;

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    struct Bytes;

    impl<'de> Visitor<'de> for Bytes {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a byte string")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(bytes)
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Vec<u8>, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = sequence.next_element()? {
                bytes.push(byte);
            }
            Ok(bytes)
        }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        deserializer.deserialize_byte_buf(Bytes)
    }
}

/// Which part of a split generation a model server does.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stage {
    /// It reads prompts.
    Prefill,
    /// It makes tokens.
    Decode,
}

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It finishes what it has; nothing new.
    Draining,
}

/// One model that a server holds.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct ModelEntry {
    /// Its name.
    pub name: String,
    /// The version of its weights.
    pub version: u64,
}

/// One server of the platform's list. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ServerEntry {
    /// Its incarnation.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// For how long it is still slow from its start, in ms, when it was listed.
    #[serde(rename = "cold_left_ms")]
    pub warmup_remaining_ms: u64,
    /// Its part, where it has one.
    pub stage: Option<Stage>,
    /// Models it holds.
    pub models: Vec<ModelEntry>,
}

/// A place in the history of a table that one holder at a time writes.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TablePosition {
    /// The fencing token of the writer.
    pub epoch: u64,
    /// Counts the writer's changes, from 1.
    pub sequence: u64,
}

/// What changed in the list of servers. `packed` says how it crosses a link.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerDelta {
    /// The position after this change.
    pub position: TablePosition,
    /// Whether `entries` is the whole list; else it holds only what is new or different.
    pub is_full: bool,
    /// Entries that are new or different.
    pub entries: Vec<ServerEntry>,
    /// Ids that are gone; empty where `is_full`.
    pub removed: Vec<String>,
}

/// What is known of the fleet as a whole.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct FleetSummary {
    /// Proxies that are alive, as far as is known; 0 where nothing is known.
    pub live_proxies: u32,
}
