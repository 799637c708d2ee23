//! Records the start, result and end of attempts, as reported by callers.

use crate::balancer::Balancer;
use crate::load_report::LoadReport;
use crate::observation::Observation;
use crate::phase::Phase;
use crate::prompt::Prompt;
use crate::server::ServerKey;
use std::time::Duration;

/// The maximum share of a pool that may be ejected: if most servers look faulty, the fault is probably
/// elsewhere. The pool of a server consists of the listed servers of the same service and stage, including
/// itself.
const MAX_EJECTED_SHARE: f64 = 0.5;

impl Balancer {
    /// Records the start of an attempt of `phase` at the server. The attempt is in flight until
    /// [`Balancer::record_end`].
    pub fn record_start(&mut self, key: ServerKey, phase: Phase) {
        if let Some(server) = self.servers.get_mut(&key) {
            let state = &mut server.phases[phase.index()];
            state.in_flight = state.in_flight.saturating_add(1);
            server.ejection.record_start();
        }
    }

    /// Records the end of a started attempt, whatever its result.
    pub fn record_end(&mut self, key: ServerKey, phase: Phase) {
        if let Some(server) = self.servers.get_mut(&key) {
            let state = &mut server.phases[phase.index()];
            state.in_flight = state.in_flight.saturating_sub(1);
            server.ejection.record_inconclusive();
        }
    }

    /// Records the result of an attempt in the server's latency for the phase, its ejection state and its
    /// load.
    ///
    /// After its ejection time, a server gets one trial at a time, as in the half-open state of a circuit
    /// breaker:
    /// - a success ends the ejection and clears the failures;
    /// - a rejected or inconclusive attempt only releases the trial slot, so that another trial may start; a
    ///   rejection also marks the server as overloaded;
    /// - a failure releases the slot and is counted. After
    ///   [`Tuning::ejection_threshold`](crate::Tuning::ejection_threshold) consecutive failures the server is
    ///   ejected, for longer if this was a trial, provided that
    ///   [`Tuning::ejects_outliers`](crate::Tuning::ejects_outliers) is set and at most half of its pool is
    ///   then ejected.
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

    /// Ejects the server, unless more than [`MAX_EJECTED_SHARE`] of the listed servers of its service and
    /// stage would then be ejected.
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

    /// Records that a server answered 421: it is another incarnation, or does not serve the stage or model.
    /// The server is not selected until its list entry changes, or for
    /// [`Tuning::misdirected_backoff`](crate::Tuning::misdirected_backoff).
    pub fn record_misdirected(&mut self, now: Duration, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.mark_misdirected(now, &self.tuning);
        }
    }

    /// Records the load that a server reported.
    pub fn record_load_report(&mut self, key: ServerKey, report: LoadReport) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.load_report = Some(report);
        }
    }

    /// Records that a server has prefilled a prompt and therefore probably has it in its prefix cache.
    pub fn record_prefill(&mut self, now: Duration, key: ServerKey, prompt: &Prompt) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.prefix_cache.record_prefill(now, prompt, self.tuning.prefix_cache_capacity);
        }
    }
}
