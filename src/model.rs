//! The data that decisions work on: servers, attempts, requests and running means.

use crate::api::*;
use std::time::Duration;

/// Milliseconds over which sends to a cold server are counted: pushed too hard for so long, it falls over.
pub const RECENT_SENDS_TIME_CONSTANT_MS: f64 = 1e3;
/// Attempts that a record speaks of at most, and those without a miss that are added to it.
const MAX_HISTORY_ATTEMPTS: f64 = 16.0;
const PRIOR_SUCCESSES: f64 = 4.0;

pub fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

pub fn duration(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::ZERO)
}

pub fn update_ewma(mean: &mut f64, sample: f64, gain: f64) {
    *mean = if *mean > 0.0 { *mean + (sample - *mean) * gain } else { sample };
}

/// Where a server is, as seen from this sidecar. Without a price on crossing all are at home.
#[derive(Clone, Copy, PartialEq)]
pub enum Locality {
    Local,
    Remote,
}

pub const LOCALITIES: [Locality; 2] = [Locality::Local, Locality::Remote];

/// How many attempts may be in flight on one side.
#[derive(Clone, Copy)]
pub struct ConcurrencyWindow {
    pub in_flight: usize,
    /// Attempts that may be in flight for each warm server in use.
    pub per_server: f64,
    /// When a crowd was last noticed (0 for never), and how far it may narrow the window.
    pub decreased_at_ms: f64,
    pub episode_floor: f64,
}

impl ConcurrencyWindow {
    pub const NEW: ConcurrencyWindow =
        ConcurrencyWindow { in_flight: 0, per_server: 1.0, decreased_at_ms: 0.0, episode_floor: 0.0 };
}

/// How the attempts of one class have lately ended at a server.
#[derive(Clone, Copy)]
pub struct OutcomeHistory {
    attempts: f64,
    misses: f64,
    at: f64,
    /// The class shuns the server while more than this share misses.
    pub ejected_above: f64,
}

impl OutcomeHistory {
    pub const NEW: OutcomeHistory =
        OutcomeHistory { attempts: 0.0, misses: 0.0, at: 0.0, ejected_above: f64::INFINITY };

    /// Notes the end of one; the earlier ones have faded, and count for so many at most.
    pub fn record(&mut self, missed: bool, now: f64, span: f64) {
        let keep = (-(now - self.at) / span)
            .exp()
            .min(MAX_HISTORY_ATTEMPTS / self.attempts.max(MAX_HISTORY_ATTEMPTS));
        self.attempts = self.attempts * keep + 1.0;
        self.misses = self.misses * keep + f64::from(u8::from(missed));
        self.at = now;
    }

    /// The share that has missed. Few, or old ones, prove little.
    pub fn miss_rate(&self, now: f64, span: f64) -> f64 {
        let keep = (-(now - self.at) / span).exp();
        self.misses * keep / (self.attempts * keep + PRIOR_SUCCESSES)
    }
}

/// An attempt in flight, as its server sees it.
pub struct InFlightAttempt {
    pub id: RequestId,
    pub attempt: usize,
    pub sent_at_ms: f64,
    pub normalization: f64,
    pub locality: Locality,
}

/// An ejected server gets nothing before `until`, then one trial at a time.
#[derive(Clone, Copy, PartialEq)]
pub enum Health {
    Healthy,
    Ejected { until: f64, doublings: u32 },
}

pub struct Server {
    pub entry: ServerEntry,
    /// Peak-sensitive average in ms of a mean request; `None` before the first sample.
    pub ewma_ms: Option<f64>,
    pub observed_at_ms: f64,
    /// Running mean of its answers; 0 before the first.
    pub baseline_ms: f64,
    /// In order of sending.
    pub in_flight: Vec<InFlightAttempt>,
    /// Requests it held by its last report, and when that came.
    pub reported_load: Option<(f64, f64)>,
    /// Faded count of own sends, as of the last one.
    pub recent_sends: (f64, f64),
    pub consecutive_failures: u32,
    pub health: Health,
    /// Of all classes, and by class as far as any was sent.
    pub outcomes: OutcomeHistory,
    pub outcomes_by_class: Vec<OutcomeHistory>,
}

impl Server {
    pub fn new(entry: ServerEntry, now_ms: f64) -> Self {
        Server {
            entry,
            ewma_ms: None,
            observed_at_ms: now_ms,
            baseline_ms: 0.0,
            in_flight: Vec::new(),
            reported_load: None,
            recent_sends: (0.0, now_ms),
            consecutive_failures: 0,
            health: Health::Healthy,
            outcomes: OutcomeHistory::NEW,
            outcomes_by_class: Vec::new(),
        }
    }

    pub fn recent_sends_at(&self, now: f64) -> f64 {
        self.recent_sends.0 * (-(now - self.recent_sends.1) / RECENT_SENDS_TIME_CONSTANT_MS).exp()
    }

    pub fn history(&self, class: usize) -> OutcomeHistory {
        self.outcomes_by_class.get(class).copied().unwrap_or(OutcomeHistory::NEW)
    }

    pub fn history_mut(&mut self, class: usize) -> &mut OutcomeHistory {
        self.outcomes_by_class.resize(self.outcomes_by_class.len().max(class + 1), OutcomeHistory::NEW);
        &mut self.outcomes_by_class[class]
    }

