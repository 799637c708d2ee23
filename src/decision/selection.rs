//! Server selection: power of two choices over peak-EWMA latency, within a subset of the server list.
//!
//! Two distinct random candidates are drawn, and the one with the lower score is chosen (Mitzenmacher, "The
//! Power of Two Choices in Randomized Load Balancing"). The score is a cost: the peak-EWMA latency times the
//! requests in flight plus one, as in Finagle's and linkerd's balancers, here divided by the server's weight.
//! The requests in flight are those of this sidecar, or those that the server has reported, if these are
//! more. [`Balancer::score`] has the complete formula.

use super::balancer::Balancer;
use super::outlier_ejection::STALE_AFTER_TIME_CONSTANTS;
use super::request::{Attempt, AttemptStatus, Request, RequestPhase, RequestProfile, RetryScope};
use super::server::{Health, Locality, Server};
use super::time::{from_ms, to_ms};
use crate::api::{Action, Idempotency, Permission, RequestId, ServerId};

/// Approximate ratio of peak to mean over some tens of answers, if latencies are distributed exponentially.
const PEAK_OVER_MEAN: f64 = 3.0;
/// Number of servers probed for one request at a time. Each of them has the price of a probe.
const PROBES_PER_ROUND: f64 = 2.0;
/// Random draws for a pair of candidates before all servers are searched in list order.
const MAX_DRAWS: usize = 8;
/// Minimum number of requests per connection within its keep-alive time. More are required if that is needed
/// to bring the price of the handshake down to [`MAX_HANDSHAKE_SHARE`] of the value of a request.
const MIN_REQUESTS_PER_CONNECTION: f64 = 4.0;
const MAX_HANDSHAKE_SHARE: f64 = 1.0 / 300.0;
/// Minimum subset size. It leaves a choice even if some servers of the subset are ejected.
const MIN_SUBSET_SIZE: usize = 8;
/// Subset size of a sidecar that probes: more than any list has, so its subset is the complete list.
const UNLIMITED_SUBSET_SIZE: f64 = 1e6;
/// Fractional part of the golden ratio. Its multiples by the sidecar index are spread evenly over a circle.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

impl Balancer {
    /// Sends an attempt of a request to a server.
    pub(crate) fn send(&mut self, id: RequestId, server_id: ServerId, out: &mut Vec<Action>) {
        let (request, server) = (&self.requests[&id], &self.servers[server_id]);
        let (profile, attempt_number) = (request.profile, request.attempts.len());
        let idempotency = self.settings.classes[profile.class].idempotency;
        let timeout_ms = request.deadline_at_ms - self.now_ms;
        let write_within_ms = request
            .first_possible_execution()
            .map_or(timeout_ms, |first| first.sent_at_ms + to_ms(idempotency.window()) - self.now_ms);
        let attempt = Attempt {
            server: server_id,
            dedup_group: server.dedup_group(idempotency),
            sent_at_ms: self.now_ms,
            timeout_ms,
            normalization: self.normalization(&profile) / self.relative_latency(server, profile.class),
            reported_load: server.load_at(self.now_ms, self.time_constant_ms),
            status: AttemptStatus::InFlight,
            is_recorded_late: false,
        };
        self.record_sent(id, attempt_number, attempt);
        let write_within = from_ms(timeout_ms.min(write_within_ms));
        out.push(Action::Send { id, server: server_id, timeout: from_ms(timeout_ms), write_within });
        if profile.latency_target_ms < timeout_ms {
            self.set_request_timer(id, profile.latency_target_ms, out);
        }
    }

    /// Returns whether requests are sent only after a probe.
    ///
    /// All of these must hold: probes are permitted; the traffic of this sidecar is so sparse that its
    /// statistics of the servers are stale before they are used again; the miss rate reaches the price of a
    /// round of probes, since a round saves at most one miss; and probes report load. Probes without a load
    /// report only add to an overload.
    pub(crate) fn must_probe(&self) -> bool {
        let stale_after_ms = self.time_constant_ms * STALE_AFTER_TIME_CONSTANTS;
        let sends_until_stale = self.sends_per_ms() * self.time_constant_ms * STALE_AFTER_TIME_CONSTANTS;
        let miss_rate = self.outcomes.miss_rate(self.now_ms, stale_after_ms);
        let is_worth_its_price = miss_rate >= PROBES_PER_ROUND * self.settings.probe_price.max(0.0);
        self.settings.probes == Permission::Granted
            && is_worth_its_price
            && self.settings.is_load_reported
            && sends_until_stale < self.servers.ready().len() as f64
    }

