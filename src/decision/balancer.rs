//! The state of the balancer, the entry point for events, and what several concerns derive from the state.

use super::concurrency_window::ConcurrencyWindow;
use super::outcome_history::OutcomeHistory;
use super::request::{QueuedRequest, Request, RequestProfile};
use super::server::{Locality, Server};
use super::server_table::ServerTable;
use super::statistics::{ClassMeans, ClassService, DecayingCount, RunningMedian};
use super::time::{from_ms, to_ms};
use crate::api::{Action, Event, LogEvent, RequestId, ServerId, Settings, TimerId, ValueBasis};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time constant of latency samples, in mean latency targets. The longer it is, the longer one slow answer by chance keeps
/// requests away from a good server.
const TIME_CONSTANT_TARGETS: f64 = 3.5;
/// [`Balancer::sends_per_ms`] divides by this time at least, so that the first sends make no huge rate.
const MIN_RATE_SPAN_MS: f64 = 1e3;

/// Timers of the module itself; request timers carry the request's id, which is below 2^32.
pub(crate) const SUBSCRIBE_TIMER: TimerId = TimerId(1 << 32);
pub(crate) const QUEUE_TIMER: TimerId = TimerId((1 << 32) + 1);

/// The decisions of one sidecar. The same settings, seed and events give the same actions.
///
/// Methods that decide something append the actions to the `out` parameter that [`Balancer::handle`] was called with, in
/// the order in which the caller has to carry them out.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    /// Time constant of latency samples: [`TIME_CONSTANT_TARGETS`] times the mean latency target of the classes.
    pub(crate) time_constant_ms: f64,
    pub(crate) now_ms: f64,
    /// The clock at the first event; infinite before it.
    pub(crate) first_event_at_ms: f64,

    pub(crate) servers: ServerTable,
    /// Requests that are not finished or have an attempt in flight.
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests that wait for capacity, by falling priority, then in order of arrival. All are in `requests`.
    pub(crate) queue: Vec<QueuedRequest>,
    /// Whether the queue's own timer is running.
    pub(crate) is_queue_timer_set: bool,
    /// Whether load shedding has been logged since the queue was last empty.
    pub(crate) is_shedding: bool,
    /// Requests that wait for the probes of their candidates. All are in `requests`.
    pub(crate) awaiting_probes: BTreeSet<RequestId>,

    /// How many attempts may be in flight, by [`Locality`].
    pub(crate) windows: [ConcurrencyWindow; 2],
    /// Retries that are left; see `queue` and `outcomes`.
    pub(crate) retry_budget: f64,

    /// Running means, by class.
    pub(crate) class_means: Vec<ClassMeans>,
    /// Demanded and served value, by class.
    pub(crate) class_service: Vec<ClassService>,
    /// Running mean latency of all answers; zero before the first.
    pub(crate) mean_latency_ms: f64,
    /// Running median of all latency samples, failures included: what a server without samples starts with.
    pub(crate) median_latency_ms: RunningMedian,
    /// Running mean of latency per request in flight at the server, the request itself included.
    pub(crate) latency_per_load_ms: f64,
    /// Latency of a class at a kind of machine relative to the class's mean, by kind and class.
    pub(crate) relative_latency: BTreeMap<(u8, usize), f64>,
    /// Attempts sent, with the slow-start ramp as time constant.
    pub(crate) recent_sends: DecayingCount,
    /// How attempts have lately ended at all servers together.
    pub(crate) outcomes: OutcomeHistory,
}

