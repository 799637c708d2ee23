//! The task that owns the agent's tables. The other tasks send it commands through a queue.

use lugwharf_distribution::Tables;
use lugwharf_invariants::{Invariant, check};
use lugwharf_protocol::{ServiceLoad, Update, VersionVector};
use spdlog::prelude::*;
use tokio::sync::{mpsc, oneshot};

/// The maximum number of feeds that wait for an update: the proxy, its replacements during restarts, and
/// disconnected feeds that have not been removed yet.
const MAX_WAITING_FEEDS: usize = 64;

/// A command to the table owner.
pub enum Command {
    /// Applies an update from a control process.
    Apply {
        /// The update.
        update: Update,
        /// Receives the version vector after the update.
        reply: oneshot::Sender<VersionVector>,
    },
    /// Requests the state to report in the next pull.
    GetPullReport {
        /// Receives the state.
        reply: oneshot::Sender<PullReport>,
    },
    /// Requests the state of the tables for the metrics.
    GetSummary {
        /// Receives the summary.
        reply: oneshot::Sender<TableSummary>,
    },
    /// Records the proxy's requests in flight.
    RecordLoads(Vec<ServiceLoad>),
    /// Requests everything newer than `have`, and waits until there is something newer.
    AwaitUpdate {
        /// The versions that the feed's proxy has applied.
        have: VersionVector,
        /// Receives the update.
        reply: oneshot::Sender<Update>,
    },
}

/// The state of the tables for the metrics.
pub struct TableSummary {
    /// The versions of the tables of this process.
    pub vector: VersionVector,
    /// The number of servers in the server table.
    pub servers: usize,
    /// The number of feeds waiting for an update.
    pub waiting_feeds: usize,
}

/// The state that a pull reports.
pub struct PullReport {
    /// The versions of the tables of this process.
    pub have: VersionVector,
    /// The proxy's requests in flight, as last reported.
    pub loads: Vec<ServiceLoad>,
}

struct WaitingFeed {
    have: VersionVector,
    reply: oneshot::Sender<Update>,
}

#[derive(Default)]
struct TableOwner {
    tables: Tables,
    loads: Vec<ServiceLoad>,
    waiting_feeds: Vec<WaitingFeed>,
}

/// Executes commands until all senders are dropped.
pub async fn run(mut commands: mpsc::Receiver<Command>) {
    let mut owner = TableOwner::default();
    while let Some(command) = commands.recv().await {
        owner.execute(command);
        owner.send_updates();
    }
}

impl TableOwner {
    fn execute(&mut self, command: Command) {
        // A reply to a task that has ended in the meantime is dropped.
        match command {
            Command::Apply { update, reply } => {
                self.apply(&update);
                let _ = reply.send(self.tables.version_vector());
            }
            Command::GetPullReport { reply } => {
                let _ =
                    reply.send(PullReport { have: self.tables.version_vector(), loads: self.loads.clone() });
            }
            Command::GetSummary { reply } => {
                let _ = reply.send(TableSummary {
                    vector: self.tables.version_vector(),
                    servers: self.tables.servers().len(),
                    waiting_feeds: self.waiting_feeds.len(),
                });
            }
            Command::RecordLoads(loads) => self.loads = loads,
            Command::AwaitUpdate { have, reply } => {
                self.waiting_feeds.push(WaitingFeed { have, reply });
                let waiting = self.waiting_feeds.len();
                check(Invariant::WaitersBounded, waiting <= MAX_WAITING_FEEDS, || {
                    format!("{waiting} feeds wait for an update; the limit is {MAX_WAITING_FEEDS}")
                });
            }
        }
    }

    fn apply(&mut self, update: &Update) {
        let before = self.tables.version_vector().config;
        let result = self.tables.apply(update);
        let after = self.tables.version_vector().config;
        check(Invariant::AgentVersionClimbs, after >= before, || format!("version {after} after {before}"));
        log_new_config(before, &self.tables);
        if let Err(error) = result {
            warn!("servers", kv: { outcome = "refused", error: = error });
        }
    }

    /// Sends an update to each feed for which there is something newer, and removes the feeds that have
    /// ended.
    fn send_updates(&mut self) {
        let mut index = 0;
        while index < self.waiting_feeds.len() {
            let feed = &self.waiting_feeds[index];
            if feed.reply.is_closed() {
                self.waiting_feeds.swap_remove(index);
            } else if let Some(update) = self.tables.update_since(&feed.have) {
                // The send fails if the feed has just ended.
                let _ = self.waiting_feeds.swap_remove(index).reply.send(update);
            } else {
                index += 1;
            }
        }
    }
}

/// Logs the configuration if its version differs from `before`. It is about to be sent to the proxy.
fn log_new_config(before: u64, tables: &Tables) {
    if let Some(config) = tables.config().filter(|config| config.version != before) {
        info!("config", kv: {
            outcome = "applied", version = config.version, hash: = config.hash(), bytes = config.bytes.len()
        });
    }
}