    /// Returns where the next attempt of a request may be sent; `None` if no further attempt is allowed.
    pub(crate) fn retry_scope(&self, request: &Request) -> Option<RetryScope> {
        let has_no_attempts_left = request.attempts.len() >= self.settings.max_attempts;
        let has_ended = matches!(request.phase, RequestPhase::Finished | RequestPhase::Streaming)
            || self.now_ms >= request.deadline_at_ms;
        if has_no_attempts_left || has_ended || request.is_in_flight() {
            return None;
        }
        let tick_end_ms = self.now_ms + self.tick_ms();
        let idempotency = self.settings.classes[request.profile.class].idempotency;
        match (idempotency, request.first_possible_execution()) {
            (_, None) | (Idempotency::Idempotent, _) => Some(RetryScope::AnyServer),
            (_, Some(first)) if tick_end_ms >= first.sent_at_ms + to_ms(idempotency.window()) => None,
            (Idempotency::Keyed { .. }, Some(first)) => {
                Some(first.dedup_group.map_or(RetryScope::AnyServer, RetryScope::DedupGroup))
            }
            (Idempotency::NonIdempotent, Some(_)) => None,
        }
    }

    /// Draws two distinct random ready servers for a request, or fewer if fewer are eligible.
    /// `may_use_locality` returns whether the request may be sent to a locality now, by the capacity of its
    /// window and the wait before crossing zones.
    ///
    /// The servers are drawn from the first of these tiers that has at least one eligible server:
    /// 1. if crossing zones has a price: servers in the sidecar's own zone and in the subset that are in use
    ///    and have a score below [`Balancer::local_score_bound_ms`];
    /// 2. servers in the subset that are in use: healthy ones, and ejected ones that are due for a trial, but
    ///    none that is ejected for the class;
    /// 3. servers of the complete list that are in use;
    /// 4. servers of the complete list, including ejected ones, as in Envoy's panic mode: if all servers look
    ///    bad, the cause is probably elsewhere.
    ///
    /// In each tier, a server is eligible if it is in the request's retry scope, is in a locality that the
    /// request may use, was neither attempted before nor probed since the last attempt, and is warm enough.
    ///
    /// Every call draws [`MAX_DRAWS`] random numbers, and all tiers share them, so the generator's sequence
    /// does not depend on the server list.
    pub(crate) fn draw_candidates(
        &mut self, id: RequestId, may_use_locality: impl Fn(Locality) -> bool,
    ) -> Vec<ServerId> {
        let draws = std::array::from_fn(|_| self.rng.u32(..) as usize);
        let request = &self.requests[&id];
        let Some(scope) = self.retry_scope(request) else { return Vec::new() };
        let class = request.profile.class;
        let idempotency = self.settings.classes[class].idempotency;
        let is_allowed = |server: &Server| {
            scope.includes(server.dedup_group(idempotency))
                && may_use_locality(self.locality(server))
                && !request.has_attempted_or_probed(server.entry.server)
                && self.is_warm_enough(server, request)
        };
        // A trial may fail after the server has executed the request. A non-idempotent request could not be
        // sent again then, so it is never a trial, and is sent to an ejected server only in tier 4.
        let may_try_ejected = idempotency != Idempotency::NonIdempotent;
        let is_preferred = |server: &Server| {
            let is_in_use =
                server.health == Health::Healthy || may_try_ejected && server.is_due_for_trial(self.now_ms);
            is_allowed(server) && is_in_use && !self.is_ejected_for_class(server, class)
        };
        let bound = self.local_score_bound_ms(&request.profile);
        let is_fast_enough = |server: &Server| is_preferred(server) && self.score(server, class) < bound;
        let (ready, subset) = (self.servers.ready(), self.subset_size());
        let mut found = Vec::new();
        if bound > 0.0 {
            found = self.draw_pair(self.servers.ready_in_zone(), subset, draws, is_fast_enough);
        }
        // Tiers 2 and 3; tier 4 follows if both are empty.
        for max_servers in [subset, usize::MAX] {
            if found.is_empty() {
                found = self.draw_pair(ready, max_servers, draws, is_preferred);
            }
        }
        if found.is_empty() { self.draw_pair(ready, usize::MAX, draws, is_allowed) } else { found }
    }

