//! The state of the balancer, the entry point for events, and shared derived quantities.

use super::concurrency_window::ConcurrencyWindow;
use super::outcome_history::OutcomeHistory;
use super::request::{QueuedRequest, Request, RequestProfile};
use super::server::{Locality, Server};
use super::server_table::ServerTable;
use super::statistics::{ClassMeans, ClassValueTotals, DecayingCount, RunningMedian};
use super::time::{from_ms, to_ms};
use crate::api::{Action, Event, LogEvent, RequestId, ServerId, Settings, TimerId, ValueBasis};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time constant of latency samples, as a multiple of the mean latency target. The longer it is, the longer a
/// single slow answer keeps requests away from a good server.
const TIME_CONSTANT_PER_LATENCY_TARGET: f64 = 3.5;
/// Minimum time span of [`Balancer::sends_per_ms`], so that the first sends don't yield an excessive rate.
const MIN_RATE_SPAN_MS: f64 = 1e3;

/// Timers of the module itself. The id of a request's timer is the id of the request, which is below 2^32.
pub(crate) const SUBSCRIBE_TIMER: TimerId = TimerId(1 << 32);
pub(crate) const QUEUE_TIMER: TimerId = TimerId((1 << 32) + 1);

/// The load balancer of one sidecar. The same settings, seed and events yield the same actions.
///
/// Methods append actions to the `out` parameter of [`Balancer::handle`], in the order in which the caller
/// must execute them.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    /// Time constant of latency samples; see [`TIME_CONSTANT_PER_LATENCY_TARGET`].
    pub(crate) time_constant_ms: f64,
    pub(crate) now_ms: f64,
    /// The clock reading at the first event; infinite before the first event.
    pub(crate) first_event_at_ms: f64,

    pub(crate) servers: ServerTable,
    /// Requests that are not finished, or have an attempt in flight.
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests that wait for capacity, by descending priority, then in queueing order. All are in
    /// `requests`.
    pub(crate) queue: Vec<QueuedRequest>,
    /// Whether [`QUEUE_TIMER`] is running.
    pub(crate) is_queue_timer_set: bool,
    /// Whether load shedding was logged since the last answer that found the queue empty.
    pub(crate) is_shedding: bool,
    /// Requests that wait for the probes of their candidates. All are in `requests`.
    pub(crate) awaiting_probes: BTreeSet<RequestId>,

    /// The concurrency windows, by [`Locality`].
    pub(crate) windows: [ConcurrencyWindow; 2],
    /// Number of retries that may be sent, increased by arrivals (`queue`) and decreased by retries
    /// (`outcomes`).
    pub(crate) retry_budget: f64,

    /// Running means of latency and expected work, by class.
    pub(crate) class_means: Vec<ClassMeans>,
    pub(crate) class_value_totals: Vec<ClassValueTotals>,
    /// Running mean of the latency of all answers; zero before the first answer.
    pub(crate) mean_latency_ms: f64,
    /// Running median of all latency samples, with failures; the initial latency of a server without samples.
    pub(crate) median_latency_ms: RunningMedian,
    /// Running mean of the latency per request in flight at the server, including the request itself.
    pub(crate) latency_per_load_ms: f64,
    /// Latency relative to the mean latency of the class, by machine type and class.
    pub(crate) relative_latency: BTreeMap<(u8, usize), f64>,
    /// Decaying count of attempts sent. Its time constant is the ramp time of the slow start.
    pub(crate) recent_sends: DecayingCount,
    /// The recent outcomes of attempts at all servers.
    pub(crate) outcomes: OutcomeHistory,
}

