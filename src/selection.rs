//! Choosing a server: power of two choices over peak-EWMA latency, slow start, subsetting, and sending.

use crate::{api::*, health::STALE_TIME_CONSTANTS, model::*, state::Balancer};

/// Weight of one answer in what a server usually shows, which fades by it against the average.
pub(crate) const BASELINE_GAIN: f64 = 1.0 / 8.0;
/// Mean requests that come close together by chance alone.
const SEND_BURST: f64 = 0.5;
/// A peak over some tens of answers is about this many times their mean (if they scatter exponentially).
const PEAK_OVER_MEAN: f64 = 3.0;
/// Servers probed together, each at the price of a probe, and random draws for them before all are searched.
const PROBES_PER_ROUND: f64 = 2.0;
const DRAWS: usize = 8;
/// A connection is kept by this many requests in the time after which it would be closed as idle, or by as many as
/// bring the price of its handshake down to this share of a request's worth. The least servers to draw from are
/// enough that the draw is one, also when some of them are ejected.
const REQUESTS_PER_CONNECTION: f64 = 4.0;
const MAX_HANDSHAKE_SHARE: f64 = 1.0 / 300.0;
const MIN_SUBSET: usize = 8;
/// The golden ratio's fraction: its multiples, by sidecar number, spread evenly over a circle.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

impl Server {
    /// A slower sample replaces the average at once, a faster one pulls it down by timed decay.
    pub(crate) fn observe_latency(&mut self, now: f64, time_constant_ms: f64, sample: f64) {
        let keep = (-(now - self.observed_at_ms) / time_constant_ms).exp();
        self.ewma_ms = Some(match self.ewma_ms {
            Some(ewma) if sample < ewma => ewma * keep + sample * (1.0 - keep),
            _ => sample,
        });
        self.observed_at_ms = now;
    }

    /// What it held by its last report, as of now: old news fades, as that of latency does. Guards against a
    /// report from a crowded moment that shuns the server for as long as nobody asks it again.
    pub(crate) fn load_at(&self, now: f64, time_constant_ms: f64) -> Option<f64> {
        self.reported_load.map(|(held, at)| held * (-(now - at) / time_constant_ms).exp())
    }

    /// The average as of now. Old news fades towards what the server usually shows, so that a quiet
    /// sidecar keeps in mind which are slow; that, and what has no samples, towards the others. An
    /// attempt out for longer than the average speaks by its age.
    pub(crate) fn latency_at(&self, now: f64, time_constant_ms: f64, typical: f64) -> f64 {
        let age = (now - self.observed_at_ms) / time_constant_ms;
        let usual = if self.baseline_ms > 0.0 { self.baseline_ms } else { typical };
        let usual = typical + (usual - typical) * (-age * BASELINE_GAIN).exp();
        let ewma = self.ewma_ms.map_or(typical, |ewma| usual + (ewma - usual) * (-age).exp());
        self.in_flight
            .first()
            .map_or(ewma, |oldest| ewma.max((now - oldest.sent_at_ms) * oldest.normalization))
    }
}

impl Balancer {
    pub(crate) fn send(&mut self, id: RequestId, server: ServerId, out: &mut Vec<Action>) {
        let (request, chosen) = (&self.requests[&id], &self.servers[&server]);
        let (profile, held, attempt) =
            (request.profile, chosen.load_at(self.now_ms, self.time_constant_ms), request.attempts.len());
        let (sent, timeout) = (self.now_ms, request.deadline_ms - self.now_ms);
        let scale = self.normalization(&profile) / self.affinity(chosen, profile.class);
        let repeat = self.settings.classes[profile.class].idempotency;
        let (group, status, late) = (chosen.dedup_group(repeat), AttemptStatus::InFlight, false);
        let window =
            request.may_have_run().map_or(timeout, |first| first.sent_at_ms + ms(repeat.window()) - sent);
        self.record_sent(
            id,
            attempt,
            Attempt {
                server,
                dedup_group: group,
                sent_at_ms: sent,
                timeout_ms: timeout,
                normalization: scale,
                reported_load: held,
                status,
                is_recorded_late: late,
            },
        );
        let write_within = duration(timeout.min(window));
        out.push(Action::Send { id, server, timeout: duration(timeout), write_within });
        if profile.latency_target_ms < timeout {
            self.set_timer(id, profile.latency_target_ms, out);
        }
    }

