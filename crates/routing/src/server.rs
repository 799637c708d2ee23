//! State of one server: its entry in the endpoint list and, for each phase, its latency and requests in
//! flight.

use crate::load_report::LoadReport;
use crate::outlier_ejection::OutlierEjection;
use crate::peak_ewma::PeakEwma;
use crate::phase::Phase;
use crate::prefix_cache::PrefixCacheTracker;
use crate::tuning::Tuning;
use lugwharf_protocol::{ServerEntry, ServerState};
use std::rc::Rc;
use std::time::Duration;

/// The minimum latency, in ms. A latency of zero would make the score zero for any number of requests in
/// flight.
const MIN_LATENCY_MS: f64 = 0.1;

/// Identifies one listing of a server. An incarnation that is removed and listed again, or is listed with
/// another address or service, gets a new key. Keys repeat only after 2^32 listings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerKey(pub(crate) u32);

/// The state of a server in one phase.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PhaseState {
    pub latency: PeakEwma,
    /// The number of this proxy's requests in flight.
    pub in_flight: u32,
}

/// A listed server.
#[derive(Debug)]
pub(crate) struct Server {
    pub entry: ServerEntry,
    /// The id of the entry, which identifies the incarnation.
    pub id: Rc<str>,
    pub zone: Rc<str>,
    pub id_hash: u64,
    pub phases: [PhaseState; Phase::COUNT],
    pub ejection: OutlierEjection,
    pub prefix_cache: PrefixCacheTracker,
    pub load_report: Option<LoadReport>,
    warmup_until: Duration,
    misdirected_until: Duration,
}

impl Server {
    pub fn new(entry: ServerEntry, zone: Rc<str>, now: Duration) -> Server {
        let warmup_until = now + Duration::from_millis(entry.warmup_remaining_ms);
        Server {
            id: Rc::from(entry.id.as_str()),
            zone,
            id_hash: crate::rendezvous::hash(entry.id.as_bytes()),
            phases: Default::default(),
            ejection: OutlierEjection::default(),
            prefix_cache: PrefixCacheTracker::default(),
            load_report: None,
            warmup_until,
            misdirected_until: Duration::ZERO,
            entry,
        }
    }

    /// Replaces the entry by a newer one of the same incarnation. A change of stage clears the latencies,
    /// which no longer apply.
    pub fn update(&mut self, entry: ServerEntry, zone: Rc<str>) {
        if self.entry == entry {
            return;
        }
        self.misdirected_until = Duration::ZERO;
        if self.entry.stage != entry.stage {
            self.phases =
                self.phases.map(|phase| PhaseState { in_flight: phase.in_flight, ..Default::default() });
        }
        self.zone = zone;
        self.entry = entry;
    }

    /// Records that the server answered 421: it is not the listed incarnation, or does not serve the stage or
    /// model.
    pub fn mark_misdirected(&mut self, now: Duration, tuning: &Tuning) {
        self.misdirected_until = now + tuning.misdirected_backoff;
    }

    /// Returns whether an attempt may be sent to the server according to the endpoint list and the server's
    /// own answers. Ejection and the in-flight limit are not considered.
    pub fn accepts(&self, phase: Phase, model: Option<&str>, now: Duration) -> bool {
        self.entry.state == ServerState::Ready
            && now >= self.misdirected_until
            && phase.is_served_by(self.entry.stage)
            && self.has_model(model)
    }

    /// Returns whether the server has the model loaded. A server that lists no models serves all of them.
    fn has_model(&self, model: Option<&str>) -> bool {
        let Some(model) = model else { return true };
        self.entry.models.is_empty() || self.entry.models.iter().any(|entry| entry.name == model)
    }

    /// Records that the server rejected a request: it counts as saturated even if its own load report does
    /// not say so.
    pub fn mark_overloaded(&mut self, now: Duration, tuning: &Tuning) {
        if self.fresh_load_report(now, tuning).is_some_and(|report| report.is_saturated()) {
            return;
        }
        let running = self.phases.iter().map(|phase| phase.in_flight).sum();
        self.load_report =
            Some(LoadReport { running, waiting: 1, slots: self.entry.slots, received_at: now });
    }

    /// Returns the last load report unless it is older than [`Tuning::load_report_ttl`].
    pub fn fresh_load_report(&self, now: Duration, tuning: &Tuning) -> Option<LoadReport> {
        self.load_report.filter(|report| now.saturating_sub(report.received_at) <= tuning.load_report_ttl)
    }

    /// Returns the score in ms per unit of work; lower is better: `latency x (own + others + 1) x penalties`.
    ///
    /// `own` is the number of this proxy's requests in flight in the phase. `others` is a share
    /// ([`Tuning::load_report_weight`]) of the load that the server has reported beyond `own`. The formula
    /// has no server weight, because the endpoint list has none.
    pub fn score(&self, phase: Phase, median_latency: f64, now: Duration, tuning: &Tuning) -> f64 {
        let state = &self.phases[phase.index()];
        let latency = self.latency(phase, median_latency, now, tuning);
        let report = self.fresh_load_report(now, tuning);
        let others = report.map_or(0.0, |report| {
            let all = report.running.saturating_add(report.waiting);
            f64::from(all.saturating_sub(state.in_flight)) * tuning.load_report_weight
        });
        let is_saturated = report.is_some_and(|report| report.is_saturated());
        let saturation = if is_saturated { tuning.saturation_penalty } else { 1.0 };
        let warmup = if now < self.warmup_until { tuning.warmup_penalty } else { 1.0 };
        let own = if tuning.counts_in_flight { f64::from(state.in_flight) } else { 0.0 };
        latency * (own + others + 1.0) * saturation * warmup
    }

    /// Returns the latency of the phase at `now`, in ms per unit of work.
    pub fn latency(&self, phase: Phase, median_latency: f64, now: Duration, tuning: &Tuning) -> f64 {
        self.phases[phase.index()].latency.decayed(now, tuning.ewma_decay, median_latency).max(MIN_LATENCY_MS)
    }

    /// Returns the maximum number of requests that this proxy may have in flight at the server in one phase.
    pub fn in_flight_limit(&self, proxies: u32, tuning: &Tuning) -> u32 {
        let share = f64::from(self.entry.slots) * tuning.in_flight_limit_factor / f64::from(proxies.max(1));
        (share.ceil() as u32).max(tuning.min_in_flight_limit)
    }
}
