//! Metrics in the OpenMetrics text format.
//!
//! A process keeps its counts in plain variables. The text is built from them on request, and no state of the
//! metrics library is retained between requests.

use lugwharf_invariants::counts;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The media type of the text, for the `Content-Type` header.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct InvariantLabel {
    invariant: &'static str,
}

/// A builder for the metrics text of a process.
pub struct Exposition {
    registry: Registry,
}

impl Exposition {
    /// Creates a builder for metrics whose names begin with `prefix`, for example `lugwharf_proxy`. The
    /// counts of violated invariants are included from the start.
    pub fn new(prefix: &'static str) -> Exposition {
        let mut registry = Registry::with_prefix(prefix);
        InvariantCounters::default().register(&mut registry);
        Exposition { registry }
    }

    /// Adds a gauge: a value that can increase and decrease. Values above `i64::MAX` are clamped to it.
    pub fn gauge(&mut self, name: &'static str, help: &'static str, value: u64) {
        let gauge: Gauge = Gauge::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        self.registry.register(name, help, gauge);
    }

    /// Adds a counter. The format appends `_total` to its name.
    pub fn counter(&mut self, name: &'static str, help: &'static str, value: u64) {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        self.registry.register(name, help, counter);
    }

    /// Adds a family of counters: one for each value of the label `outcome`.
    pub fn counters_by_outcome(
        &mut self, name: &'static str, help: &'static str, counts: impl Iterator<Item = (&'static str, u64)>,
    ) {
        let family: Family<OutcomeLabel, Counter> = Family::default();
        for (outcome, count) in counts {
            family.get_or_create(&OutcomeLabel { outcome }).inc_by(count);
        }
        self.registry.register(name, help, family);
    }

    /// The complete text.
    pub fn finish(self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// The counts of violated invariants, as a metric for a registry that outlives one request.
#[derive(Clone, Debug, Default)]
pub struct InvariantCounters {
    family: Family<InvariantLabel, Counter>,
}

impl InvariantCounters {
    /// Adds the metric to a registry, with the current counts.
    pub fn register(&self, registry: &mut Registry) {
        self.refresh();
        let help = "Violations of invariants by name";
        registry.register("invariant_violations", help, self.family.clone());
    }

    /// Updates the metric to the current counts of the process.
    pub fn refresh(&self) {
        self.family.clear();
        for (invariant, count) in counts() {
            self.family.get_or_create(&InvariantLabel { invariant: invariant.name() }).inc_by(count);
        }
    }
}
