//! Selection of a server for one attempt.
//!
//! The steps are: collect the eligible servers; draw a winner by [power of two choices](crate::p2c),
//! [preferring the local zone](crate::locality); for prefills, pick a server by
//! [prefix affinity](crate::prefix_affinity), which is selected unless the drawn one is clearly better.

use crate::balancer::Balancer;
use crate::query::{Selection, SelectionError, SelectionQuery};
use crate::scoring::{Candidate, Scorer};
use crate::server::ServerKey;
use crate::service_pool::OPTIMISTIC_LATENCY_MS;
use crate::{locality, prefix_affinity};
use std::time::Duration;

/// The upper bound of estimates, in ms: about 11 days, far beyond any deadline and within the range of
/// [`Duration`].
const MAX_ESTIMATE_MS: f64 = 1e9;

impl Balancer {
    /// Selects a server for one attempt. The caller reports the start of the attempt with
    /// [`Balancer::record_start`].
    pub fn select(&mut self, now: Duration, query: &SelectionQuery<'_>) -> Result<Selection, SelectionError> {
        let mut eligible = std::mem::take(&mut self.eligible);
        let selected = self.select_among(now, query, &mut eligible);
        eligible.clear();
        self.eligible = eligible;
        selected
    }

    fn select_among(
        &mut self, now: Duration, query: &SelectionQuery<'_>, eligible: &mut Vec<ServerKey>,
    ) -> Result<Selection, SelectionError> {
        self.collect_eligible(now, query, eligible)?;
        let median_latency = self.median_latency(now, query);
        let scorer = Scorer { servers: &self.servers, tuning: &self.tuning, query, now, median_latency };
        let drawn = locality::draw_local_first(&scorer, &mut self.rng, eligible);
        let drawn = drawn.ok_or(SelectionError::NoServer)?;
        let affinity_winner = prefix_affinity::pick(&scorer, eligible);
        let is_tolerated = |winner: &Candidate| winner.score <= drawn.score * self.tuning.affinity_tolerance;
        let selected = affinity_winner.filter(is_tolerated).unwrap_or(drawn);
        scorer.selection(selected).ok_or(SelectionError::NoServer)
    }

    /// Collects the eligible servers. Ejected servers are used if no other one is eligible, since a
    /// server that may work is better than none.
    fn collect_eligible(
        &self, now: Duration, query: &SelectionQuery<'_>, eligible: &mut Vec<ServerKey>,
    ) -> Result<(), SelectionError> {
        let proxies = self.proxy_count();
        let mut ejected = Vec::new();
        let mut has_saturated = false;
        for &key in self.service_servers(query.service) {
            let Some(server) = self.servers.get(&key) else { continue };
            if query.excluded.contains(&key) || !server.accepts(query.phase, query.model, now) {
                continue;
            }
            let in_flight = server.phases[query.phase.index()].in_flight;
            if in_flight >= server.in_flight_limit(proxies, &self.tuning) {
                has_saturated = true;
            } else if server.ejection.is_ejected(now) {
                ejected.push(key);
            } else {
                eligible.push(key);
            }
        }
        if eligible.is_empty() {
            eligible.append(&mut ejected);
        }
        match eligible.is_empty() {
            false => Ok(()),
            true if has_saturated => Err(SelectionError::Saturated),
            true => Err(SelectionError::NoServer),
        }
    }

    /// Returns the latency assumed for a server without samples, in ms per unit of work. It is the median of
    /// the service, so that a new server does not receive all requests at once.
    fn median_latency(&mut self, now: Duration, query: &SelectionQuery<'_>) -> f64 {
        if !self.tuning.starts_at_median {
            return OPTIMISTIC_LATENCY_MS;
        }
        let Some(pool) = self.services.get_mut(query.service) else { return OPTIMISTIC_LATENCY_MS };
        let servers = &self.servers;
        let latency = |key: &ServerKey| servers.get(key)?.phases[query.phase.index()].latency.value();
        pool.median_latency(now, query.phase, |keys| keys.iter().filter_map(latency))
    }
}

impl Scorer<'_> {
    fn selection(&self, selected: Candidate) -> Option<Selection> {
        let server = self.servers.get(&selected.key)?;
        let estimate_ms = selected.estimate_ms;
        let estimate_ms =
            if estimate_ms.is_finite() { estimate_ms.clamp(0.0, MAX_ESTIMATE_MS) } else { MAX_ESTIMATE_MS };
        Some(Selection {
            key: selected.key,
            id: server.id.clone(),
            address: server.entry.address,
            zone: server.zone.clone(),
            estimate: Duration::from_secs_f64(estimate_ms / 1e3),
            is_busy: server.fresh_load_report(self.now, self.tuning).is_some_and(|report| report.is_busy()),
            prefill_tokens: self.tokens_to_prefill(server),
        })
    }
}
