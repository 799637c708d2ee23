//! What callers report about attempts: their start, their end and what they showed.

use crate::balancer::Balancer;
use crate::load_report::LoadReport;
use crate::observation::Observation;
use crate::phase::Phase;
use crate::prompt::Prompt;
use crate::server::ServerKey;
use std::time::Duration;

/// The largest share of a pool that may be ejected: if most servers look faulty, the fault is probably elsewhere. The pool
/// of a server are the listed servers of the same service and stage, itself included.
const MAX_EJECTED_SHARE: f64 = 0.5;

impl Balancer {
    /// An attempt of `phase` at the server starts, and is in flight until [`Balancer::record_end`].
    pub fn record_start(&mut self, key: ServerKey, phase: Phase) {
        if let Some(server) = self.servers.get_mut(&key) {
            let state = &mut server.phases[phase.index()];
            state.in_flight = state.in_flight.saturating_add(1);
            server.ejection.record_start();
        }
    }

    /// An attempt that was started has ended, in whatever way.
    pub fn record_end(&mut self, key: ServerKey, phase: Phase) {
        if let Some(server) = self.servers.get_mut(&key) {
            let state = &mut server.phases[phase.index()];
            state.in_flight = state.in_flight.saturating_sub(1);
            server.ejection.record_inconclusive();
        }
    }

    /// Records what an attempt showed: in the latency of the phase, the ejection and the load of the server.
    ///
    /// A server whose ejection time is over gets one trial at a time, as in the half-open state of a circuit breaker:
    /// - a success ends the ejection and clears the failures;
    /// - a rejected or inconclusive attempt only releases the trial slot, so that another trial may start; a rejection also
    ///   marks the server as overloaded;
    /// - a failure releases the slot and counts. After enough failures in a row the server is ejected, again and for longer
    ///   if this was a trial, where [`Tuning::ejects_outliers`](crate::Tuning::ejects_outliers) is set and at most half of
    ///   its pool is ejected then.
    pub fn record_observation(
        &mut self, now: Duration, key: ServerKey, phase: Phase, observation: Observation,
    ) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        let tuning = &self.tuning;
        if let Some(sample) = observation.latency_sample(phase, tuning) {
            let latency = &mut server.phases[phase.index()].latency;
            latency.observe(now, tuning.ewma_decay, sample, tuning.is_peak_sensitive);
        }
        match observation {
            Observation::Success { .. } => server.ejection.record_success(),
            Observation::Inconclusive => server.ejection.record_inconclusive(),
            Observation::Rejected => {
                server.ejection.record_inconclusive();
                server.mark_overloaded(now, tuning);
            }
            Observation::Failure { kind, .. } => {
                if server.ejection.record_failure(kind, tuning) && tuning.ejects_outliers {
                    self.eject(now, key);
                }
            }
        }
    }

    /// Ejects the server, unless more than [`MAX_EJECTED_SHARE`] of the listed servers of its service and stage would be
    /// ejected then.
    fn eject(&mut self, now: Duration, key: ServerKey) {
        let Some(server) = self.servers.get(&key) else { return };
        let stage = server.entry.stage;
        let keys = self.service_servers(&server.entry.service);
        let peers = keys.iter().filter_map(|other| Some((other, self.servers.get(other)?)));
        let peers = peers.filter(|(_, server)| server.entry.stage == stage);
        let (mut all, mut ejected) = (0, 0);
        for (other, server) in peers {
            all += 1;
            ejected += usize::from(*other != key && server.ejection.is_ejected(now));
        }
        if (ejected + 1) as f64 <= all as f64 * MAX_EJECTED_SHARE
            && let Some(server) = self.servers.get_mut(&key)
        {
            server.ejection.eject(now, &self.tuning);
        }
    }

    /// A server answered 421: it is another incarnation, or does not serve the stage or model. It is not selected until the
    /// list changes its entry, or for [`Tuning::misdirected_backoff`](crate::Tuning::misdirected_backoff).
    pub fn record_misdirected(&mut self, now: Duration, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.mark_misdirected(now, &self.tuning);
        }
    }

    /// A server reported its load.
    pub fn record_load_report(&mut self, key: ServerKey, report: LoadReport) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.load_report = Some(report);
        }
    }

    /// A server has prefilled a prompt, and probably has it in its prefix cache.
    pub fn record_prefill(&mut self, now: Duration, key: ServerKey, prompt: &Prompt) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.prefix_cache.record_prefill(now, prompt, self.tuning.prefix_cache_capacity);
        }
    }
}
