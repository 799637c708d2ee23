//! The encoded form of a [`ServerDelta`].
//!
//! After a restart of the whole system a snapshot is sent to every front-end node at once, so its size
//! determines how soon a large fleet serves requests again. Entries are encoded as arrays instead of maps,
//! and values shared by many entries (services, zones, sets of models) are sent once and referred to by
//! index. This takes about 33 bytes per entry instead of 143.

use crate::table::{ModelEntry, ServerDelta, ServerEntry, ServerState, Stage, TablePosition};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;
use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;

/// A [`ServerDelta`] with shared values factored out. The encoded names must not change; see
/// docs/GLOSSARY.md.
#[derive(Serialize, Deserialize)]
struct PackedDelta<'a> {
    position: TablePosition,
    #[serde(rename = "whole")]
    is_full: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    base: Option<TablePosition>,
    /// The distinct names of services and zones.
    names: Vec<Cow<'a, str>>,
    /// The distinct sets of models.
    #[serde(rename = "models")]
    model_sets: Vec<Cow<'a, [ModelEntry]>>,
    rows: Vec<PackedServer<'a>>,
    removed: Cow<'a, [String]>,
}

/// One server, encoded as an array of its fields in the order below.
struct PackedServer<'a> {
    id: Cow<'a, str>,
    /// An index into [`PackedDelta::names`].
    service: usize,
    address: SocketAddr,
    /// An index into [`PackedDelta::names`].
    zone: usize,
    slots: u32,
    is_ready: bool,
    warmup_remaining_ms: u64,
    /// Whether the server's stage is prefill, as opposed to decode; `None` if the server has no stage.
    is_prefill: Option<bool>,
    /// An index into [`PackedDelta::model_sets`].
    model_set: usize,
}

/// The fields of a [`PackedServer`] in their encoded order.
type PackedRow<'a> = (Cow<'a, str>, usize, SocketAddr, usize, u32, bool, u64, Option<bool>, usize);

impl Serialize for PackedServer<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let row = (
            &self.id,
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.is_ready,
            self.warmup_remaining_ms,
            self.is_prefill,
            self.model_set,
        );
        row.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for PackedServer<'_> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (id, service, address, zone, slots, is_ready, warmup_remaining_ms, is_prefill, model_set) =
            PackedRow::deserialize(deserializer)?;
        Ok(PackedServer {
            id,
            service,
            address,
            zone,
            slots,
            is_ready,
            warmup_remaining_ms,
            is_prefill,
            model_set,
        })
    }
}

/// A set of distinct values, each identified by an index in the order of first use.
struct Interner<T> {
    values: Vec<T>,
    indices: HashMap<T, usize>,
}

impl<T: Copy + Eq + Hash> Interner<T> {
    fn new() -> Self {
        Interner { values: Vec::new(), indices: HashMap::new() }
    }

    /// Returns the index of `value`, adding `value` if it is new.
    fn intern(&mut self, value: T) -> usize {
        *self.indices.entry(value).or_insert_with(|| {
            self.values.push(value);
            self.values.len() - 1
        })
    }
}

fn pack(delta: &ServerDelta) -> PackedDelta<'_> {
    let mut names = Interner::new();
    let mut model_sets = Interner::new();
    let mut rows = Vec::with_capacity(delta.entries.len());
    for entry in &delta.entries {
        rows.push(PackedServer {
            id: Cow::Borrowed(entry.id.as_str()),
            service: names.intern(entry.service.as_str()),
            address: entry.address,
            zone: names.intern(entry.zone.as_str()),
            slots: entry.slots,
            is_ready: entry.state == ServerState::Ready,
            warmup_remaining_ms: entry.warmup_remaining_ms,
            is_prefill: entry.stage.map(|stage| stage == Stage::Prefill),
            model_set: model_sets.intern(entry.models.as_slice()),
        });
    }
    PackedDelta {
        position: delta.position,
        is_full: delta.is_full,
        base: delta.base,
        names: names.values.into_iter().map(Cow::Borrowed).collect(),
        model_sets: model_sets.values.into_iter().map(Cow::Borrowed).collect(),
        rows,
        removed: Cow::Borrowed(&delta.removed),
    }
}

/// Returns the unpacked delta, or `None` if an index is out of range.
fn unpack(packed: PackedDelta<'_>) -> Option<ServerDelta> {
    let PackedDelta { position, is_full, base, names, model_sets, rows, removed } = packed;
    let unpack_server = |server: PackedServer<'_>| {
        Some(ServerEntry {
            id: server.id.into_owned(),
            service: names.get(server.service)?.to_string(),
            address: server.address,
            zone: names.get(server.zone)?.to_string(),
            slots: server.slots,
            state: if server.is_ready { ServerState::Ready } else { ServerState::Draining },
            warmup_remaining_ms: server.warmup_remaining_ms,
            stage: server.is_prefill.map(|prefill| if prefill { Stage::Prefill } else { Stage::Decode }),
            models: model_sets.get(server.model_set)?.to_vec(),
        })
    };
    let entries = rows.into_iter().map(unpack_server).collect::<Option<Vec<ServerEntry>>>()?;
    Some(ServerDelta { position, is_full, base, entries, removed: removed.into_owned() })
}

impl Serialize for ServerDelta {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        pack(self).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ServerDelta {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let packed = PackedDelta::deserialize(deserializer)?;
        unpack(packed).ok_or_else(|| D::Error::custom("packed server delta contains an index out of range"))
    }
}
