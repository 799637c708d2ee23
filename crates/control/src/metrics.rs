//! The metrics of a control process, in the OpenMetrics text format.
//!
//! The controller counts events, except rejected requests, which are counted where they are answered. Gauges
//! are set from the status at each scrape, so that they cost nothing in between. `docs/OPERATING.md` lists
//! the names, which must not change. A field here has the name of its metric unless that would be misleading.
//! "List reader" in metric names is an older name of the list watcher.

use crate::command::Command;
use crate::lease::ROLE_NAME;
use crate::operator_error::ErrorKind;
use crate::status::Status;
use lugwharf_protocol::{ServerEntry, ServerState, Stage};
use lugwharf_stages::OrderOutcome;
pub use lugwharf_telemetry::CONTENT_TYPE;
use lugwharf_telemetry::{InvariantCounters, MetricsEndpoint};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::sync::mpsc;

/// The prefix of all metric names.
const PREFIX: &str = "lugwharf_control";

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AnswerLabel {
    answer: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServerLabels {
    service: String,
    stage: &'static str,
    state: &'static str,
}

/// Counters of rejected operator requests by kind of error (`refusals_total`). Counting takes no lock.
#[derive(Clone)]
pub struct RejectionCounters {
    family: Family<KindLabel, Counter>,
    by_kind: [Counter; ErrorKind::ALL.len()],
}

impl Default for RejectionCounters {
    fn default() -> RejectionCounters {
        let family: Family<KindLabel, Counter> = Family::default();
        let by_kind = ErrorKind::ALL.map(|kind| {
            let label = KindLabel { kind: kind.status_and_name().1 };
            family.get_or_create(&label).clone()
        });
        RejectionCounters { family, by_kind }
    }
}

impl RejectionCounters {
    /// Counts a rejected request.
    pub fn count(&self, kind: ErrorKind) {
        let position = ErrorKind::ALL.iter().position(|known| *known == kind);
        if let Some(counter) = position.and_then(|position| self.by_kind.get(position)) {
            counter.inc();
        }
    }
}

/// All metrics of a control process.
pub struct Metrics {
    registry: Registry,
    /// Views that this process has learned of.
    pub view_changes: Counter,
    /// Committed configurations that this process has learned of.
    pub commits: Counter,
    /// Complete reads of the platform's server list.
    pub list_reads: Counter,
    /// Failed reads of the platform's server list.
    pub list_failures: Counter,
    /// Times that this process stepped down as list watcher, either because its reads of the platform's
    /// server list kept failing while a peer might reach the platform, or because a server had seen a higher
    /// fencing token. A resignation at shutdown is not counted, although the help text could be read that
    /// way.
    pub stand_downs: Counter,
    /// Times that orders to a server were suspended because it had rejected the fencing tokens of two leases.
    pub suspensions: Counter,
    orders: Family<AnswerLabel, Counter>,
    pulls: Family<AnswerLabel, Counter>,
    servers: Family<ServerLabels, Gauge>,
    gauges: Gauges,
    invariants: InvariantCounters,
}

#[derive(Default)]
struct Gauges {
    uptime_seconds: Gauge,
    view: Gauge,
    members: Gauge,
    chain_length: Gauge,
    has_quorum: Gauge,
    serving: Gauge,
    disk_healthy: Gauge,
    config_version: Gauge,
    list_reader: Gauge,
    live_proxies: Gauge,
    agents: Gauge,
    agents_behind: Gauge,
}

impl Gauges {
    fn register(&self, registry: &mut Registry) {
        let gauges = [
            ("uptime_seconds", "Time since the start of the process", &self.uptime_seconds),
            ("view", "Number of the newest view known here", &self.view),
            ("members", "Members of that view", &self.members),
            ("chain_length", "Replicas in the chain of that view", &self.chain_length),
            ("in_touch", "Whether a majority of the members is in touch", &self.has_quorum),
            ("serving", "Whether the view serves", &self.serving),
            ("disk_well", "Whether the disk takes writes", &self.disk_healthy),
            ("config_version", "Newest committed configuration known here", &self.config_version),
            ("list_reader", "Whether this process reads the platform's list", &self.list_reader),
            ("live_proxies", "Live proxies of the whole fleet", &self.live_proxies),
            ("agents", "Agents that pull from this process", &self.agents),
            ("agents_behind", "Those of them without the newest configuration", &self.agents_behind),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    fn set(&self, status: &Status) {
        let behind = status.agents.iter().filter(|agent| agent.versions_behind > 0).count();
        self.uptime_seconds.set(as_gauge(status.uptime_ms / 1_000));
        self.view.set(as_gauge(status.view));
        self.members.set(as_gauge(status.members.len()));
        self.chain_length.set(as_gauge(status.chain.len()));
        self.has_quorum.set(status.has_quorum.into());
        self.serving.set(status.serving.into());
        self.disk_healthy.set(status.disk_healthy.into());
        self.config_version.set(as_gauge(status.config_version));
        let is_list_watcher = status.roles.iter().any(|role| role.role == ROLE_NAME && role.held_here);
        self.list_reader.set(is_list_watcher.into());
        self.live_proxies.set(status.live_proxies.into());
        self.agents.set(as_gauge(status.agents.len()));
        self.agents_behind.set(as_gauge(behind));
    }
}

impl Metrics {
    /// Creates all metrics with the value 0. The counters of rejected requests are shared with the operator
    /// API.
    pub fn new(rejections: &RejectionCounters) -> Metrics {
        let mut registry = Registry::with_prefix(PREFIX);
        let metrics = Metrics {
            registry: Registry::default(),
            view_changes: Counter::default(),
            commits: Counter::default(),
            list_reads: Counter::default(),
            list_failures: Counter::default(),
            stand_downs: Counter::default(),
            suspensions: Counter::default(),
            orders: Family::default(),
            pulls: Family::default(),
            servers: Family::default(),
            gauges: Gauges::default(),
            invariants: InvariantCounters::default(),
        };
        let counters = [
            ("view_changes", "Views that this process has learned of", &metrics.view_changes),
            ("commits", "Committed configurations that this process has learned of", &metrics.commits),
            ("list_reads", "Readings of the platform's list", &metrics.list_reads),
            ("list_failures", "Readings of the platform's list that failed", &metrics.list_failures),
            ("stand_downs", "Times that the list reader's role was handed on", &metrics.stand_downs),
            (
                "order_suspensions",
                "Servers that get no more orders, as they refused the fences of two holds",
                &metrics.suspensions,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register("refusals", "Calls of the operator by kind of error", rejections.family.clone());
        registry.register("orders", "Orders to servers by answer", metrics.orders.clone());
        registry.register("pulls", "Pulls of agents by answer", metrics.pulls.clone());
        registry.register("servers", "Servers on the list", metrics.servers.clone());
        metrics.gauges.register(&mut registry);
        metrics.invariants.register(&mut registry);
        Metrics { registry, ..metrics }
    }

    /// Counts a completed order.
    pub fn record_order(&self, outcome: OrderOutcome) {
        self.orders.get_or_create(&AnswerLabel { answer: order_outcome_name(outcome) }).inc();
    }

    /// Counts pulls whose reply contained an update, and pulls whose reply contained none.
    pub fn record_pulls(&self, updated: u64, unchanged: u64) {
        for (answer, count) in [("update", updated), ("unchanged", unchanged)] {
            if count > 0 {
                self.pulls.get_or_create(&AnswerLabel { answer }).inc_by(count);
            }
        }
    }

    /// Sets the gauges from this status and these servers, then encodes all metrics.
    ///
    /// Only the controller calls this. Concurrent calls are not supported: the gauges of servers are cleared
    /// and counted again, so a second caller could read or clear partial counts.
    pub fn update_and_encode<'a>(
        &self, status: &Status, servers: impl Iterator<Item = &'a ServerEntry>,
    ) -> String {
        self.gauges.set(status);
        self.invariants.refresh();
        // Services and stages may disappear, and their gauges would otherwise remain.
        self.servers.clear();
        for entry in servers {
            self.servers.get_or_create(&ServerLabels::of(entry)).inc();
        }
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Returns the name of an order's outcome in metrics and log lines.
pub fn order_outcome_name(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "taken",
        OrderOutcome::Unknown => "unclear",
        OrderOutcome::Rejected => "refused",
        OrderOutcome::StaleToken => "stale_token",
    }
}

impl ServerLabels {
    fn of(entry: &ServerEntry) -> ServerLabels {
        let stage = match entry.stage {
            Some(Stage::Prefill) => "prefill",
            Some(Stage::Decode) => "decode",
            None => "none",
        };
        let state = match entry.state {
            ServerState::Ready => "ready",
            ServerState::Draining => "draining",
        };
        ServerLabels { service: entry.service.clone(), stage, state }
    }
}

/// Converts a value for a gauge, which is signed. A value that is too large saturates.
fn as_gauge(value: impl TryInto<i64>) -> i64 {
    value.try_into().unwrap_or(i64::MAX)
}

/// Forwards scrapes of the endpoint to the controller until the process ends.
pub async fn serve(endpoint: MetricsEndpoint, commands: mpsc::Sender<Command>) {
    let MetricsEndpoint { mut requests } = endpoint;
    while let Some(reply) = requests.recv().await {
        if commands.send(Command::GetMetrics { reply }).await.is_err() {
            return;
        }
    }
}
