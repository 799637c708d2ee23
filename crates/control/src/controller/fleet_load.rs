//! The number of requests in flight in the whole fleet. Each control process sums the loads of the agents
//! that pull from it, and reports the sum to the other control processes.

use lugwharf_protocol::ServiceLoad;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Reports older than this are ignored.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// The maximum number of agents that are recorded.
const MAX_AGENTS: usize = 4_096;
/// The maximum number of services in one report.
const MAX_SERVICES: usize = 256;

struct LoadReport {
    loads: Vec<ServiceLoad>,
    received_at: Duration,
}

impl LoadReport {
    fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.received_at) <= REPORT_TTL
    }
}

/// The loads of the agents that pull from this process, and the sums that its peers reported. All times count
/// from the start of the process.
#[derive(Default)]
pub struct FleetLoad {
    agents: BTreeMap<String, LoadReport>,
    peers: BTreeMap<SocketAddr, LoadReport>,
}

impl FleetLoad {
    /// Replaces the loads of one agent.
    pub fn record_agent(&mut self, now: Duration, node: &str, mut loads: Vec<ServiceLoad>) {
        loads.truncate(MAX_SERVICES);
        if self.agents.len() >= MAX_AGENTS {
            self.agents.retain(|_, report| report.is_fresh(now));
        }
        let report = LoadReport { loads, received_at: now };
        let has_capacity = self.agents.len() < MAX_AGENTS;
        if let Some(known) = self.agents.get_mut(node) {
            *known = report;
        } else if has_capacity {
            self.agents.insert(node.to_owned(), report);
        }
    }

    /// Replaces the sum that another control process reported.
    pub fn record_peer(&mut self, now: Duration, peer: SocketAddr, mut loads: Vec<ServiceLoad>) {
        loads.truncate(MAX_SERVICES);
        self.peers.retain(|_, report| report.is_fresh(now));
        self.peers.insert(peer, LoadReport { loads, received_at: now });
    }

    /// Returns the sum over the agents that pull from this process, by service.
    pub fn local_sum(&self, now: Duration) -> Vec<ServiceLoad> {
        sum(self.agents.values().filter(|report| report.is_fresh(now)))
    }

    /// Returns the number of requests to one service that are in the decode phase, over the whole fleet.
    pub fn decode_in_flight(&self, now: Duration, service: &str) -> u32 {
        let reports = self.agents.values().chain(self.peers.values());
        let fresh = reports.filter(|report| report.is_fresh(now));
        let loads = fresh.flat_map(|report| &report.loads).filter(|load| load.service == service);
        loads.fold(0, |sum, load| sum.saturating_add(load.decode))
    }
}

fn sum<'a>(reports: impl Iterator<Item = &'a LoadReport>) -> Vec<ServiceLoad> {
    let mut sums: BTreeMap<&str, ServiceLoad> = BTreeMap::new();
    for load in reports.flat_map(|report| &report.loads) {
        let total = sums.entry(load.service.as_str()).or_insert_with(|| ServiceLoad {
            service: load.service.clone(),
            prefill: 0,
            decode: 0,
        });
        total.prefill = total.prefill.saturating_add(load.prefill);
        total.decode = total.decode.saturating_add(load.decode);
    }
    sums.into_values().take(MAX_SERVICES).collect()
}
