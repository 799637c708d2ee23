//! The metrics of the agent in the OpenMetrics text format. `docs/OPERATING.md` lists the names.

use crate::table_owner::{Command, TableSummary};
use lugwharf_telemetry::{Exposition, MetricsEndpoint};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// The prefix of all metric names.
const PREFIX: &str = "lugwharf_agent";

/// The outcome of a pull from a control process, of an attempt to connect to one, or of a pass over all
/// control processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullOutcome {
    /// The control process replied and has a quorum.
    Served,
    /// The control process replied that it has no quorum.
    NoQuorum,
    /// Connecting failed, there was no reply, or the reply was malformed.
    Failed,
    /// No control process has a quorum, so the newest update without a quorum was applied. This is counted in
    /// addition to the outcomes of the pulls in that pass, so the sum over all outcomes exceeds the number of
    /// pulls.
    Fallback,
}

impl PullOutcome {
    /// All outcomes in the order of declaration, because [`AgentMetrics`] indexes its counters by the
    /// discriminant.
    const ALL: [PullOutcome; 4] =
        [PullOutcome::Served, PullOutcome::NoQuorum, PullOutcome::Failed, PullOutcome::Fallback];

    /// Returns the value of the label `outcome`. These names must not change because alerts refer to them.
    fn label(self) -> &'static str {
        match self {
            PullOutcome::Served => "served",
            PullOutcome::NoQuorum => "out_of_touch",
            PullOutcome::Failed => "failed",
            PullOutcome::Fallback => "last_resort",
        }
    }
}

/// Counters since the start of the process, shared by its tasks.
#[derive(Debug, Default)]
pub struct AgentMetrics {
    /// The number of pulls by outcome, in the order of [`PullOutcome::ALL`].
    pulls: [AtomicU64; PullOutcome::ALL.len()],
    /// How often the agent started to follow a control process.
    followed: AtomicU64,
}

impl AgentMetrics {
    /// Counts a completed pull, or a pass that applied a fallback ([`PullOutcome::Fallback`]).
    pub fn record_pull(&self, outcome: PullOutcome) {
        self.pulls[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts that the agent started to follow a control process.
    pub fn record_followed(&self) {
        self.followed.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns all metrics in the OpenMetrics text format. `uptime_seconds` counts from `started_at`.
    fn render(&self, started_at: Instant, tables: &TableSummary) -> String {
        let mut text = Exposition::new(PREFIX);
        let pulls = PullOutcome::ALL.into_iter().zip(&self.pulls);
        let pulls = pulls.map(|(outcome, count)| (outcome.label(), count.load(Ordering::Relaxed)));
        text.counters_by_outcome("pulls", "Pulls from control processes by outcome", pulls);
        text.counter(
            "followed",
            "Times that a control process was followed anew",
            self.followed.load(Ordering::Relaxed),
        );
        let vector = tables.vector;
        let gauges = [
            ("uptime_seconds", "Time since the start of the process", started_at.elapsed().as_secs()),
            ("config_version", "Version of the newest configuration; 0 for none", vector.config),
            ("list_epoch", "Epoch of the server table", vector.servers.epoch),
            ("list_sequence", "Sequence of the server table in its epoch", vector.servers.sequence),
            ("live_proxies", "Live proxies of the fleet as last reported", vector.live_proxies.into()),
            ("servers", "Servers in the server table", tables.servers as u64),
            ("feeds", "Feeds of proxies that wait for an update", tables.waiting_feeds as u64),
        ];
        for (name, help, value) in gauges {
            text.gauge(name, help, value);
        }
        text.finish()
    }
}

/// Responds to requests for the metrics, one at a time. Ends when the endpoint is closed, or when the table
/// owner has ended and can no longer summarize the tables.
///
/// The uptime counts from the start of this task, which the agent starts together with its other tasks.
pub async fn serve(endpoint: MetricsEndpoint, metrics: Arc<AgentMetrics>, commands: mpsc::Sender<Command>) {
    let started_at = Instant::now();
    let MetricsEndpoint { mut requests } = endpoint;
    while let Some(reply) = requests.recv().await {
        let (summary_reply, summary) = oneshot::channel();
        if commands.send(Command::GetSummary { reply: summary_reply }).await.is_err() {
            return;
        }
        let Ok(summary) = summary.await else { return };
        // The send fails if the collector has disconnected.
        let _ = reply.send(metrics.render(started_at, &summary));
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod metrics_tests;