impl Balancer {
    /// Creates a balancer. The seed determines all of its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let class_count = settings.classes.len();
        let targets_ms: f64 = settings.classes.iter().map(|class| to_ms(class.latency_target)).sum();
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            time_constant_ms: (TIME_CONSTANT_PER_LATENCY_TARGET * targets_ms / class_count.max(1) as f64)
                .max(1.0),
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
            class_value_totals: vec![ClassValueTotals::default(); class_count],
            mean_latency_ms: 0.0,
            median_latency_ms: RunningMedian::default(),
            latency_per_load_ms: 0.0,
            relative_latency: BTreeMap::new(),
            recent_sends: DecayingCount::new(0.0),
            outcomes: OutcomeHistory::EMPTY,
            settings,
        }
    }

    /// Handles one event and appends the resulting actions to `out`. A clock reading before the latest one
    /// counts as the latest one.
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

    pub(crate) fn set_request_timer(&self, id: RequestId, after_ms: f64, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { timer: TimerId(u64::from(id.0)), after: from_ms(after_ms) });
    }

    /// Logs load shedding, and then not again before an answer finds the queue empty.
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

    /// Returns whether a server is local or remote; see [`Locality`].
    pub(crate) fn locality(&self, server: &Server) -> Locality {
        let is_local = self.settings.cross_zone_price <= 0.0 || server.entry.zone == self.settings.zone;
        if is_local { Locality::Local } else { Locality::Remote }
    }

    /// Returns the locality of a server by its id. A server that is no longer in the table counts as local.
    pub(crate) fn locality_of(&self, id: ServerId) -> Locality {
        self.servers.get(id).map_or(Locality::Local, |server| self.locality(server))
    }

    /// Returns the attempts sent per millisecond, over the time that [`Balancer::recent_sends`] covers.
    pub(crate) fn sends_per_ms(&self) -> f64 {
        let ramp_ms = self.ramp_time_ms();
        let span_ms = ramp_ms * (1.0 - (-(self.now_ms - self.first_event_at_ms) / ramp_ms).exp());
        self.recent_sends.at(self.now_ms, ramp_ms) / span_ms.max(MIN_RATE_SPAN_MS)
    }

    /// Returns the expected latency of a request, by its class and cost; zero before the first answer.
    pub(crate) fn expected_latency_ms(&self, profile: &RequestProfile) -> f64 {
        let class_latency_ms = self.class_means[profile.class].expected_latency_ms(profile.cost_ms);
        class_latency_ms.unwrap_or(self.mean_latency_ms)
    }

    /// Returns the factor that converts a latency of this request into that of a mean request, so that an
    /// expensive request does not make its server look slow.
    pub(crate) fn normalization(&self, profile: &RequestProfile) -> f64 {
        let expected_ms = self.expected_latency_ms(profile);
        if expected_ms > 0.0 { self.mean_latency_ms / expected_ms } else { 1.0 }
    }

    /// Returns the latency of a class on this server's machine type, relative to the class's mean latency.
    pub(crate) fn relative_latency(&self, server: &Server, class: usize) -> f64 {
        self.relative_latency.get(&(server.entry.machine_type, class)).copied().unwrap_or(1.0)
    }

    /// Returns the value of a request, in the unit of [`ValueBasis`].
    pub(crate) fn request_value(&self, profile: &RequestProfile) -> f64 {
        let value = self.settings.classes[profile.class].value;
        match self.settings.value_basis {
            ValueBasis::PerWork => value * self.expected_latency_ms(profile).max(1.0),
            ValueBasis::PerRequest => value,
        }
    }

    /// Returns the value of a request per millisecond of expected work.
    pub(crate) fn value_per_work(&self, profile: &RequestProfile) -> f64 {
        let value = self.settings.classes[profile.class].value;
        match self.settings.value_basis {
            ValueBasis::PerWork => value,
            ValueBasis::PerRequest => value / self.expected_latency_ms(profile).max(1.0),
        }
    }

    /// Returns the share of its value that a request earns if it is answered at this time.
    pub(crate) fn earned_share(&self, profile: &RequestProfile, answered_at_ms: f64) -> f64 {
        let is_in_time = answered_at_ms <= profile.target_at_ms;
        if is_in_time { 1.0 } else { self.settings.classes[profile.class].late_value_share }
    }
}
