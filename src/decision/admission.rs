//! Admission control: how many attempts may be in flight, and the final answers that the balancer gives itself.
//!
//! The concurrency window of each locality follows additive increase, multiplicative decrease: an answer in time
//! increases it while it is in full use, a late or rejected attempt decreases it.

use super::balancer::Balancer;
use super::request::{AttemptStatus, RequestPhase};
use super::server::{LOCALITIES, Locality};
use super::time::from_ms;
use crate::api::{Action, DedupScope, Idempotency, Permit, RequestId, ServerId};

/// Attempts in flight per server that all sidecars together start with; each has a window of one attempt at least.
const INITIAL_WINDOW: f64 = 12.0;
/// Attempts by which an answer in time increases the window, or [`WINDOW_DECREASE`] of the window if that is less.
const WINDOW_INCREASE: f64 = 0.3;
/// The share by which a late attempt decreases the window.
const WINDOW_DECREASE: f64 = 0.1;
/// One overload decreases the window to this share at most: all attempts that were in flight together report the same one.
const MAX_EPISODE_DECREASE: f64 = 0.5;
/// The limit on attempts in flight never falls below this. Under one, it is the share of requests that go out.
const MIN_LIMIT: f64 = 1.0 / 8.0;
/// A request waits in the queue for this share of the time that it can spare before its latency target. Of what is left
/// then, a rejected client is told to stay away for the same share, so that its retry can still be served in time.
pub(crate) const WAIT_SHARE: f64 = 0.25;

/// How many attempts may be in flight at the servers of one [`Locality`].
#[derive(Clone, Copy)]
pub(crate) struct ConcurrencyWindow {
    /// Attempts in flight, those at ejected servers included.
    pub(crate) in_flight: usize,
    /// Attempts that may be in flight for each unit of [`Balancer::capacity`].
    per_server: f64,
    /// When the current overload was first noticed; 0 for never.
    decreased_at_ms: f64,
    /// How far the current overload may decrease `per_server`.
    episode_floor: f64,
}

impl ConcurrencyWindow {
    /// Before the first server list.
    pub(crate) const CLOSED: ConcurrencyWindow =
        ConcurrencyWindow { in_flight: 0, per_server: 1.0, decreased_at_ms: 0.0, episode_floor: 0.0 };
}

impl Balancer {
    /// Sets the windows for the first server list.
    pub(crate) fn open_windows(&mut self) {
        let per_server = INITIAL_WINDOW / f64::from(self.settings.sidecar_count.max(1));
        for locality in LOCALITIES {
            self.windows[locality as usize].per_server = per_server.max(1.0 / self.capacity(locality));
        }
    }

    /// Decreases the window of a server's locality after an attempt that was sent then is late. Attempts sent before the
    /// current overload was noticed belong to it.
    pub(crate) fn decrease_window(&mut self, server: ServerId, sent_at_ms: f64) {
        let locality = self.locality_of(server);
        let (now_ms, min_per_server) = (self.now_ms, MIN_LIMIT / self.capacity(locality));
        let window = &mut self.windows[locality as usize];
        if sent_at_ms >= window.decreased_at_ms {
            window.decreased_at_ms = now_ms;
            window.episode_floor = window.per_server * MAX_EPISODE_DECREASE;
        }
        let floor = window.episode_floor.min(window.per_server);
        window.per_server = (window.per_server * (1.0 - WINDOW_DECREASE)).max(floor).max(min_per_server);
    }

    /// Increases the window of a server's locality after an answer in time, if it is in full use.
    pub(crate) fn increase_window(&mut self, server: ServerId) {
        let locality = self.locality_of(server);
        let limit = self.limit(locality);
        if self.in_flight(locality) + 2.0 > limit {
            let increase = WINDOW_INCREASE.min(limit * WINDOW_DECREASE) / self.capacity(locality);
            self.windows[locality as usize].per_server += increase;
        }
    }

    /// Attempts that may be in flight in all. It shrinks with the capacity: the load of servers that were lost or ejected
    /// must not fall on the others at once. There is no limit where probes tell more.
    pub(crate) fn limit(&self, locality: Locality) -> f64 {
        match self.ready_count(locality) {
            0 => 0.0,
            _ if self.must_probe() => f64::MAX,
            _ => self.windows[locality as usize].per_server * self.capacity(locality),
        }
    }

    fn ready_count(&self, locality: Locality) -> usize {
        let all = self.servers.ready().len();
        let local =
            if self.settings.cross_zone_price > 0.0 { self.servers.ready_in_zone().len() } else { all };
        if locality == Locality::Local { local } else { all - local }
    }

    /// Servers in use, each counted by the share of its capacity that it has while it warms up; 1 at least.
    fn capacity(&self, locality: Locality) -> f64 {
        let warming_up = self.servers.warming_up().iter();
        let missing = warming_up
            .filter(|warming| self.locality_of(warming.id) == locality)
            .map(|warming| 1.0 - self.capacity_share_at(warming.started_at_ms));
        let ejected = self.servers.ejected().filter(|server| self.locality(server) == locality);
        let ejected = ejected.map(|server| self.capacity_share(server));
        (self.ready_count(locality) as f64 - missing.chain(ejected).sum::<f64>()).max(1.0)
    }

    /// Attempts in flight at servers in use. Those at ejected servers take nothing from the others.
    pub(crate) fn in_flight(&self, locality: Locality) -> f64 {
        let at_ejected = self.servers.ejected().flat_map(|server| &server.in_flight);
        let at_ejected = at_ejected.filter(|attempt| attempt.locality == locality).count();
        (self.windows[locality as usize].in_flight - at_ejected) as f64
    }

    /// Gives a final answer: a rejection where it is true that nothing ran or a repeat is harmless, otherwise a failure.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let is_harmless = match self.settings.classes[request.profile.class].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
            _ => request.first_possible_run().is_none(),
        };
        // A client that comes back too late for its latency target would be in vain.
        let spare_ms =
            request.profile.target_at_ms - self.now_ms - self.expected_latency_ms(&request.profile);
        let has_spare = spare_ms > 0.0;
        let advice =
            from_ms(if has_spare { spare_ms * WAIT_SHARE } else { request.profile.latency_target_ms / 2.0 });
        let retry_after = self.settings.max_retry_after.map(|max| max.min(advice));
        out.push(if is_harmless { Action::Reject { id, retry_after } } else { Action::Fail(id) });
        self.finish(id, out);
    }

    /// Ends a request: nothing more is sent for it, and an attempt in flight is cancelled.
    pub(crate) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_first =
            std::mem::replace(&mut request.phase, RequestPhase::Finished) != RequestPhase::Finished;
        if is_first && self.settings.cancel == Permit::Granted {
            let in_flight = request.attempts.iter().position(|a| a.status == AttemptStatus::InFlight);
            out.extend(in_flight.map(|attempt| Action::Cancel { id, attempt }));
        }
        // It is kept until its attempts have ended.
        if !request.is_in_flight() {
            self.requests.remove(&id);
        }
        self.queue.retain(|queued| queued.id != id);
        self.awaiting_probes.remove(&id);
    }
}
