//! What all fronts have under way, summed on the way: each control process adds up its own agents and tells the others the
//! sum.

use lugwharf_protocol::ServiceLoad;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What was not report again for so long no longer counts.
const FORGET_AFTER: Duration = Duration::from_secs(3);
/// Agents that are remembered at most.
const MAX_AGENTS: usize = 4_096;
/// Services in one report at most.
const MAX_SERVICES: usize = 256;

struct LoadReport {
    loads: Vec<ServiceLoad>,
    received_at: Duration,
}

impl LoadReport {
    fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.received_at) <= FORGET_AFTER
    }
}

/// The loads of the agents that pull from here, and the sums of the other control processes.
#[derive(Default)]
pub struct FleetLoad {
    agents: BTreeMap<String, LoadReport>,
    peers: BTreeMap<SocketAddr, LoadReport>,
}

impl FleetLoad {
    /// Takes what an agent tells.
    pub fn record_agent(&mut self, now: Duration, node: &str, mut loads: Vec<ServiceLoad>) {
        loads.truncate(MAX_SERVICES);
        if self.agents.len() >= MAX_AGENTS {
            self.agents.retain(|_, report| report.is_fresh(now));
        }
        let report = LoadReport { loads, received_at: now };
        let has_capacity = self.agents.len() < MAX_AGENTS;
        match self.agents.get_mut(node) {
            Some(known) => *known = report,
            None if has_capacity => drop(self.agents.insert(node.to_owned(), report)),
            None => {}
        }
    }

    /// Takes the sum of another control process.
    pub fn record_peer(&mut self, now: Duration, peer: SocketAddr, mut loads: Vec<ServiceLoad>) {
        loads.truncate(MAX_SERVICES);
        self.peers.retain(|_, report| report.is_fresh(now));
        self.peers.insert(peer, LoadReport { loads, received_at: now });
    }

    /// The sum over the agents that pull from here.
    pub fn local_sum(&self, now: Duration) -> Vec<ServiceLoad> {
        sum(self.agents.values().filter(|report| report.is_fresh(now)))
    }

    /// Answers under way at one service, over the whole fleet.
    pub fn decode_in_flight(&self, now: Duration, service: &str) -> u32 {
        let report = self.agents.values().chain(self.peers.values()).filter(|report| report.is_fresh(now));
        let loads = report.flat_map(|report| &report.loads).filter(|load| load.service == service);
        loads.fold(0, |sum, load| sum.saturating_add(load.decode))
    }
}

fn sum<'a>(report: impl Iterator<Item = &'a LoadReport>) -> Vec<ServiceLoad> {
    let mut sums: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for load in report.flat_map(|report| &report.loads) {
        let (prefill, decode) = sums.entry(load.service.as_str()).or_default();
        *prefill = prefill.saturating_add(load.prefill);
        *decode = decode.saturating_add(load.decode);
    }
    let load = |(service, (prefill, decode)): (&str, (u32, u32))| ServiceLoad {
        service: service.to_owned(),
        prefill,
        decode,
    };
    sums.into_iter().take(MAX_SERVICES).map(load).collect()
}
