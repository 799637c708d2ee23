//! The owner of the agent's tables. The other tasks send it commands through a queue.

use lugwharf_distribution::Tables;
use lugwharf_invariants::{Invariant, check};
use lugwharf_protocol::{ServiceLoad, Update, VersionVector};
use spdlog::prelude::*;
use tokio::sync::{mpsc, oneshot};

/// Feeds that may wait for an update: one proxy, its successors, and those whose end has not been noticed yet.
const MAX_WAITING_FEEDS: usize = 64;

/// A command to the owner of the tables.
pub enum Command {
    /// Applies an update from a control process. The reply is the version vector after it.
    Apply {
        /// The update.
        update: Update,
        /// Where the vector goes.
        reply: oneshot::Sender<VersionVector>,
    },
    /// Requests the content of the next pull.
    Report {
        /// Where it goes.
        reply: oneshot::Sender<PullReport>,
    },
    /// Requests what the metrics say of the tables.
    Summarize {
        /// Where it goes.
        reply: oneshot::Sender<TableSummary>,
    },
    /// Records the proxy's requests in flight.
    RecordLoads(Vec<ServiceLoad>),
    /// Requests everything newer than `have`. The reply comes once something is newer.
    AwaitUpdate {
        /// What the feed's proxy has applied.
        have: VersionVector,
        /// Where the update goes.
        reply: oneshot::Sender<Update>,
    },
}

/// What the metrics say of the tables.
pub struct TableSummary {
    /// The versions of the tables of this process.
    pub vector: VersionVector,
    /// The number of servers in the server table.
    pub servers: usize,
    /// The number of feeds that wait for an update.
    pub waiting_feeds: usize,
}

/// What a pull reports.
pub struct PullReport {
    /// The versions of the tables of this process.
    pub have: VersionVector,
    /// The proxy's requests in flight, as reported last.
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

/// Executes commands until all senders are gone.
pub async fn run(mut commands: mpsc::Receiver<Command>) {
    let mut owner = TableOwner::default();
    while let Some(command) = commands.recv().await {
        owner.execute(command);
        owner.send_updates();
    }
}

impl TableOwner {
    fn execute(&mut self, command: Command) {
        // A reply to a task that has ended meanwhile is dropped.
        match command {
            Command::Apply { update, reply } => {
                self.apply(&update);
                let _ = reply.send(self.tables.version_vector());
            }
            Command::Report { reply } => {
                let _ =
                    reply.send(PullReport { have: self.tables.version_vector(), loads: self.loads.clone() });
            }
            Command::Summarize { reply } => {
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
                    format!("{waiting} feeds wait")
                });
            }
        }
    }

    fn apply(&mut self, update: &Update) {
        let before = self.tables.version_vector().config;
        let result = self.tables.apply(update);
        let after = self.tables.version_vector().config;
        check(Invariant::AgentVersionClimbs, after >= before, || format!("{after} after {before}"));
        log_new_config(before, &self.tables);
        if let Err(error) = result {
            warn!("servers", kv: { outcome = "refused", error: = error });
        }
    }

    /// Replies to the feeds for which something is newer, and forgets those that have ended.
    fn send_updates(&mut self) {
        let mut index = 0;
        while index < self.waiting_feeds.len() {
            let feed = &self.waiting_feeds[index];
            if feed.reply.is_closed() {
                self.waiting_feeds.swap_remove(index);
            } else if let Some(update) = self.tables.update_since(&feed.have) {
                // A feed that ends just now needs no update.
                let _ = self.waiting_feeds.swap_remove(index).reply.send(update);
            } else {
                index += 1;
            }
        }
    }
}

/// Logs the configuration if its version differs from `before`: it is on its way to the proxy now.
fn log_new_config(before: u64, tables: &Tables) {
    if let Some(config) = tables.config().filter(|config| config.version != before) {
        info!("config", kv: {
            outcome = "applied", version = config.version, hash: = config.hash(), bytes = config.bytes.len()
        });
    }
}