    /// Returns the score below which local servers are preferred to remote ones; zero if crossing has no price.
    ///
    /// By Chebyshev's inequality, the probability that an answer misses the latency target is at most (mean /
    /// target)^2. While this is below the price of crossing zones, crossing cannot be worth its price. The
    /// score is based on peak latencies, hence the factor [`PEAK_OVER_MEAN`].
    fn local_score_bound_ms(&self, profile: &RequestProfile) -> f64 {
        let target_ms = profile.latency_target_ms * self.normalization(profile);
        PEAK_OVER_MEAN * target_ms * self.settings.cross_zone_price.max(0.0).sqrt()
    }

    /// Returns the candidate with the lowest score, which is the best one.
    pub(crate) fn lowest_score(&self, candidates: &[ServerId], class: usize) -> Option<ServerId> {
        let score = |id: &ServerId| self.score(&self.servers[*id], class);
        candidates.iter().copied().min_by(|a, b| score(a).total_cmp(&score(b)))
    }

    /// Returns the number of servers that this sidecar draws from: all while it probes, otherwise as many as
    /// its traffic can keep connections open to, at least [`MIN_SUBSET_SIZE`]. The subsets of all sidecars
    /// cover the list evenly, and those of the sidecars in one zone nearly so for most sets of indexes.
    pub(crate) fn subset_size(&self) -> usize {
        let handshakes = self.settings.handshake_price / MAX_HANDSHAKE_SHARE;
        let requests_per_connection = MIN_REQUESTS_PER_CONNECTION.max(handshakes);
        let connections = if self.must_probe() {
            UNLIMITED_SUBSET_SIZE
        } else {
            self.sends_per_ms() * to_ms(self.settings.keep_alive) / requests_per_connection
        };
        (connections as usize).clamp(MIN_SUBSET_SIZE, self.servers.ready().len().max(MIN_SUBSET_SIZE))
    }

    /// Returns two distinct random eligible servers, or fewer if there are fewer, among the `max_servers`
    /// servers from this sidecar's start position in the list, which is treated as a ring. If the draws don't
    /// find two, all of these servers are searched in order, starting at the position of the first draw.
    fn draw_pair(
        &self, list: &[ServerId], max_servers: usize, draws: [usize; MAX_DRAWS],
        is_eligible: impl Fn(&Server) -> bool,
    ) -> Vec<ServerId> {
        let (mut pair, count) = (Vec::new(), max_servers.min(list.len()));
        let start_share = (f64::from(self.settings.sidecar_index) * GOLDEN_RATIO_FRACTION).fract();
        let start = (list.len() as f64 * start_share) as usize;
        let exhaustive = (0..count).map(|step| draws[0].wrapping_add(step));
        let offsets = draws.into_iter().filter(|_| count > 0).chain(exhaustive);
        let mut ids = offsets.map(|offset| list[(start + offset % count) % list.len()]);
        while let (0..2, Some(id)) = (pair.len(), ids.next()) {
            if !pair.contains(&id) && is_eligible(&self.servers[id]) {
                pair.push(id);
            }
        }
        pair
    }

    /// Returns the score of a server, a cost in ms (lower is better): `latency * relative latency * (in
    /// flight + 1) / (weight * sqrt(capacity share))`. Latency (of a mean request) and weight are at least 1;
    /// the relative latency is that of the class on the machine type. `in flight` is the greater of this
    /// sidecar's own attempts in flight and the reported load. While a server warms up, its true capacity
    /// lies between the capacity share and 1; the square root is the geometric mean of both.
    fn score(&self, server: &Server, class: usize) -> f64 {
        let weight = server.entry.weight.max(1.0) * self.capacity_share(server).sqrt();
        let reported_load = server.load_at(self.now_ms, self.time_constant_ms).unwrap_or(0.0);
        let in_flight = reported_load.max(server.in_flight.len() as f64);
        let latency_ms =
            server.latency_ms_at(self.now_ms, self.time_constant_ms, self.median_latency_ms.get());
        latency_ms.max(1.0) * self.relative_latency(server, class) * (in_flight + 1.0) / weight
    }
}
