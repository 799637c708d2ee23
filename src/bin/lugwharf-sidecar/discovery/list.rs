//! Parsing a server list in the JSON form of discovery.

use super::error::DiscoveryError;
use crate::config::normalize_name;
use crate::events::{ListMember, ListUpdate};
use lugwharf_sidecar::api::{Availability, ServerEntry, ServerId};
use lugwharf_sidecar::settings_text::NetworkSettings;
use serde_json::Value;
use std::time::Duration;

/// The limit on weights, which are near 1. A weight that is above the limit or negative counts as 1.
const MAX_WEIGHT: f64 = 1_000.0;

/// Parses a list. An entry that cannot be parsed is skipped and the others are used. All skipped entries
/// share one log line, since a corrupt list must not fill the log.
pub fn read(list: &Value, names: &NetworkSettings) -> Result<ListUpdate, DiscoveryError> {
    let revision = list["revision"].as_u64().ok_or(DiscoveryError::Missing("revision"))?;
    let is_complete = list["complete"].as_bool().ok_or(DiscoveryError::Missing("complete"))?;
    let entries = list["members"].as_array().ok_or(DiscoveryError::Missing("members"))?;
    let members: Vec<_> = entries.iter().filter_map(|entry| read_member(entry, names)).collect();
    if members.len() < entries.len() {
        let skipped = entries.len() - members.len();
        eprintln!("skipped {skipped} of {} entries of the server list", entries.len());
    }
    Ok(ListUpdate { revision, is_complete, members })
}

fn read_member(member: &Value, names: &NetworkSettings) -> Option<ListMember> {
    let index_in = |names: &[String], key: &str| {
        let name = normalize_name(member[key].as_str().unwrap_or_default());
        names.iter().position(|other| *other == name)
    };
    let availability = match member["phase"].as_str()? {
        "Ready" => Availability::Ready,
        "Terminating" => Availability::Draining,
        "Gone" => Availability::Gone,
        _ => return None,
    };
    // The driver's clock is Unix time as well; 0 means that the start is long ago.
    let started_ms = member["up_since_ms"].as_f64().filter(|&ms| ms > 0.0);
    let weight = member["size"].as_f64().filter(|weight| (0.0..=MAX_WEIGHT).contains(weight));
    let entry = ServerEntry {
        server: server_id_of(member["id"].as_str()?),
        availability,
        cell: member["cell"].as_u64().and_then(|cell| u16::try_from(cell).ok())?,
        // A zone or kind of machine that the settings don't name gets an index that no other has.
        zone: index_in(&names.zones, "locality").map_or(u16::MAX, |index| index as u16),
        machine_type: index_in(&names.machine_types, "flavor").map_or(u8::MAX, |index| index as u8),
        weight: weight.unwrap_or(1.0),
        started_at: started_ms.and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok()),
    };
    Some(ListMember { entry, address: member["host_port"].as_str()?.parse().ok()? })
}

/// Returns the id of the server with this name: the FNV-1a hash of the name, so that all sidecars sort the
/// list alike.
fn server_id_of(name: &str) -> ServerId {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    ServerId(hash)
}
