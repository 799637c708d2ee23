//! The form in which a change of the list of servers crosses a link.
//!
//! A whole list goes to every front at once after a restart of everything, so that its size decides how soon a large fleet
//! serves again. Entries are arrays instead of maps, and what many of them share (services, zones, sets of models) is sent
//! once and named by its index: some 33 bytes for an entry instead of 143.

use crate::table::{ModelEntry, ServerDelta, ServerEntry, ServerState, Stage, TablePosition};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;
use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;

/// A change of the list, with what its entries share taken out.
#[derive(Serialize, Deserialize)]
struct PackedDelta<'a> {
    position: TablePosition,
    #[serde(rename = "whole")]
    is_full: bool,
    names: Vec<Cow<'a, str>>,
    models: Vec<Cow<'a, [ModelEntry]>>,
    rows: Vec<Row<'a>>,
    removed: Cow<'a, [String]>,
}

/// One server: id, service, address, zone, slots, whether it takes requests, `warmup_remaining_ms`, part, models. Service, zone and
/// models are indices.
#[derive(Serialize, Deserialize)]
struct Row<'a>(Cow<'a, str>, usize, SocketAddr, usize, u32, bool, u64, Option<bool>, usize);

/// Values by the order in which they came up first.
struct Indexed<T> {
    values: Vec<T>,
    places: HashMap<T, usize>,
}

impl<T: Copy + Eq + Hash> Indexed<T> {
    fn new() -> Self {
        Indexed { values: Vec::new(), places: HashMap::new() }
    }

    fn place(&mut self, value: T) -> usize {
        *self.places.entry(value).or_insert_with(|| {
            self.values.push(value);
            self.values.len() - 1
        })
    }
}

fn pack(delta: &ServerDelta) -> PackedDelta<'_> {
    let mut names = Indexed::new();
    let mut models = Indexed::new();
    let rows = delta.entries.iter().map(|entry| {
        let service = names.place(entry.service.as_str());
        let zone = names.place(entry.zone.as_str());
        let models = models.place(entry.models.as_slice());
        let ready = entry.state == ServerState::Ready;
        let prefill = entry.stage.map(|stage| stage == Stage::Prefill);
        let id = Cow::Borrowed(entry.id.as_str());
        Row(id, service, entry.address, zone, entry.slots, ready, entry.warmup_remaining_ms, prefill, models)
    });
    let rows = rows.collect();
    PackedDelta {
        position: delta.position,
        is_full: delta.is_full,
        names: names.values.into_iter().map(Cow::Borrowed).collect(),
        models: models.values.into_iter().map(Cow::Borrowed).collect(),
        rows,
        removed: Cow::Borrowed(&delta.removed),
    }
}

fn unpack(packed: PackedDelta<'_>) -> Option<ServerDelta> {
    let PackedDelta { position, is_full, names, models, rows, removed } = packed;
    let entry = |row: Row<'_>| {
        let Row(id, service, address, zone, slots, ready, warmup_remaining_ms, prefill, held) = row;
        Some(ServerEntry {
            id: id.into_owned(),
            service: names.get(service)?.to_string(),
            address,
            zone: names.get(zone)?.to_string(),
            slots,
            state: if ready { ServerState::Ready } else { ServerState::Draining },
            warmup_remaining_ms,
            stage: prefill.map(|prefill| if prefill { Stage::Prefill } else { Stage::Decode }),
            models: models.get(held)?.to_vec(),
        })
    };
    let entries = rows.into_iter().map(entry).collect::<Option<Vec<ServerEntry>>>()?;
    Some(ServerDelta { position, is_full, entries, removed: removed.into_owned() })
}

impl Serialize for ServerDelta {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        pack(self).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ServerDelta {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let packed = PackedDelta::deserialize(deserializer)?;
        unpack(packed).ok_or_else(|| D::Error::custom("an index without a value"))
    }
}
