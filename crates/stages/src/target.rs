//! How many servers of each zone should make tokens.
//!
//! Reading a prompt takes a whole server for tens of milliseconds and decides when the first token comes; making tokens takes
//! one of many places of a batch. So decode gets what it needs with room for bursts, and prefill gets the rest.

use std::collections::BTreeMap;

/// What the size of the parts depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Requests that decode servers work on or hold in their queues, over all proxies.
    pub decode_in_flight: f64,
    /// Places of one server.
    pub slots: u32,
    /// The share of servers that decode gets at least: a hand-over of memory occupies a server's link, and few links would
    /// be busy links.
    pub min_decode_share: f64,
    /// The share of the places of decode servers that may be taken.
    pub max_utilization: f64,
}

/// The number of decode servers by zone. Each zone with two servers or more keeps one of either part, so that memory need not
/// move between zones.
pub fn decode_targets(servers_by_zone: &BTreeMap<&str, usize>, demand: &Demand) -> BTreeMap<String, usize> {
    let all: usize = servers_by_zone.values().sum();
    let wanted = wanted(all, demand);
    let mut targets: BTreeMap<String, usize> = BTreeMap::new();
    let mut remainders: Vec<(f64, &str)> = Vec::new();
    let mut given = 0;
    for (&zone, &count) in servers_by_zone {
        let exact = wanted as f64 * count as f64 / all.max(1) as f64;
        let target = bounded(exact.floor() as usize, count);
        given += target;
        remainders.push((exact - target as f64, zone));
        targets.insert(zone.to_owned(), target);
    }
    // The zones that are furthest below their exact share come first.
    remainders.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
    for (_, zone) in remainders {
        if given >= wanted {
            break;
        }
        let Some(target) = targets.get_mut(zone) else { continue };
        let raised = bounded(*target + 1, servers_by_zone.get(zone).copied().unwrap_or(0));
        given += raised - *target;
        *target = raised;
    }
    targets
}

/// Decode servers over all zones.
fn wanted(all: usize, demand: &Demand) -> usize {
    let by_share = (all as f64 * demand.min_decode_share.clamp(0.0, 1.0)).ceil();
    let places = f64::from(demand.slots.max(1)) * demand.max_utilization.max(0.01);
    let by_load = (demand.decode_in_flight.max(0.0) / places).ceil();
    by_share.max(by_load).min(all as f64) as usize
}

/// One of either part where there are two servers; a lone server makes tokens, since only that can serve alone.
fn bounded(target: usize, servers: usize) -> usize {
    match servers {
        0 => 0,
        1 => 1,
        _ => target.clamp(1, servers - 1),
    }
}