impl Balancer {
    /// A balancer that has seen no event. The seed determines all its random draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let class_count = settings.classes.len();
        let targets_ms: f64 = settings.classes.iter().map(|class| to_ms(class.latency_target)).sum();
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            time_constant_ms: (TIME_CONSTANT_TARGETS * targets_ms / class_count.max(1) as f64).max(1.0),
            now_ms: 0.0,
            first_event_at_ms: f64::INFINITY,
            servers: ServerTable::new(settings.zone, to_ms(settings.slow_start.ramp_time)),
            requests: BTreeMap::new(),
            queue: Vec::new(),
            is_queue_timer_set: false,
            is_shedding: false,
            awaiting_probes: BTreeSet::new(),
            windows: [ConcurrencyWindow::INITIAL; 2],
            retry_budget: 0.0,
            class_means: vec![ClassMeans::default(); class_count],
            class_service: vec![ClassService::default(); class_count],
            mean_latency_ms: 0.0,
            median_latency_ms: RunningMedian::default(),
            latency_per_load_ms: 0.0,
            relative_latency: BTreeMap::new(),
            recent_sends: DecayingCount::new(0.0),
            outcomes: OutcomeHistory::EMPTY,
            settings,
        }
    }

    /// Handles one event and appends the resulting actions to `out`. A clock reading before the latest one counts as the
    /// latest.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.now_ms = to_ms(now).max(self.now_ms);
        self.first_event_at_ms = self.first_event_at_ms.min(self.now_ms);
        match event {
            Event::Request(arrival) => self.on_arrival(arrival, out),
            Event::ClientDisconnected(id) => self.finish(id, out),
            Event::Outcome { id, attempt, outcome, elapsed, request_status } => {
                self.on_outcome(id, attempt, outcome, to_ms(elapsed), request_status, out);
            }
            Event::ProbeCompleted { server, outcome, reported_load } => {
                self.on_probe_completed(server, outcome, reported_load, out);
            }
            Event::StreamStarted { id, attempt, elapsed } => {
                self.on_stream_started(id, attempt, to_ms(elapsed), out);
            }
            Event::Timer(SUBSCRIBE_TIMER) => out.push(Action::Subscribe),
            Event::Timer(QUEUE_TIMER) => self.is_queue_timer_set = false,
            Event::Timer(TimerId(id)) => self.on_request_timer(RequestId(id as u32), out),
            Event::ServerList(update) => self.on_server_list(update, out),
        }
        self.dispatch(out);
    }

    /// Sets a timer for a request.
    pub(crate) fn set_request_timer(&self, id: RequestId, after_ms: f64, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { timer: TimerId(u64::from(id.0)), after: from_ms(after_ms) });
    }

    /// Logs load shedding, once until the queue was empty again.
    pub(crate) fn log_shedding_once(&mut self, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.is_shedding, true) {
            out.push(Action::Log(LogEvent::Shedding));
        }
    }

    pub(crate) fn tick_ms(&self) -> f64 {
        to_ms(self.settings.tick)
    }

    pub(crate) fn ramp_time_ms(&self) -> f64 {
        to_ms(self.settings.slow_start.ramp_time).max(1.0)
    }

    /// Where a server is; see [`Locality`].
    pub(crate) fn locality(&self, server: &Server) -> Locality {
        let is_local = self.settings.cross_zone_price <= 0.0 || server.entry.zone == self.settings.zone;
        if is_local { Locality::Local } else { Locality::Remote }
    }

    /// Where a server is; a server that is no longer known counts as local.
    pub(crate) fn locality_of(&self, id: ServerId) -> Locality {
        self.servers.get(id).map_or(Locality::Local, |server| self.locality(server))
    }

    /// Attempts sent per millisecond, over the time that [`Balancer::recent_sends`] covers.
    pub(crate) fn sends_per_ms(&self) -> f64 {
        let ramp_ms = self.ramp_time_ms();
        let span_ms = ramp_ms * (1.0 - (-(self.now_ms - self.first_event_at_ms) / ramp_ms).exp());
        self.recent_sends.at(self.now_ms, ramp_ms) / span_ms.max(MIN_RATE_SPAN_MS)
    }

    /// The latency to expect of a request, by its class and cost; zero before the first answer.
    pub(crate) fn expected_latency_ms(&self, profile: &RequestProfile) -> f64 {
        let of_class = self.class_means[profile.class].expected_latency_ms(profile.cost_ms);
        of_class.unwrap_or(self.mean_latency_ms)
    }

    /// The factor that turns a latency of this request into that of a mean request, so that expensive work does not make
    /// its server look slow.
    pub(crate) fn normalization(&self, profile: &RequestProfile) -> f64 {
        let expected_ms = self.expected_latency_ms(profile);
        if expected_ms > 0.0 { self.mean_latency_ms / expected_ms } else { 1.0 }
    }

    /// The latency of a class at this server's kind of machine, relative to the class's mean.
    pub(crate) fn relative_latency(&self, server: &Server, class: usize) -> f64 {
        self.relative_latency.get(&(server.entry.machine_type, class)).copied().unwrap_or(1.0)
    }

    /// The value of a request.
    pub(crate) fn request_value(&self, profile: &RequestProfile) -> f64 {
        let value = self.settings.classes[profile.class].value;
        match self.settings.value_basis {
            ValueBasis::PerWork => value * self.expected_latency_ms(profile).max(1.0),
            ValueBasis::PerRequest => value,
        }
    }

    /// The value of a request per millisecond of expected work.
    pub(crate) fn value_per_work(&self, profile: &RequestProfile) -> f64 {
        let value = self.settings.classes[profile.class].value;
        match self.settings.value_basis {
            ValueBasis::PerWork => value,
            ValueBasis::PerRequest => value / self.expected_latency_ms(profile).max(1.0),
        }
    }

    /// The share of its value that a request earns if it is answered at this time.
    pub(crate) fn earned_share(&self, profile: &RequestProfile, answered_at_ms: f64) -> f64 {
        let is_in_time = answered_at_ms <= profile.target_at_ms;
        if is_in_time { 1.0 } else { self.settings.classes[profile.class].late_value_share }
    }
}
