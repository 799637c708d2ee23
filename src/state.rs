//! What the balancer remembers, and its bookkeeping.

use crate::{api::*, model::*};
use std::collections::{BTreeMap, BTreeSet};

/// Time constant of the decay, in aims: the longer, the longer one slow answer by chance shuns a good server.
const TIME_CONSTANT_TARGETS: f64 = 3.5;
/// Weight of one fresh request in what is asked and served of each class: a longer look than a mean.
const DEMAND_GAIN: f64 = 1.0 / 256.0;
/// Weight of one answer in what a held request takes: a few answers have to show a crowd.
const LOAD_LATENCY_GAIN: f64 = 1.0 / 8.0;
/// Weight of one answer in what a class takes at a kind of machine.
const AFFINITY_GAIN: f64 = 1.0 / 16.0;
/// The step by which a running median follows its samples.
const MEDIAN_STEP: f64 = 1.0 / 32.0;

/// Puts an id into a list in order, or takes it out.
fn set_membership(list: &mut Vec<ServerId>, id: ServerId, present: bool) {
    match (list.binary_search(&id), present) {
        (Err(at), true) => list.insert(at, id),
        (Ok(at), false) => drop(list.remove(at)),
        _ => {}
    }
}

/// The decisions of one sidecar. The same settings, seed and events give the same actions.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    /// Time constant of the decay in ms, from the mean aim of the classes.
    pub(crate) time_constant_ms: f64,
    pub(crate) now_ms: f64,
    /// The clock at the first event.
    pub(crate) first_event_ms: f64,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Servers that take requests, by id; and of these the ones in the own zone, ...
    pub(crate) ready: Vec<ServerId>,
    pub(crate) local: Vec<ServerId>,
    /// ... those that may still be cold, with their start, and those ejected.
    pub(crate) warming_up: Vec<(ServerId, f64)>,
    pub(crate) ejected: BTreeSet<ServerId>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// By falling value, then in order of arrival.
    pub(crate) queue: Vec<(f64, RequestId)>,
    /// Requests that wait for probes.
    pub(crate) awaiting_probes: BTreeSet<RequestId>,
    pub(crate) class_means: Vec<ClassMeans>,
    /// What an answer takes for each request that its server held, itself included.
    pub(crate) latency_per_load_ms: f64,
    pub(crate) mean_latency_ms: f64,
    /// Running means of what a class takes at a kind of machine, against what it takes at all.
    pub(crate) affinities: BTreeMap<(u8, usize), f64>,
    /// Running median of the samples: where a server without samples starts.
    pub(crate) median_latency_ms: f64,
    /// Decayed count of sends, as of `sends_at`.
    pub(crate) recent_sends: f64,
    pub(crate) recent_sends_updated_ms: f64,
    pub(crate) class_service: Vec<ClassService>,
    /// How own attempts have lately ended, at all servers together.
    pub(crate) outcomes: OutcomeHistory,
    /// Further attempts left in the budget.
    pub(crate) retry_budget: f64,
    /// Admission control, at home and away.
    pub(crate) windows: [ConcurrencyWindow; 2],
    pub(crate) is_queue_timer_set: bool,
    pub(crate) is_shedding: bool,
}

