//! Probing before sending: a quiet sidecar asks two candidates for their load and sends to the better one.

use crate::{admission::QUEUE_WAIT_SHARE, api::*, model::*, state::Balancer};

/// Rounds of probes before a request is refused.
const MAX_PROBE_ROUNDS: u32 = 3;

impl Balancer {
    /// Draws two candidates and sends the request to the better one, at once or after a probe of both: `false`
    /// if the rules let it go nowhere or no server has room.
    pub(crate) fn try_send(
        &mut self, id: RequestId, open: impl Fn(Locality) -> bool, out: &mut Vec<Action>,
    ) -> bool {
        let drawn = self.draw_candidates(id, open);
        let Some(better) = self.lowest_score(&drawn, self.requests[&id].profile.class) else { return false };
        if self.must_probe() {
            self.probe(id, &drawn, out);
        } else {
            self.send(id, better, out);
        }
        true
    }

    /// Probes the candidates, and waits for a part of the time to spare.
    fn probe(&mut self, id: RequestId, drawn: &[ServerId], out: &mut Vec<Action>) {
        let (now, tick) = (self.now_ms, ms(self.settings.tick));
        let expected_service_ms = self.expected_service_ms(&self.requests[&id].profile);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let wait = ((request.profile.target_at_ms - now - expected_service_ms) * QUEUE_WAIT_SHARE).max(tick);
        (request.phase, request.wait_until_ms) = (RequestPhase::Probing, now + wait);
        request.probe_rounds += 1;
        request.candidates.extend(drawn.iter().map(|&server| (server, ProbeState::Pending)));
        out.extend(drawn.iter().map(|&server| Action::Probe(server)));
        self.awaiting_probes.insert(id);
        self.set_timer(id, wait, out);
    }

    /// The news of a probe goes to all requests that wait for it.
    pub(crate) fn on_probe_completed(
        &mut self, of: ServerId, outcome: Outcome, held: Option<f64>, out: &mut Vec<Action>,
    ) {
        let result = if outcome == Outcome::Ok { ProbeState::Passed } else { ProbeState::Failed };
        if let Some(server) = self.servers.get_mut(&of).filter(|_| result == ProbeState::Passed) {
            server.reported_load = held.map(|held| (held.max(0.0), self.now_ms));
        }
        let (now, tick) = (self.now_ms, ms(self.settings.tick));
        for id in self.awaiting_probes.clone() {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let asked = |c: &&mut (ServerId, ProbeState)| c.0 == of && c.1 == ProbeState::Pending;
            let Some(candidate) = request.candidates.iter_mut().find(asked) else { continue };
            candidate.1 = result;
            if request.candidates.iter().all(|c| c.1 != ProbeState::Pending) {
                self.choose_probed(id, out);
            } else if result == ProbeState::Passed && request.wait_until_ms > now + tick {
                // A deep probe queues: who answers first is the less busy. The other gets a tick's grace.
                request.wait_until_ms = now + tick;
                self.set_timer(id, tick, out);
            }
        }
    }

    /// Sends to the better of the candidates that answered, if it will serve in time; else probes two more
    /// while there is time to spare. Guards against servers that are hung, silent, paused or crowded by
    /// others, and against crowding them further: if none is found the request is refused.
    pub(crate) fn choose_probed(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let (profile, rounds) = (request.profile, request.probe_rounds);
        let Some(group) = self.allowed_scope(request) else { return self.reject_or_fail(id, out) };
        let repeat = self.settings.classes[profile.class].idempotency;
        let fits = |s: &&Server| {
            s.has_availability(Availability::Ready) && (group.is_none() || s.dedup_group(repeat) == group)
        };
        let passed = request.candidates.iter().filter(|c| c.1 == ProbeState::Passed);
        let passed = passed.filter_map(|c| self.servers.get(&c.0)).filter(fits);
        let passed: Vec<ServerId> = passed.map(|s| s.entry.server).collect();
        let in_time = |s: &ServerId| {
            self.now_ms + self.expected_completion_ms(&profile, &self.servers[s]) <= profile.target_at_ms
        };
        if let Some(best) = self.lowest_score(&passed, profile.class).filter(in_time) {
            self.awaiting_probes.remove(&id);
            return self.send(id, best, out);
        }
        let spare = profile.target_at_ms - self.now_ms - self.expected_service_ms(&profile);
        let drawn = if rounds < MAX_PROBE_ROUNDS && spare > 0.0 {
            self.draw_candidates(id, |_| true)
        } else {
            Vec::new()
        };
        if drawn.is_empty() { self.reject_or_fail(id, out) } else { self.probe(id, &drawn, out) }
    }

    /// What it will take there: its own time, and a mean one for each request before it.
    fn expected_completion_ms(&self, profile: &RequestProfile, server: &Server) -> f64 {
        (server.load_at(self.now_ms, self.time_constant_ms).unwrap_or(0.0) * self.latency_per_load_ms
            + self.expected_service_ms(profile))
            / self.warmth(server).sqrt()
    }

    /// Guards against refusing on a rough hint, or on few samples, what an idle server may serve in time.
    fn expected_service_ms(&self, profile: &RequestProfile) -> f64 {
        self.expected_latency(profile).min(profile.latency_target_ms / 2.0)
    }
}
