//! Admission control: how many attempts may be in flight, and the final answers that the balancer gives itself.
//!
//! The concurrency window of each locality follows additive increase, multiplicative decrease: an answer in time
//! increases it while it is in full use, a late or rejected attempt decreases it.

use super::balancer::Balancer;
use super::concurrency_window::WINDOW_DECREASE;
use super::request::{AttemptStatus, RequestPhase};
use super::server::{LOCALITIES, Locality};
use super::time::from_ms;
use crate::api::{Action, DedupScope, Idempotency, Permission, RequestId, ServerId};

/// Attempts in flight per server that all sidecars together start with; each has a window of one attempt at least.
const INITIAL_WINDOW: f64 = 12.0;
/// Attempts by which an answer in time increases the window, or [`WINDOW_DECREASE`] of the window if that is less.
const WINDOW_INCREASE: f64 = 0.3;
/// The limit on attempts in flight never falls below this. Under one, it is the share of requests that go out.
const MIN_LIMIT: f64 = 1.0 / 8.0;
/// A request waits in the queue for this share of the time that it can spare before its latency target. Of what is left
/// then, a rejected client is advised to stay away for the same share, so that its retry can still be served in time.
pub(crate) const WAIT_SHARE: f64 = 0.25;

impl Balancer {
    /// Sets the windows for the first server list.
    pub(crate) fn open_windows(&mut self) {
        let per_server = INITIAL_WINDOW / f64::from(self.settings.sidecar_count.max(1));
        for locality in LOCALITIES {
            let at_least_one = per_server.max(1.0 / self.capacity(locality));
            self.windows[locality as usize].open(at_least_one);
        }
    }

    /// Decreases the window of a server's locality after an attempt that was sent then is late or rejected.
    pub(crate) fn decrease_window(&mut self, server: ServerId, sent_at_ms: f64) {
        let locality = self.locality_of(server);
        let min_per_server = MIN_LIMIT / self.capacity(locality);
        self.windows[locality as usize].decrease(sent_at_ms, self.now_ms, min_per_server);
    }

    /// Increases the window of a server's locality after an answer in time, if it is in full use.
    pub(crate) fn increase_window(&mut self, server: ServerId) {
        let locality = self.locality_of(server);
        let limit = self.limit(locality);
        if self.in_flight(locality) + 2.0 > limit {
            let increase = WINDOW_INCREASE.min(limit * WINDOW_DECREASE) / self.capacity(locality);
            self.windows[locality as usize].increase(increase);
        }
    }

    /// Attempts that may be in flight in all. It shrinks with the capacity: the load of servers that were lost or ejected
    /// must not fall on the others at once. There is no limit where probes tell more.
    pub(crate) fn limit(&self, locality: Locality) -> f64 {
        match self.ready_count(locality) {
            0 => 0.0,
            _ if self.must_probe() => f64::MAX,
            _ => self.windows[locality as usize].per_server() * self.capacity(locality),
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

    /// Answers the client for the last time without a server's answer, and finishes the request.
    ///
    /// The answer is [`Action::Reject`] where the client may safely send the request again: no attempt can have run, or the
    /// class is idempotent, or all servers drop a repeat by its key. Otherwise it is [`Action::Fail`]. Only a rejection
    /// advises the client when to come back, and only where clients heed that.
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

    /// Ends a request: nothing more is sent for it, and it waits neither in the queue nor for probes. This does not answer
    /// the client; the caller has done so, or the client has left.
    ///
    /// An attempt in flight is cancelled only where [`Settings::cancel`](crate::api::Settings::cancel) grants it. Either way
    /// it keeps its slot in the concurrency window until its outcome is reported. So this is called twice, by design, for a
    /// request that ends before its attempt: here it stays in the table, and the outcome's call removes it.
    pub(crate) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let was_open =
            std::mem::replace(&mut request.phase, RequestPhase::Finished) != RequestPhase::Finished;
        if was_open && self.settings.cancel == Permission::Granted {
            let in_flight = request.attempts.iter().position(|a| a.status == AttemptStatus::InFlight);
            out.extend(in_flight.map(|attempt| Action::Cancel { id, attempt }));
        }
        // It stays in the table until its attempts have ended.
        if !request.is_in_flight() {
            self.requests.remove(&id);
        }
        self.queue.retain(|queued| queued.id != id);
        self.awaiting_probes.remove(&id);
    }
}
