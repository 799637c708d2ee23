//! Target number of decode servers in each zone.
//!
//! The prefill of a prompt occupies a whole server for tens of milliseconds and determines the time to the
//! first token; a decode occupies one of many slots of a batch. Therefore decode gets the servers that it
//! needs, with room for bursts, and prefill gets the rest.

use std::collections::BTreeMap;

/// The minimum utilization used for planning; prevents a division by zero.
const MIN_UTILIZATION: f64 = 0.01;

/// The inputs that determine the number of decode servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The number of requests in the batches and queues of decode servers, over all proxies.
    pub decode_in_flight: f64,
    /// The number of batch slots of one server.
    pub slots: u32,
    /// The minimum share of servers that decode, from 0 to 1. A KV cache transfer occupies the link of a
    /// decode server, so the links of too few decode servers would be saturated.
    pub min_decode_share: f64,
    /// The maximum share of the decode servers' slots that may be in use.
    pub max_utilization: f64,
}

/// Returns the number of decode servers for each zone, by the largest-remainder method.
///
/// A zone with at least two servers keeps at least one of each stage, so that KV caches need not be
/// transferred between zones.
pub fn decode_targets(servers_by_zone: &BTreeMap<&str, usize>, demand: &Demand) -> BTreeMap<String, usize> {
    let server_count: usize = servers_by_zone.values().sum();
    let needed = total_decode_servers(server_count, demand);
    let mut targets: BTreeMap<String, usize> = BTreeMap::new();
    let mut remainders: Vec<(f64, &str)> = Vec::new();
    let mut assigned = 0;
    for (&zone, &count) in servers_by_zone {
        let exact = needed as f64 * count as f64 / server_count.max(1) as f64;
        let target = clamp_to_zone(exact.floor() as usize, count);
        assigned += target;
        remainders.push((exact - target as f64, zone));
        targets.insert(zone.to_owned(), target);
    }
    // The zones that are furthest below their exact share come first.
    remainders.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
    for (_, zone) in remainders {
        if assigned >= needed {
            break;
        }
        let Some(target) = targets.get_mut(zone) else { continue };
        let raised = clamp_to_zone(*target + 1, servers_by_zone.get(zone).copied().unwrap_or(0));
        assigned += raised - *target;
        *target = raised;
    }
    targets
}

/// Returns the number of decode servers over all zones: the minimum share or the number needed for the load,
/// whichever is larger.
fn total_decode_servers(server_count: usize, demand: &Demand) -> usize {
    let by_share = (server_count as f64 * demand.min_decode_share.clamp(0.0, 1.0)).ceil();
    let usable_slots = f64::from(demand.slots.max(1)) * demand.max_utilization.max(MIN_UTILIZATION);
    let by_load = (demand.decode_in_flight.max(0.0) / usable_slots).ceil();
    by_share.max(by_load).min(server_count as f64) as usize
}

/// Limits a zone's number of decode servers, so that a zone with at least two servers keeps at least one of
/// each stage. A lone server decodes, since only a decode server can serve a request alone.
fn clamp_to_zone(target: usize, server_count: usize) -> usize {
    match server_count {
        0 => 0,
        1 => 1,
        _ => target.clamp(1, server_count - 1),
    }
}
