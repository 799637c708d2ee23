//! Probing: a sidecar with little traffic probes two candidates for their load and sends to the better one.
//!
//! Probing for requests in flight and latency follows Prequal (Wydrowski et al., "Load is not what you should
//! balance", NSDI 2024). Here, probes are synchronous, and only sent if [`Balancer::must_probe`] holds.

use super::admission::WAIT_SHARE;
use super::balancer::Balancer;
use super::request::{Candidate, ProbeState, RequestPhase, RequestProfile};
use super::server::{LoadReport, Locality, Server};
use crate::api::{Action, Availability, Outcome, RequestId, ServerId};

/// Maximum number of probe rounds before a request is rejected.
const MAX_PROBE_ROUNDS: u32 = 3;

impl Balancer {
    /// Draws two candidates and sends the request to the better one, immediately or after probing both.
    /// Returns `false` if there is no server to which the request may be sent now.
    pub(crate) fn try_send(
        &mut self, id: RequestId, may_use_locality: impl Fn(Locality) -> bool, out: &mut Vec<Action>,
    ) -> bool {
        let drawn = self.draw_candidates(id, may_use_locality);
        let Some(better) = self.lowest_score(&drawn, self.requests[&id].profile.class) else { return false };
        if self.must_probe() {
            self.probe(id, &drawn, out);
        } else {
            self.send(id, better, out);
        }
        true
    }

    /// Probes candidates for a request, which waits for at most [`WAIT_SHARE`] of its slack time.
    fn probe(&mut self, id: RequestId, candidates: &[ServerId], out: &mut Vec<Action>) {
        let (now_ms, tick_ms) = (self.now_ms, self.tick_ms());
        let service_ms = self.expected_service_time_ms(&self.requests[&id].profile);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let slack_ms = request.profile.target_at_ms - now_ms - service_ms;
        let wait_ms = (slack_ms * WAIT_SHARE).max(tick_ms);
        (request.phase, request.wait_ends_at_ms) = (RequestPhase::Probing, now_ms + wait_ms);
        request.probe_rounds += 1;
        let pending = candidates.iter().map(|&server| Candidate { server, probe: ProbeState::Pending });
        request.candidates.extend(pending);
        out.extend(candidates.iter().map(|&server| Action::Probe(server)));
        self.awaiting_probes.insert(id);
        self.set_request_timer(id, wait_ms, out);
    }

    /// Handles the end of a probe. All requests that wait for a probe of this server use the result.
    pub(crate) fn on_probe_completed(
        &mut self, server_id: ServerId, outcome: Outcome, reported_load: Option<f64>, out: &mut Vec<Action>,
    ) {
        let has_passed = outcome == Outcome::Ok;
        if let Some(server) = self.servers.get_mut(server_id).filter(|_| has_passed) {
            let report = |load: f64| LoadReport { in_flight: load.max(0.0), received_at_ms: self.now_ms };
            server.load_report = reported_load.map(report);
        }
        for id in self.awaiting_probes.clone() {
            self.record_probe(id, server_id, has_passed, out);
        }
    }

    fn record_probe(&mut self, id: RequestId, server: ServerId, has_passed: bool, out: &mut Vec<Action>) {
        let (now_ms, tick_ms) = (self.now_ms, self.tick_ms());
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_pending =
            |candidate: &&mut Candidate| candidate.server == server && candidate.probe == ProbeState::Pending;
        let Some(candidate) = request.candidates.iter_mut().find(is_pending) else { return };
        candidate.probe = if has_passed { ProbeState::Passed } else { ProbeState::Failed };
        if request.candidates.iter().all(|candidate| candidate.probe != ProbeState::Pending) {
            self.choose_probed(id, out);
        } else if has_passed && request.wait_ends_at_ms > now_ms + tick_ms {
            // Probes wait in the servers' queues, so the first server to answer is the less busy one. The
            // probe of the other server gets one more tick.
            request.wait_ends_at_ms = now_ms + tick_ms;
            self.set_request_timer(id, tick_ms, out);
        }
    }

    /// Sends a request to the best candidate that passed its probe, if that server is expected to answer in
    /// time. Otherwise probes two more candidates while there is slack time, for up to [`MAX_PROBE_ROUNDS`], and
    /// then rejects the request. Requests are thus not sent to servers that hang, are paused, or are
    /// overloaded by other clients.
    pub(crate) fn choose_probed(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let (profile, probe_rounds) = (request.profile, request.probe_rounds);
        let Some(scope) = self.retry_scope(request) else { return self.reject_or_fail(id, out) };
        let idempotency = self.settings.classes[profile.class].idempotency;
        let is_allowed = |server: &&Server| {
            server.has_availability(Availability::Ready) && scope.includes(server.dedup_group(idempotency))
        };
        let passed = request.candidates.iter().filter(|c| c.probe == ProbeState::Passed);
        let passed = passed.filter_map(|c| self.servers.get(c.server)).filter(is_allowed);
        let passed: Vec<ServerId> = passed.map(|server| server.entry.server).collect();
        let best = self.lowest_score(&passed, profile.class);
        let is_in_time = |id: &ServerId| {
            self.now_ms + self.expected_completion_time_ms(&profile, &self.servers[*id])
                <= profile.target_at_ms
        };
        if let Some(best) = best.filter(is_in_time) {
            self.awaiting_probes.remove(&id);
            return self.send(id, best, out);
        }
        let slack_ms = profile.target_at_ms - self.now_ms - self.expected_service_time_ms(&profile);
        let may_probe_again = probe_rounds < MAX_PROBE_ROUNDS && slack_ms > 0.0;
        let drawn = if may_probe_again { self.draw_candidates(id, |_| true) } else { Vec::new() };
        if drawn.is_empty() { self.reject_or_fail(id, out) } else { self.probe(id, &drawn, out) }
    }

    /// Returns the expected latency at a server: the service time of the request plus a mean latency for each
    /// request in flight there, increased while the server warms up.
    fn expected_completion_time_ms(&self, profile: &RequestProfile, server: &Server) -> f64 {
        let load = server.load_at(self.now_ms, self.time_constant_ms).unwrap_or(0.0);
        (load * self.latency_per_load_ms + self.expected_service_time_ms(profile))
            / self.capacity_share(server).sqrt()
    }

    /// Returns the expected latency at an idle server, at most half the latency target: an imprecise cost
    /// hint, or few samples, must not cause a rejection of a request that an idle server may serve in time.
    fn expected_service_time_ms(&self, profile: &RequestProfile) -> f64 {
        self.expected_latency_ms(profile).min(profile.latency_target_ms / 2.0)
    }
}
