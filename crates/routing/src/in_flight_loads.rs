//! Load of this proxy by service, which the stage planner sums over the fleet.

use crate::balancer::Balancer;
use crate::phase::Phase;
use lugwharf_protocol::ServiceLoad;
use std::collections::BTreeMap;

impl Balancer {
    /// Returns the number of requests in flight at each service that has prefill and decode servers, sorted
    /// by service name. Full requests count as decode.
    pub fn in_flight_loads(&self) -> Vec<ServiceLoad> {
        let mut loads: BTreeMap<&str, ServiceLoad> = BTreeMap::new();
        for server in self.servers.values().filter(|server| server.entry.stage.is_some()) {
            let service = server.entry.service.as_str();
            let load = loads.entry(service).or_default();
            let in_flight = |phase: Phase| server.phases[phase.index()].in_flight;
            load.prefill = load.prefill.saturating_add(in_flight(Phase::Prefill));
            let decode = in_flight(Phase::Decode).saturating_add(in_flight(Phase::Full));
            load.decode = load.decode.saturating_add(decode);
        }
        let named =
            loads.into_iter().map(|(service, load)| ServiceLoad { service: service.to_owned(), ..load });
        named.collect()
    }
}