    /// Ejected, and due for a trial: one at a time.
    pub fn is_due_for_trial(&self, now: f64) -> bool {
        matches!(self.health, Health::Ejected { until, .. } if now >= until && self.in_flight.is_empty())
    }

    pub fn has_availability(&self, availability: Availability) -> bool {
        self.entry.availability == availability
    }

    /// What marks the servers that drop repeats of a class's requests together with this one.
    pub fn dedup_group(&self, repeat: Idempotency) -> Option<u16> {
        match repeat {
            Idempotency::Keyed { scope: DedupScope::Zone, .. } => Some(self.entry.zone),
            Idempotency::Keyed { scope: DedupScope::Cell, .. } => Some(self.entry.cell),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum AttemptStatus {
    InFlight,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy)]
pub struct Attempt {
    pub server: ServerId,
    /// Of its server, when it was sent.
    pub dedup_group: Option<u16>,
    pub sent_at_ms: f64,
    pub timeout_ms: f64,
    /// Turns its time into that of a mean request.
    pub normalization: f64,
    /// Requests that its server held by the last report.
    pub reported_load: Option<f64>,
    pub status: AttemptStatus,
    /// Noted as late already.
    pub is_recorded_late: bool,
}

#[derive(Clone, Copy, PartialEq)]
pub enum RequestPhase {
    Queued,
    Probing,
    InFlight,
    Streaming,
    Ended,
}

/// What a probe has shown of a candidate.
#[derive(Clone, Copy, PartialEq)]
pub enum ProbeState {
    Pending,
    Passed,
    Failed,
}

/// What is asked for.
#[derive(Clone, Copy)]
pub struct RequestProfile {
    pub class: usize,
    /// `None` if unknown or of no use.
    pub cost_ms: Option<f64>,
    /// An answer until then earns the whole worth.
    pub target_at_ms: f64,
    /// What an answer may take, had the client not asked before.
    pub latency_target_ms: f64,
}

pub struct Request {
    pub profile: RequestProfile,
    /// The client waits until then.
    pub deadline_ms: f64,
    pub wait_until_ms: f64,
    /// Where home is full, it may cross from then on.
    pub may_cross_at_ms: f64,
    pub attempts: Vec<Attempt>,
    pub phase: RequestPhase,
    /// Servers probed for it, and in how many rounds.
    pub candidates: Vec<(ServerId, ProbeState)>,
    pub probe_rounds: u32,
    /// Drawn once, from 0 to 1: how cold a server it may go to.
    pub draw: f64,
}

impl Request {
    pub fn new(profile: RequestProfile, deadline_ms: f64, wait_until_ms: f64, draw: f64) -> Self {
        Request {
            profile,
            deadline_ms,
            wait_until_ms,
            may_cross_at_ms: wait_until_ms,
            attempts: Vec::new(),
            phase: RequestPhase::Queued,
            candidates: Vec::new(),
            probe_rounds: 0,
            draw,
        }
    }

    pub fn in_flight_count(&self) -> usize {
        self.attempts.iter().filter(|a| a.status == AttemptStatus::InFlight).count()
    }

    /// The first attempt that may have had its effect, those still out included.
    pub fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.status != AttemptStatus::NeverRan)
    }

    /// It was sent there, or is being considered for it.
    pub fn has_considered(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|a| a.server == server) || self.candidates.iter().any(|c| c.0 == server)
    }
}

/// Decayed worth asked for and served, of a class.
#[derive(Clone, Copy, Default)]
pub struct ClassService {
    pub demanded: f64,
    pub served: f64,
}

impl ClassService {
    pub fn decay(&mut self, gain: f64) {
        (self.demanded, self.served) = (self.demanded * (1.0 - gain), self.served * (1.0 - gain));
    }

    fn served_share(&self) -> f64 {
        if self.demanded > 0.0 { self.served / self.demanded } else { 1.0 }
    }

    /// What a unit of worth served to this one adds to the least share served, against what it adds to
    /// the share of the whole: nothing, unless this one is the least.
    pub fn worst_class_weight(all: &[ClassService], index: usize) -> f64 {
        let Some(one) = all.get(index).filter(|one| one.demanded > 0.0) else { return 0.0 };
        let least = all.iter().all(|other| other.served_share() >= one.served_share());
        if least { all.iter().map(|s| s.demanded).sum::<f64>() / one.demanded } else { 0.0 }
    }
}

/// Running means of a class.
#[derive(Clone, Copy, Default)]
pub struct ClassMeans {
    pub latency_ms: f64,
    pub cost_ms: f64,
}

impl ClassMeans {
    /// The mean latency for this cost, if any was seen.
    pub fn expected_latency(&self, cost: Option<f64>) -> Option<f64> {
        let of_mean = cost.filter(|_| self.cost_ms > 0.0).map_or(1.0, |cost| cost / self.cost_ms);
        (self.latency_ms > 0.0).then_some(self.latency_ms * of_mean)
    }

    pub fn observe(&mut self, took: f64, cost: Option<f64>, gain: f64) {
        let of_cost = cost.filter(|_| self.cost_ms > 0.0).map_or(1.0, |cost| self.cost_ms / cost);
        update_ewma(&mut self.latency_ms, took * of_cost, gain);
    }
}
