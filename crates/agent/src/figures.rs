//! What this process counts, and the text in which it tells so. `docs/OPERATING.md` lists the names.

use crate::owner::{Command, Holdings};
use lugwharf_telemetry::{Exposition, MetricsEndpoint};
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// What all names begin with.
const PREFIX: &str = "lugwharf_agent";

/// How a visit to a control process, or one pull of it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullOutcome {
    /// It answered and is in touch with the rest of the core.
    Served,
    /// It answered that it is out of touch.
    OutOfTouch,
    /// It gave no answer, or none that can be read.
    Failed,
    /// Nobody was in touch: what an out-of-touch process had was applied.
    LastResort,
}

impl PullOutcome {
    const ALL: [PullOutcome; 4] =
        [PullOutcome::Served, PullOutcome::OutOfTouch, PullOutcome::Failed, PullOutcome::LastResort];

    fn name(self) -> &'static str {
        match self {
            PullOutcome::Served => "served",
            PullOutcome::OutOfTouch => "out_of_touch",
            PullOutcome::Failed => "failed",
            PullOutcome::LastResort => "last_resort",
        }
    }
}

/// Counts since the start of the process, shared by its tasks.
#[derive(Debug, Default)]
pub struct Figures {
    pulls: [AtomicU64; PullOutcome::ALL.len()],
    /// Control processes that were followed, one after the other.
    followed: AtomicU64,
}

impl Figures {
    /// A pull has ended.
    pub fn pulled(&self, outcome: PullOutcome) {
        self.pulls[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Another control process is followed from now on.
    pub fn followed(&self) {
        self.followed.fetch_add(1, Ordering::Relaxed);
    }

    fn render(&self, started: Instant, holdings: &Holdings) -> String {
        let mut text = Exposition::new(PREFIX);
        let pulls = PullOutcome::ALL.into_iter().zip(&self.pulls);
        let pulls = pulls.map(|(outcome, count)| (outcome.name(), count.load(Ordering::Relaxed)));
        text.outcomes("pulls", "Pulls from control processes by their end", pulls);
        text.counter("followed", "Control processes followed in turn", self.followed.load(Ordering::Relaxed));
        let vector = holdings.vector;
        let gauges = [
            ("uptime_seconds", "Time since the start of the process", started.elapsed().as_secs()),
            ("config_version", "Newest configuration held; 0 for none", vector.config),
            ("list_epoch", "Epoch of the list of servers", vector.servers.epoch),
            ("list_sequence", "Sequence of the list of servers in its epoch", vector.servers.sequence),
            ("live_proxies", "Live proxies of the fleet as last told", vector.live_proxies.into()),
            ("servers", "Servers on the list", holdings.servers as u64),
            ("feeds", "Proxies that wait for something newer", holdings.feeds as u64),
        ];
        for (name, help, value) in gauges {
            text.gauge(name, help, value);
        }
        text.finish()
    }
}

/// Answers requests for the figures for as long as the process runs.
pub async fn serve(
    endpoint: MetricsEndpoint, figures: std::sync::Arc<Figures>, commands: mpsc::Sender<Command>,
) {
    let started = Instant::now();
    let MetricsEndpoint { mut requests } = endpoint;
    while let Some(request) = requests.recv().await {
        let (reply, holdings) = oneshot::channel();
        if commands.send(Command::Holdings { reply }).await.is_err() {
            return;
        }
        let Ok(holdings) = holdings.await else { return };
        // Whoever asked may have gone.
        let _ = request.send(figures.render(started, &holdings));
    }
}

#[cfg(test)]
#[path = "figures_tests.rs"]
mod figures_tests;
