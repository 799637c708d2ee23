//! Admission control: limits on the attempts in flight, and the final answers that the balancer gives itself.
//!
//! The concurrency window of each locality follows additive increase, multiplicative decrease (AIMD): an
//! answer in time increases a window that is in full use, and a late or rejected attempt decreases it.

use super::balancer::Balancer;
use super::concurrency_window::WINDOW_DECREASE;
use super::request::{AttemptStatus, RequestPhase};
use super::server::{LOCALITIES, Locality};
use super::time::from_ms;
use crate::api::{Action, DedupScope, Idempotency, Permission, RequestId, ServerId};

/// Initial window of all sidecars together, in attempts per server. Each sidecar has at least one attempt.
const INITIAL_WINDOW_PER_SERVER: f64 = 12.0;
/// Attempts by which an answer in time increases the window, at most [`WINDOW_DECREASE`] of the window.
const WINDOW_INCREASE: f64 = 0.3;
/// Minimum limit on attempts in flight. A limit below one is the share of requests that are sent.
const MIN_LIMIT: f64 = 1.0 / 8.0;
/// The share of its slack time (until its latency target, less the expected latency) for which a request
/// waits in the queue. A rejected client is advised to retry after the same share of the remaining slack
/// time, so that its retry can still be served in time.
pub(crate) const WAIT_SHARE: f64 = 0.25;

impl Balancer {
    /// Sets the initial windows for the cached server list that is reported at startup.
    pub(crate) fn open_windows(&mut self) {
        let per_server = INITIAL_WINDOW_PER_SERVER / f64::from(self.settings.sidecar_count.max(1));
        for locality in LOCALITIES {
            let at_least_one = per_server.max(1.0 / self.capacity(locality));
            self.windows[locality as usize].open(at_least_one);
        }
    }

    /// Decreases the window of a server's locality after a late or rejected attempt.
    pub(crate) fn decrease_window(&mut self, server: ServerId, sent_at_ms: f64) {
        let locality = self.locality_of(server);
        let min_per_server = MIN_LIMIT / self.capacity(locality);
        self.windows[locality as usize].decrease(sent_at_ms, self.now_ms, min_per_server);
    }

    /// Increases the window of a server's locality after an answer in time, if the window is in full use.
    pub(crate) fn increase_window(&mut self, server: ServerId) {
        let locality = self.locality_of(server);
        let limit = self.limit(locality);
        if self.in_flight(locality) + 2.0 > limit {
            let increase = WINDOW_INCREASE.min(limit * WINDOW_DECREASE) / self.capacity(locality);
            self.windows[locality as usize].increase(increase);
        }
    }

    /// Returns the maximum number of attempts in flight in a locality. The limit shrinks with the capacity,
    /// so that the load of servers that were lost or ejected does not move to the other servers at once.
    /// There is no limit while requests are sent after probes, which show the load more precisely.
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

    /// Returns the number of servers in use, where warming servers count by their capacity share. At least 1.
    fn capacity(&self, locality: Locality) -> f64 {
        let warming_up = self.servers.warming_up().iter();
        let missing = warming_up
            .filter(|warming| self.locality_of(warming.id) == locality)
            .map(|warming| 1.0 - self.capacity_share_at(warming.started_at_ms));
        let ejected = self.servers.ejected().filter(|server| self.locality(server) == locality);
        let ejected = ejected.map(|server| self.capacity_share(server));
        (self.ready_count(locality) as f64 - missing.chain(ejected).sum::<f64>()).max(1.0)
    }

    /// Returns the attempts in flight at servers in use. Attempts at ejected servers don't use up the limit.
    pub(crate) fn in_flight(&self, locality: Locality) -> f64 {
        let at_ejected = self.servers.ejected().flat_map(|server| &server.in_flight);
        let at_ejected = at_ejected.filter(|attempt| attempt.locality == locality).count();
        (self.windows[locality as usize].in_flight - at_ejected) as f64
    }

    /// Gives the client a final answer without a server's answer, and finishes the request.
    ///
    /// The answer is [`Action::Reject`] if the client may safely send the request again: no attempt can have
    /// been executed, the class is idempotent, or all servers drop a repeat by its key. Otherwise the answer
    /// is [`Action::Fail`]. Only a rejection advises the client when to retry, if clients honour that.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let is_harmless = match self.settings.classes[request.profile.class].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
            _ => request.first_possible_execution().is_none(),
        };
        // A client that retried too late for its latency target could not be served in time.
        let slack_ms =
            request.profile.target_at_ms - self.now_ms - self.expected_latency_ms(&request.profile);
        let has_slack = slack_ms > 0.0;
        let advice =
            from_ms(if has_slack { slack_ms * WAIT_SHARE } else { request.profile.latency_target_ms / 2.0 });
        let retry_after = self.settings.max_retry_after.map(|max| max.min(advice));
        out.push(if is_harmless { Action::Reject { id, retry_after } } else { Action::Fail(id) });
        self.finish(id, out);
    }

    /// Finishes a request, which no longer waits in the queue or for probes and gets no further attempt. The
    /// client is not answered here: the caller has already done so, or the client has disconnected.
    ///
    /// An attempt in flight is cancelled only if [`Settings::cancel`](crate::api::Settings::cancel) grants
    /// it. In either case the attempt keeps its slot in the concurrency window until its outcome is reported.
    /// A request that finishes before its attempt ends therefore stays in the table, and this method is
    /// called again with the outcome to remove it.
    pub(crate) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let was_open =
            std::mem::replace(&mut request.phase, RequestPhase::Finished) != RequestPhase::Finished;
        if was_open && self.settings.cancel == Permission::Granted {
            let in_flight = request.attempts.iter().position(|a| a.status == AttemptStatus::InFlight);
            out.extend(in_flight.map(|attempt| Action::Cancel { id, attempt }));
        }
        // The request stays in the table until its attempts have ended.
        if !request.is_in_flight() {
            self.requests.remove(&id);
        }
        self.queue.retain(|queued| queued.id != id);
        self.awaiting_probes.remove(&id);
    }
}