    /// Does own traffic leave servers unheard of until the news has faded? Then it does not know how busy others keep
    /// them, and where a probe shows that, it probes before it sends. Guards against probes that cost more than they can
    /// save, a miss at most, and against probes that show no load: in a crowd they spare nothing and add to it.
    pub(crate) fn must_probe(&self) -> bool {
        let told = self.send_rate() * self.time_constant_ms * STALE_TIME_CONSTANTS;
        let saves = self.outcomes.miss_rate(self.now_ms, self.time_constant_ms * STALE_TIME_CONSTANTS);
        let pays =
            saves >= PROBES_PER_ROUND * self.settings.probe_price.max(0.0) && self.settings.load_reported;
        self.settings.probes == Permit::Granted && pays && told < self.ready.len() as f64
    }

    /// Where the rules let the next attempt go: `None` nowhere, `Some(None)` anywhere,
    /// `Some(Some(group))` only there.
    pub(crate) fn allowed_scope(&self, request: &Request) -> Option<Option<u16>> {
        let spent = request.attempts.len() >= self.settings.max_attempts;
        let over = matches!(request.phase, RequestPhase::Ended | RequestPhase::Streaming)
            || self.now_ms >= request.deadline_ms;
        if spent || over || request.in_flight_count() > 0 {
            return None;
        }
        let soon = self.now_ms + ms(self.settings.tick);
        let repeat = self.settings.classes[request.profile.class].idempotency;
        match (repeat, request.may_have_run()) {
            (_, None) | (Idempotency::Idempotent, _) => Some(None),
            (_, Some(first)) if soon >= first.sent_at_ms + ms(repeat.window()) => None,
            (Idempotency::Keyed { .. }, Some(first)) => Some(first.dedup_group),
            (Idempotency::NonIdempotent, Some(_)) => None,
        }
    }

    /// Draws two distinct random ready servers on a side that is open.
    pub(crate) fn draw_candidates(
        &mut self, id: RequestId, open: impl Fn(Locality) -> bool,
    ) -> Vec<ServerId> {
        let draws = std::array::from_fn(|_| self.rng.u32(..) as usize);
        let request = &self.requests[&id];
        let Some(group) = self.allowed_scope(request) else { return Vec::new() };
        let class = request.profile.class;
        let repeat = self.settings.classes[class].idempotency;
        // Slow start. Guards against pushing over a cold server: of all requests, at all sidecars, only a share by lot may
        // go there, its warmth times half the multiple at which it falls, which is twice its even share at most.
        let size = 1.0 / self.normalization(&request.profile);
        let multiple = self.settings.slow_start.overload_multiple / 2.0;
        let may = |s: &Server| {
            let in_group = group.is_none() || s.dedup_group(repeat) == group;
            in_group
                && open(self.locality(s))
                && !request.has_considered(s.entry.server)
                && request.draw < self.warmth(s) * multiple
                && self.may_warm_up(s, size, multiple)
        };
        // Re-entry is by a single trial, and never with a request that has only one attempt.
        let trial = repeat != Idempotency::NonIdempotent;
        let healthy = |s: &Server| {
            (s.health == Health::Healthy || trial && s.is_due_for_trial(self.now_ms))
                && !self.is_ejected_for_class(s, class)
        };
        // Where crossing zones has a price, the draw keeps to those at home unlikely to miss the aim:
        // by Chebyshev's bound a miss is no likelier than (mean ÷ aim)², and while that is under the price,
        // crossing cannot pay. The score is a peak, hence the factor.
        let aim = request.profile.latency_target_ms * self.normalization(&request.profile);
        let bound = PEAK_OVER_MEAN * aim * self.settings.cross_zone_price.max(0.0).sqrt();
        let home = |s: &Server| may(s) && healthy(s) && self.score(s, class) < bound;
        let mut found = if bound > 0.0 {
            self.draw_pair(&self.local, self.subset_size(), draws, home)
        } else {
            Vec::new()
        };
        // Guards against an empty choice: after the subset the whole list is searched; if all look bad, all are used.
        for part in [self.subset_size(), usize::MAX] {
            if found.is_empty() {
                found = self.draw_pair(&self.ready, part, draws, |s| may(s) && healthy(s));
            }
        }
        if found.is_empty() { self.draw_pair(&self.ready, usize::MAX, draws, may) } else { found }
    }

