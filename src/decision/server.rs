//! A server as this sidecar sees it: its list entry, its latency, its load and its health.

use super::outcome_history::{ClassHistory, OutcomeHistory};
use super::statistics::DecayingCount;
use crate::api::{Availability, DedupScope, Idempotency, RequestId, ServerEntry};

/// Time constant of [`Server::recent_sends`]: a server that is sent too much for so long while it warms up fails.
pub(crate) const RECENT_SENDS_MS: f64 = 1e3;
/// Weight of one answer in [`Server::baseline_ms`]. The baseline fades slower than the peak EWMA by this factor.
pub(crate) const BASELINE_GAIN: f64 = 1.0 / 8.0;

/// Where a server is relative to this sidecar. Where crossing zones has no price, all servers are local.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Locality {
    Local,
    Remote,
}

pub(crate) const LOCALITIES: [Locality; 2] = [Locality::Local, Locality::Remote];

/// An attempt that is in flight at a server.
pub(crate) struct InFlightAttempt {
    pub(crate) id: RequestId,
    pub(crate) attempt: usize,
    pub(crate) sent_at_ms: f64,
    /// Turns its latency into that of a mean request; see [`Attempt::normalization`](super::request::Attempt).
    pub(crate) normalization: f64,
    /// The concurrency window that it counts in.
    pub(crate) locality: Locality,
}

/// Whether a server is in use. An ejected one gets nothing before `until_ms`, and then single trials.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Health {
    Healthy,
    Ejected { until_ms: f64, doublings: u32 },
}

/// The requests in flight at a server, from all sidecars, as it reported them to a probe.
#[derive(Clone, Copy)]
pub(crate) struct LoadReport {
    pub(crate) in_flight: f64,
    pub(crate) received_at_ms: f64,
}

/// One start of a server. A restarted server is a new one.
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    /// Peak-sensitive EWMA of the latency of a mean request; `None` before the first sample.
    pub(crate) ewma_ms: Option<f64>,
    /// When the last sample came.
    pub(crate) observed_at_ms: f64,
    /// Running mean of its answers, which the peak EWMA fades towards; 0 before the first answer.
    pub(crate) baseline_ms: f64,
    /// In the order of sending.
    pub(crate) in_flight: Vec<InFlightAttempt>,
    pub(crate) load_report: Option<LoadReport>,
    /// Own sends, with time constant [`RECENT_SENDS_MS`].
    pub(crate) recent_sends: DecayingCount,
    pub(crate) consecutive_failures: u32,
    pub(crate) health: Health,
    /// Outcomes of all classes.
    pub(crate) outcomes: OutcomeHistory,
    /// Outcomes by class, as far as any attempt of the class ended here.
    by_class: Vec<ClassHistory>,
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
            by_class: Vec::new(),
        }
    }

    /// Takes over the entry of a new start. What was learnt of the old process says nothing about it, but the attempts
    /// that are in flight still end.
    pub(crate) fn restart(&mut self, entry: ServerEntry, now_ms: f64) {
        let in_flight = std::mem::take(&mut self.in_flight);
        *self = Server { in_flight, ..Server::new(entry, now_ms) };
    }

    pub(crate) fn class_history(&self, class: usize) -> ClassHistory {
        self.by_class.get(class).copied().unwrap_or(ClassHistory::EMPTY)
    }

    pub(crate) fn class_history_mut(&mut self, class: usize) -> &mut ClassHistory {
        self.by_class.resize(self.by_class.len().max(class + 1), ClassHistory::EMPTY);
        &mut self.by_class[class]
    }

    /// Returns whether it is ejected and may get a trial now: one at a time.
    pub(crate) fn is_due_for_trial(&self, now_ms: f64) -> bool {
        matches!(self.health, Health::Ejected { until_ms, .. } if now_ms >= until_ms && self.in_flight.is_empty())
    }

    pub(crate) fn has_availability(&self, availability: Availability) -> bool {
        self.entry.availability == availability
    }

    /// The group of servers that drop repeats of a request of this kind together with this one; `None` where that is all
    /// servers, or where none does.
    pub(crate) fn dedup_group(&self, idempotency: Idempotency) -> Option<u16> {
        match idempotency {
            Idempotency::Keyed { scope: DedupScope::Zone, .. } => Some(self.entry.zone),
            Idempotency::Keyed { scope: DedupScope::Cell, .. } => Some(self.entry.cell),
            _ => None,
        }
    }

    /// Adds a latency sample to the peak EWMA: a slower sample replaces it at once, a faster one pulls it down by timed
    /// decay (the peak-EWMA of Finagle and linkerd).
    pub(crate) fn record_latency(&mut self, now_ms: f64, time_constant_ms: f64, sample_ms: f64) {
        let keep = (-(now_ms - self.observed_at_ms) / time_constant_ms).exp();
        self.ewma_ms = Some(match self.ewma_ms {
            Some(ewma) if sample_ms < ewma => ewma * keep + sample_ms * (1.0 - keep),
            _ => sample_ms,
        });
        self.observed_at_ms = now_ms;
    }

    /// The requests in flight by its last report, as of now. A report fades like a latency sample: otherwise one from a
    /// moment of overload would keep requests away for as long as nobody probes the server again.
    pub(crate) fn load_at(&self, now_ms: f64, time_constant_ms: f64) -> Option<f64> {
        self.load_report
            .map(|report| report.in_flight * (-(now_ms - report.received_at_ms) / time_constant_ms).exp())
    }

    /// The latency of a mean request as of now. Without new samples the peak EWMA fades towards the server's baseline, so
    /// that a quiet sidecar remembers which servers are slow; the baseline fades, slower, towards the median of all
    /// servers, which also stands for a server without samples. An attempt that has been in flight for longer than the
    /// result counts by its age.
    pub(crate) fn latency_ms_at(&self, now_ms: f64, time_constant_ms: f64, median_ms: f64) -> f64 {
        let age = (now_ms - self.observed_at_ms) / time_constant_ms;
        let baseline = if self.baseline_ms > 0.0 { self.baseline_ms } else { median_ms };
        let baseline = median_ms + (baseline - median_ms) * (-age * BASELINE_GAIN).exp();
        let ewma = self.ewma_ms.map_or(median_ms, |ewma| baseline + (ewma - baseline) * (-age).exp());
        let oldest = self.in_flight.first();
        oldest.map_or(ewma, |oldest| ewma.max((now_ms - oldest.sent_at_ms) * oldest.normalization))
    }
}
