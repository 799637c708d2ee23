//! Figures as text, in the OpenMetrics format.
//!
//! A process counts in plain cells; the text is made from them when it is asked for, so that nothing is held in between.

use lugwharf_invariants::counts;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The type of the text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct InvariantLabel {
    invariant: &'static str,
}

/// The text of one process under construction.
pub struct Exposition {
    registry: Registry,
}

impl Exposition {
    /// Begins a text; all names begin with `prefix`, as in `lugwharf_proxy`. It tells of violated invariants.
    pub fn new(prefix: &'static str) -> Exposition {
        let mut registry = Registry::with_prefix(prefix);
        InvariantCounters::default().register(&mut registry);
        Exposition { registry }
    }

    /// Adds a figure that goes up and down.
    pub fn gauge(&mut self, name: &'static str, help: &'static str, value: u64) {
        let gauge: Gauge = Gauge::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        self.registry.register(name, help, gauge);
    }

    /// Adds a count; `_total` is appended to its name.
    pub fn counter(&mut self, name: &'static str, help: &'static str, value: u64) {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        self.registry.register(name, help, counter);
    }

    /// Adds counts that are told apart by the label `outcome`.
    pub fn outcomes(
        &mut self, name: &'static str, help: &'static str, counts: impl Iterator<Item = (&'static str, u64)>,
    ) {
        let family: Family<OutcomeLabel, Counter> = Family::default();
        for (outcome, count) in counts {
            family.get_or_create(&OutcomeLabel { outcome }).inc_by(count);
        }
        self.registry.register(name, help, family);
    }

    /// The whole text.
    pub fn finish(self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// The violations of each invariant as a metric of a registry that lasts.
#[derive(Clone, Debug, Default)]
pub struct InvariantCounters {
    family: Family<InvariantLabel, Counter>,
}

impl InvariantCounters {
    /// Adds the metric to a registry, as it stands now.
    pub fn register(&self, registry: &mut Registry) {
        self.refresh();
        let help = "Violations of invariants by name";
        registry.register("invariant_violations", help, self.family.clone());
    }

    /// Brings the metric up to date.
    pub fn refresh(&self) {
        self.family.clear();
        for (invariant, count) in counts() {
            self.family.get_or_create(&InvariantLabel { invariant: invariant.name() }).inc_by(count);
        }
    }
}