    /// The lower score wins.
    pub(crate) fn lowest_score(&self, of: &[ServerId], class: usize) -> Option<ServerId> {
        let score = |id: &ServerId| self.score(&self.servers[id], class);
        of.iter().copied().min_by(|a, b| score(a).total_cmp(&score(b)))
    }

    /// Subsetting: the part of the list that this sidecar draws from, as many servers as it can keep a
    /// connection to, and news of, by its own traffic. The parts of all sidecars cover the list evenly, and so do
    /// those of the sidecars in one zone, whichever numbers these have.
    fn subset_size(&self) -> usize {
        let kept_by = REQUESTS_PER_CONNECTION.max(self.settings.handshake_price / MAX_HANDSHAKE_SHARE);
        let kept =
            if self.must_probe() { 1e6 } else { self.send_rate() * ms(self.settings.keep_alive) / kept_by };
        (kept as usize).clamp(MIN_SUBSET, self.ready.len().max(MIN_SUBSET))
    }

    /// Two distinct random servers that fit, of this many from the own part of the list on. When a few draws
    /// don't find them, the search goes through all, from a random place on.
    fn draw_pair(
        &self, of: &[ServerId], part: usize, draws: [usize; DRAWS], fits: impl Fn(&Server) -> bool,
    ) -> Vec<ServerId> {
        let (mut pair, part) = (Vec::new(), part.min(of.len()));
        let own = (of.len() as f64 * (f64::from(self.settings.sidecar_index) * GOLDEN_RATIO_FRACTION).fract())
            as usize;
        let search = (0..part).map(|step| draws[0].wrapping_add(step));
        let search = draws.into_iter().filter(|_| part > 0).chain(search);
        let mut search = search.map(|at| of[(own + at % part) % of.len()]);
        while let (0..2, Some(id)) = (pair.len(), search.next()) {
            if !pair.contains(&id) && fits(&self.servers[&id]) {
                pair.push(id);
            }
        }
        pair
    }

    /// `ewma × (in_flight + 1) ÷ max(weight, 1)`: the average as for this class and kind, the weight by how
    /// warm the server is. It may be as cold as is allowed, or warm: the geometric mean is taken.
    fn score(&self, server: &Server, class: usize) -> f64 {
        let weight = server.entry.weight.max(1.0) * self.warmth(server).sqrt();
        let in_flight = server
            .load_at(self.now_ms, self.time_constant_ms)
            .unwrap_or(0.0)
            .max(server.in_flight.len() as f64);
        let latency = server.latency_at(self.now_ms, self.time_constant_ms, self.median_latency_ms).max(1.0)
            * self.affinity(server, class);
        latency * (in_flight + 1.0) / weight
    }

    /// Guards against all that comes where few servers are left to draw from: a cold one gets so many times its
    /// even share of own sends, by its warmth, and no request heavier than its share of all sidecars' in a second.
    fn may_warm_up(&self, server: &Server, size: f64, multiple: f64) -> bool {
        let (warmth, drawn) = (self.warmth(server), self.subset_size().min(self.ready.len()).max(1));
        let even = |of: f64| self.send_rate() * RECENT_SENDS_TIME_CONSTANT_MS * warmth * multiple / of;
        let all = even(self.ready.len().max(1) as f64) * f64::from(self.settings.sidecar_count);
        warmth >= 1.0
            || size <= all.max(SEND_BURST)
                && server.recent_sends_at(self.now_ms) < even(drawn as f64) + SEND_BURST
    }

    pub(crate) fn warmth(&self, server: &Server) -> f64 {
        server.entry.started.map_or(1.0, |started| self.warmth_from(ms(started)))
    }

    /// The share of its capacity that a server has this long after its start, at least.
    pub(crate) fn warmth_from(&self, started: f64) -> f64 {
        let cold = &self.settings.slow_start;
        let age = (self.now_ms - started).max(0.0) / ms(cold.ramp_time).max(1.0);
        (cold.initial_capacity + (1.0 - cold.initial_capacity) * age).clamp(0.01, 1.0)
    }
}
