//! The state of a server in this sidecar: its list entry, latency, load and health.

use super::outcome_history::{ClassHistory, OutcomeHistory};
use super::statistics::DecayingCount;
use crate::api::{Availability, DedupScope, Idempotency, RequestId, ServerEntry};

/// Time constant of [`Server::recent_sends`]. A warming server fails if it is sent too many requests for
/// about this time.
pub(crate) const RECENT_SENDS_MS: f64 = 1e3;
/// Weight of one answer in [`Server::baseline_ms`]. Without samples, the baseline also decays slower than the
/// peak EWMA by this factor.
pub(crate) const BASELINE_GAIN: f64 = 1.0 / 8.0;

/// The location of a server relative to this sidecar. If crossing zones has no price, all servers are local.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Locality {
    Local,
    Remote,
}

pub(crate) const LOCALITIES: [Locality; 2] = [Locality::Local, Locality::Remote];

/// An attempt in flight at a server.
pub(crate) struct InFlightAttempt {
    pub(crate) id: RequestId,
    pub(crate) attempt_number: usize,
    pub(crate) sent_at_ms: f64,
    /// The factor that converts the latency of the attempt into that of a mean request; see
    /// [`Attempt::normalization`](super::request::Attempt::normalization).
    pub(crate) normalization: f64,
    /// The locality whose concurrency window counts the attempt.
    pub(crate) locality: Locality,
}

/// Whether a server is in use. An ejected server is sent no requests before `until_ms`, and then single trial
/// requests.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Health {
    Healthy,
    Ejected { until_ms: f64, doublings: u32 },
}

/// The requests in flight at a server, from all sidecars, as reported to a probe.
#[derive(Clone, Copy)]
pub(crate) struct LoadReport {
    pub(crate) in_flight: f64,
    pub(crate) received_at_ms: f64,
}

/// The state of a server since its last start. A restart resets the state; see [`Server::restart`].
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    /// Peak EWMA of the latency of a mean request; `None` before the first sample.
    pub(crate) ewma_ms: Option<f64>,
    /// When the last latency sample was recorded.
    pub(crate) observed_at_ms: f64,
    /// Running mean of the latency of answers, towards which the peak EWMA decays; 0 before the first answer.
    pub(crate) baseline_ms: f64,
    /// The attempts in flight, in the order of sending.
    pub(crate) in_flight: Vec<InFlightAttempt>,
    pub(crate) load_report: Option<LoadReport>,
    /// Decaying count of this sidecar's sends, with the time constant [`RECENT_SENDS_MS`].
    pub(crate) recent_sends: DecayingCount,
    pub(crate) consecutive_failures: u32,
    pub(crate) health: Health,
    /// The recent outcomes of all classes.
    pub(crate) outcomes: OutcomeHistory,
    /// The recent outcomes by class, up to the highest class of which an attempt has ended here.
    class_histories: Vec<ClassHistory>,
}

impl Server {
    pub(crate) fn new(entry: ServerEntry, now_ms: f64) -> Self {
        Server {
            entry,
            ewma_ms: None,
            observed_at_ms: now_ms,
            baseline_ms: 0.0,
            in_flight: Vec::new(),
            load_report: None,
            recent_sends: DecayingCount::new(now_ms),
            consecutive_failures: 0,
            health: Health::Healthy,
            outcomes: OutcomeHistory::EMPTY,
            class_histories: Vec::new(),
        }
    }

    /// Applies the entry of a restarted server. The statistics of the old process do not apply to the new one
    /// and are reset, but the attempts in flight are kept, because their outcomes are still reported.
    pub(crate) fn restart(&mut self, entry: ServerEntry, now_ms: f64) {
        let in_flight = std::mem::take(&mut self.in_flight);
        *self = Server { in_flight, ..Server::new(entry, now_ms) };
    }

    pub(crate) fn class_history(&self, class: usize) -> ClassHistory {
        self.class_histories.get(class).copied().unwrap_or(ClassHistory::EMPTY)
    }

    pub(crate) fn class_history_mut(&mut self, class: usize) -> &mut ClassHistory {
        self.class_histories.resize(self.class_histories.len().max(class + 1), ClassHistory::EMPTY);
        &mut self.class_histories[class]
    }

    /// Returns whether the server is ejected and may be sent a trial request now. There is one trial at a
    /// time.
    pub(crate) fn is_due_for_trial(&self, now_ms: f64) -> bool {
        matches!(self.health, Health::Ejected { until_ms, .. } if now_ms >= until_ms && self.in_flight.is_empty())
    }

    pub(crate) fn has_availability(&self, availability: Availability) -> bool {
        self.entry.availability == availability
    }

    /// Returns the group of servers that, together with this one, recognise and drop repeats of a request
    /// with this idempotency; `None` if all servers do, or none does.
    pub(crate) fn dedup_group(&self, idempotency: Idempotency) -> Option<u16> {
        match idempotency {
            Idempotency::Keyed { scope: DedupScope::Zone, .. } => Some(self.entry.zone),
            Idempotency::Keyed { scope: DedupScope::Cell, .. } => Some(self.entry.cell),
            _ => None,
        }
    }

    /// Adds a latency sample to the peak EWMA: a slower sample replaces the EWMA, and a faster one lowers it
    /// with a weight that grows with the time since the last sample (the peak EWMA of Finagle and linkerd).
    pub(crate) fn record_latency(&mut self, now_ms: f64, time_constant_ms: f64, sample_ms: f64) {
        let decay_factor = (-(now_ms - self.observed_at_ms) / time_constant_ms).exp();
        self.ewma_ms = Some(match self.ewma_ms {
            Some(ewma) if sample_ms < ewma => ewma * decay_factor + sample_ms * (1.0 - decay_factor),
            _ => sample_ms,
        });
        self.observed_at_ms = now_ms;
    }

    /// Returns the requests in flight according to the last report, decayed to now. A report decays like a
    /// latency sample: otherwise a report from a moment of overload would keep requests away until the server
    /// is probed again.
    pub(crate) fn load_at(&self, now_ms: f64, time_constant_ms: f64) -> Option<f64> {
        self.load_report
            .map(|report| report.in_flight * (-(now_ms - report.received_at_ms) / time_constant_ms).exp())
    }

    /// Returns the latency of a mean request as of now. Without new samples, the peak EWMA decays towards the
    /// baseline of the server, so that a sidecar with little traffic retains which servers are slow. The
    /// baseline decays, more slowly, towards the median of all servers, which is also the latency of a server
    /// without samples. If the normalized age of the oldest attempt in flight is greater, that age is
    /// returned.
    pub(crate) fn latency_ms_at(&self, now_ms: f64, time_constant_ms: f64, median_ms: f64) -> f64 {
        let age = (now_ms - self.observed_at_ms) / time_constant_ms;
        let baseline = if self.baseline_ms > 0.0 { self.baseline_ms } else { median_ms };
        let baseline = median_ms + (baseline - median_ms) * (-age * BASELINE_GAIN).exp();
        let ewma = self.ewma_ms.map_or(median_ms, |ewma| baseline + (ewma - baseline) * (-age).exp());
        let oldest = self.in_flight.first();
        oldest.map_or(ewma, |oldest| ewma.max((now_ms - oldest.sent_at_ms) * oldest.normalization))
    }
}
