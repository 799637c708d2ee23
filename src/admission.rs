//! Admission control: how many attempts may be in flight at home and away, and what is refused.

use crate::{api::*, model::*, state::Balancer};

/// Attempts in flight for each listed server that a start of all sidecars is trusted with, one on each side at
/// each. The window grows by the step with each answer in time, and shrinks by the cut with each late one; one
/// crowd narrows it to the floor, a share of what it was, at most.
const INITIAL_WINDOW: f64 = 12.0;
const WINDOW_INCREASE: f64 = 0.3;
const WINDOW_DECREASE: f64 = 0.1;
const MAX_EPISODE_DECREASE: f64 = 0.5;
/// The limit on attempts in flight never falls below this: under one it is the share of requests that go out.
const MIN_LIMIT: f64 = 1.0 / 8.0;
/// A request is held for this share of the time to spare before its aim, and told to come back after it.
pub(crate) const QUEUE_WAIT_SHARE: f64 = 0.25;

impl Balancer {
    pub(crate) fn open_windows(&mut self) {
        let all = INITIAL_WINDOW / f64::from(self.settings.sidecar_count.max(1));
        for side in LOCALITIES {
            self.windows[side as usize].per_server = all.max(1.0 / self.capacity(side));
        }
    }

    /// Guards against crowding: a late attempt narrows the window of its side, an answer in time widens it again while
    /// it is in full use. All that were out together tell of one crowd.
    pub(crate) fn decrease_window(&mut self, at: ServerId, sent: f64) {
        let side = self.locality_of(at);
        let (now, least) = (self.now_ms, MIN_LIMIT / self.capacity(side));
        let window = &mut self.windows[side as usize];
        if sent >= window.decreased_at_ms {
            (window.decreased_at_ms, window.episode_floor) = (now, window.per_server * MAX_EPISODE_DECREASE);
        }
        window.per_server = (window.per_server * (1.0 - WINDOW_DECREASE))
            .max(window.episode_floor.min(window.per_server).max(least));
    }

    pub(crate) fn increase_window(&mut self, at: ServerId) {
        let side = self.locality_of(at);
        let limit = self.limit(side);
        if self.in_flight(side) + 2.0 > limit {
            self.windows[side as usize].per_server +=
                WINDOW_INCREASE.min(limit * WINDOW_DECREASE) / self.capacity(side);
        }
    }

    /// Attempts that may be in flight there in all; none where a probe tells more. What is lost or ejected takes its
    /// part along, so that it doesn't fall on the others at once.
    pub(crate) fn limit(&self, side: Locality) -> f64 {
        match self.ready_count(side) {
            0 => 0.0,
            _ if self.must_probe() => f64::MAX,
            _ => self.windows[side as usize].per_server * self.capacity(side),
        }
    }

    fn ready_count(&self, side: Locality) -> usize {
        let home = if self.settings.cross_zone_price > 0.0 { self.local.len() } else { self.ready.len() };
        if side == Locality::Local { home } else { self.ready.len() - home }
    }

    /// Servers in use there, each counted by its warmth.
    fn capacity(&self, side: Locality) -> f64 {
        let there = |id: &ServerId| self.locality_of(*id) == side;
        let cold = self.warming_up.iter().filter(|(id, _)| there(id));
        let cold = cold.map(|&(_, started)| 1.0 - self.warmth_from(started));
        let ejected = self.ejected_servers().filter(|s| self.locality(s) == side).map(|s| self.warmth(s));
        (self.ready_count(side) as f64 - cold.chain(ejected).sum::<f64>()).max(1.0)
    }

    /// Attempts out at servers in use there; what an ejected server sits on takes nothing from the others.
    pub(crate) fn in_flight(&self, side: Locality) -> f64 {
        let ejected =
            self.ejected_servers().flat_map(|s| &s.in_flight).filter(|flight| flight.locality == side);
        (self.windows[side as usize].in_flight - ejected.count()) as f64
    }

    /// The final answer of our own: a refusal where it is true that nothing ran, else a failure.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let harmless = match self.settings.classes[request.profile.class].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
            _ => request.may_have_run().is_none(),
        };
        // Guards against clients that come back when there is no time left to serve them well.
        let spare = request.profile.target_at_ms - self.now_ms - self.expected_latency(&request.profile);
        let advice = duration(if spare > 0.0 {
            spare * QUEUE_WAIT_SHARE
        } else {
            request.profile.latency_target_ms / 2.0
        });
        let retry_after = self.settings.max_retry_after.map(|most| most.min(advice));
        out.push(if harmless { Action::Reject { id, retry_after } } else { Action::Fail(id) });
        self.conclude(id, out);
    }

    /// The request is over: nothing more is sent for it, and what is still out is cancelled.
    pub(crate) fn conclude(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let first = std::mem::replace(&mut request.phase, RequestPhase::Ended) != RequestPhase::Ended;
        if first && self.settings.cancel == Permit::Granted {
            let out_at = request.attempts.iter().position(|a| a.status == AttemptStatus::InFlight);
            out.extend(out_at.map(|attempt| Action::Cancel { id, attempt }));
        }
        self.remove_if_finished(id);
    }
}