impl Balancer {
    /// A balancer that knows nothing yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let aims: f64 = settings.classes.iter().map(|class| ms(class.latency_target)).sum();
        Balancer {
            time_constant_ms: (TIME_CONSTANT_TARGETS * aims / settings.classes.len().max(1) as f64).max(1.0),
            rng: fastrand::Rng::with_seed(seed),
            now_ms: 0.0,
            first_event_ms: f64::INFINITY,
            servers: BTreeMap::new(),
            ready: Vec::new(),
            local: Vec::new(),
            warming_up: Vec::new(),
            ejected: BTreeSet::new(),
            requests: BTreeMap::new(),
            queue: Vec::new(),
            awaiting_probes: BTreeSet::new(),
            latency_per_load_ms: 0.0,
            class_means: vec![ClassMeans::default(); settings.classes.len()],
            mean_latency_ms: 0.0,
            affinities: BTreeMap::new(),
            median_latency_ms: 0.0,
            recent_sends: 0.0,
            recent_sends_updated_ms: 0.0,
            class_service: vec![ClassService::default(); settings.classes.len()],
            outcomes: OutcomeHistory::NEW,
            retry_budget: 0.0,
            windows: [ConcurrencyWindow::NEW; 2],
            is_queue_timer_set: false,
            is_shedding: false,
            settings,
        }
    }

    pub(crate) fn locality(&self, server: &Server) -> Locality {
        let home = self.settings.cross_zone_price <= 0.0 || server.entry.zone == self.settings.zone;
        if home { Locality::Local } else { Locality::Remote }
    }

    pub(crate) fn locality_of(&self, id: ServerId) -> Locality {
        self.servers.get(&id).map_or(Locality::Local, |server| self.locality(server))
    }

    /// Takes over lines of the server list; who is missing from a whole one is gone.
    pub(crate) fn apply_server_list(&mut self, whole: bool, lines: Vec<ServerEntry>) {
        let mut changed: Vec<ServerId> = lines.iter().map(|line| line.server).collect();
        if whole {
            self.servers.values_mut().for_each(|s| s.entry.availability = Availability::Gone);
            changed = self.servers.keys().copied().chain(changed).collect();
        }
        for line in lines {
            match self.servers.get_mut(&line.server) {
                Some(known) if known.entry.started == line.started => known.entry = line,
                // A new start is a new server: what was known of the old process says nothing of it.
                Some(known) => {
                    let in_flight = std::mem::take(&mut known.in_flight);
                    *known = Server { in_flight, ..Server::new(line, self.now_ms) };
                }
                None => drop(self.servers.insert(line.server, Server::new(line, self.now_ms))),
            }
        }
        changed.into_iter().for_each(|id| self.update_indexes(id));
    }

    /// Brings the lists of servers up to date with what is known of one. Guards against growth without
    /// bound: a server that left goes once its attempts have ended.
    fn update_indexes(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let (ready, home) =
            (server.has_availability(Availability::Ready), server.entry.zone == self.settings.zone);
        let started = server.entry.started.map(ms).filter(|_| ready);
        let (left, good) = (server.has_availability(Availability::Gone), server.health == Health::Healthy);
        set_membership(&mut self.ready, id, ready);
        set_membership(&mut self.local, id, ready && home);
        let warm_since = self.now_ms - ms(self.settings.slow_start.ramp_time);
        self.warming_up.retain(|&(other, started)| other != id && started > warm_since);
        self.warming_up.extend(started.filter(|&started| started > warm_since).map(|started| (id, started)));
        if !ready || good {
            self.ejected.remove(&id);
        }
        if left && self.servers[&id].in_flight.is_empty() {
            self.servers.remove(&id);
        }
    }

    /// An attempt goes out.
    pub(crate) fn record_sent(&mut self, id: RequestId, attempt: usize, new: Attempt) {
        let side = self.locality_of(new.server);
        let (Some(server), Some(request)) = (self.servers.get_mut(&new.server), self.requests.get_mut(&id))
        else {
            return;
        };
        server.recent_sends = (server.recent_sends_at(new.sent_at_ms) + 1.0, new.sent_at_ms);
        server.in_flight.push(InFlightAttempt {
            id,
            attempt,
            sent_at_ms: new.sent_at_ms,
            normalization: new.normalization,
            locality: side,
        });
        request.attempts.push(new);
        request.phase = RequestPhase::InFlight;
        self.windows[side as usize].in_flight += 1;
        (self.recent_sends, self.recent_sends_updated_ms) = (self.recent_sends_now() + 1.0, new.sent_at_ms);
    }

    /// Counts what is asked for.
    pub(crate) fn record_demand(&mut self, profile: &RequestProfile) {
        self.class_service.iter_mut().for_each(|s| s.decay(DEMAND_GAIN));
        self.class_service[profile.class].demanded += self.request_value(profile).0;
    }

    /// Counts what is served: a late answer earns only part of its worth.
    pub(crate) fn record_service(&mut self, profile: &RequestProfile) {
        self.class_service[profile.class].served +=
            self.request_value(profile).0 * self.earned_share(profile, self.now_ms);
    }

    /// The part of its worth that a request earns if it is answered then.
    pub(crate) fn earned_share(&self, profile: &RequestProfile, then: f64) -> f64 {
        if then <= profile.target_at_ms { 1.0 } else { self.settings.classes[profile.class].late_value }
    }

    /// Says once that requests are being refused, until all held ones have gone out.
    pub(crate) fn log_shedding_once(&mut self, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.is_shedding, true) {
            out.push(Action::Log(LogEvent::Shedding));
        }
    }

    /// The request waits anew, for a server it has not been sent to.
    pub(crate) fn requeue(&mut self, id: RequestId, wait: f64) {
        if let Some(request) = self.requests.get_mut(&id) {
            (request.phase, request.wait_until_ms) = (RequestPhase::Queued, self.now_ms + wait);
            request.candidates.clear();
        }
    }

    /// Nothing waits for the request any more; it goes once its attempts have ended.
    pub(crate) fn remove_if_finished(&mut self, id: RequestId) {
        self.queue.retain(|held| held.1 != id);
        self.awaiting_probes.remove(&id);
        if self.requests.get(&id).is_some_and(|request| request.in_flight_count() == 0) {
            self.requests.remove(&id);
        }
    }

    /// An attempt has ended at its server.
    pub(crate) fn record_ended(&mut self, at: ServerId, flight: (RequestId, usize)) {
        let Some(server) = self.servers.get_mut(&at) else { return };
        if let Some(out) = server.in_flight.iter().position(|f| (f.id, f.attempt) == flight) {
            self.windows[server.in_flight.remove(out).locality as usize].in_flight -= 1;
        }
        if server.has_availability(Availability::Gone) && server.in_flight.is_empty() {
            self.servers.remove(&at);
        }
    }

    /// Ready servers that are ejected.
    pub(crate) fn ejected_servers(&self) -> impl Iterator<Item = &Server> {
        self.ejected.iter().filter_map(|id| self.servers.get(id))
    }

    pub(crate) fn set_timer(&self, id: RequestId, after: f64, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { timer: TimerId(u64::from(id.0)), after: duration(after) });
    }

    pub(crate) fn recent_sends_now(&self) -> f64 {
        self.recent_sends
            * (-(self.now_ms - self.recent_sends_updated_ms)
                / ms(self.settings.slow_start.ramp_time).max(1.0))
            .exp()
    }

    /// Attempts sent in a millisecond, over the time that `decayed_sends` speaks of: all since the start (a
    /// second at least), later that of the decay.
    pub(crate) fn send_rate(&self) -> f64 {
        let ramp = ms(self.settings.slow_start.ramp_time).max(1.0);
        let span = ramp * (1.0 - (-(self.now_ms - self.first_event_ms) / ramp).exp());
        self.recent_sends_now() / span.max(1e3)
    }

    /// What this request usually takes from sending to answer.
    pub(crate) fn expected_latency(&self, profile: &RequestProfile) -> f64 {
        self.class_means[profile.class].expected_latency(profile.cost_ms).unwrap_or(self.mean_latency_ms)
    }

    /// Turns a time of this request into that of a mean request, so that costly work damns no server.
    pub(crate) fn normalization(&self, profile: &RequestProfile) -> f64 {
        let expected = self.expected_latency(profile);
        if expected > 0.0 { self.mean_latency_ms / expected } else { 1.0 }
    }

    /// What a request of this class takes at this kind of machine, against the class's mean.
    pub(crate) fn affinity(&self, server: &Server, class: usize) -> f64 {
        self.affinities.get(&(server.entry.kind, class)).copied().unwrap_or(1.0)
    }

    /// What an answer has taken for each request that its server held, itself included.
    pub(crate) fn record_latency_by_load(&mut self, of: &Attempt, sample: f64) {
        if let Some(held) = of.reported_load {
            update_ewma(&mut self.latency_per_load_ms, sample / (held + 1.0), LOAD_LATENCY_GAIN);
        }
    }

    pub(crate) fn record_affinity(&mut self, server: ServerId, profile: &RequestProfile, took: f64) {
        let (expected, server) = (self.expected_latency(profile), self.servers.get(&server));
        if let Some(server) = server.filter(|_| expected > 0.0) {
            let fit = self.affinities.entry((server.entry.kind, profile.class)).or_insert(1.0);
            update_ewma(fit, took / expected, AFFINITY_GAIN);
        }
    }

    /// What a request is worth, and what a unit of its work is.
    pub(crate) fn request_value(&self, profile: &RequestProfile) -> (f64, f64) {
        let (worth, work) =
            (self.settings.classes[profile.class].value, self.expected_latency(profile).max(1.0));
        match self.settings.value_basis {
            ValueBasis::PerWork => (worth * work, worth),
            ValueBasis::PerRequest => (worth, worth / work),
        }
    }

    /// A running median of all samples is where a server without any starts.
    pub(crate) fn record_median(&mut self, sample: f64) {
        let step = if sample > self.median_latency_ms { 1.0 + MEDIAN_STEP } else { 1.0 - MEDIAN_STEP };
        self.median_latency_ms =
            if self.median_latency_ms > 0.0 { self.median_latency_ms * step } else { sample };
    }
}
