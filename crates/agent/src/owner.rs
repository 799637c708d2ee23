//! The owner of the agent's tables. Everybody else asks it through a queue.

use lugwharf_chain::Blake3;
use lugwharf_distribution::Tables;
use lugwharf_invariants::{Invariant, check};
use lugwharf_protocol::{ServiceLoad, Update, VersionVector};
use spdlog::prelude::*;
use std::fmt;
use tokio::sync::{mpsc, oneshot};

/// Feeds that wait for something newer: one proxy, its successors, and those whose end is not noticed yet.
const MOST_WAITERS: usize = 64;

/// What the owner is asked.
pub enum Command {
    /// Takes over what a control process sent. The answer is the vector after it.
    Apply {
        /// What it sent.
        update: Update,
        /// Where the vector goes.
        reply: oneshot::Sender<VersionVector>,
    },
    /// Asks for what the next pull tells.
    Report {
        /// Where it goes.
        reply: oneshot::Sender<Report>,
    },
    /// Asks for what the metrics tell of the tables.
    Holdings {
        /// Where it goes.
        reply: oneshot::Sender<Holdings>,
    },
    /// The proxy has told what it has under way.
    Loads(Vec<ServiceLoad>),
    /// Asks for whatever is newer than `have`; the answer comes once there is something.
    Newer {
        /// What the asker has.
        have: VersionVector,
        /// Where the update goes.
        reply: oneshot::Sender<Update>,
    },
}

/// What the metrics tell of the tables.
pub struct Holdings {
    /// What this process has.
    pub vector: VersionVector,
    /// Servers on the list.
    pub servers: usize,
    /// Feeds that wait for something newer.
    pub feeds: usize,
}

/// What a pull tells.
pub struct Report {
    /// What this process has.
    pub have: VersionVector,
    /// What the proxy had under way when it told so last.
    pub loads: Vec<ServiceLoad>,
}

struct Waiter {
    have: VersionVector,
    reply: oneshot::Sender<Update>,
}

/// Works through the queue until nobody can ask any more.
pub async fn run(mut queue: mpsc::Receiver<Command>) {
    let mut tables = Tables::new();
    let mut loads: Vec<ServiceLoad> = Vec::new();
    let mut waiters: Vec<Waiter> = Vec::new();
    while let Some(command) = queue.recv().await {
        match command {
            Command::Report { reply } => {
                let _ = reply.send(Report { have: tables.vector(), loads: loads.clone() });
            }
            Command::Holdings { reply } => {
                let (servers, feeds) = (tables.servers().len(), waiters.len());
                let _ = reply.send(Holdings { vector: tables.vector(), servers, feeds });
            }
            Command::Loads(newer) => loads = newer,
            Command::Newer { have, reply } => {
                waiters.push(Waiter { have, reply });
                let open = waiters.len();
                check(Invariant::WaitersBounded, open <= MOST_WAITERS, || format!("{open} feeds wait"));
            }
            Command::Apply { update, reply } => {
                let before = tables.vector().config;
                let result = tables.apply(&update);
                let after = tables.vector().config;
                check(Invariant::AgentVersionClimbs, after >= before, || format!("{after} after {before}"));
                note_config(before, &tables);
                if let Err(error) = result {
                    warn!("servers", kv: { outcome = "refused", error: = error });
                }
                let _ = reply.send(tables.vector());
            }
        }
        serve(&tables, &mut waiters);
    }
}

/// Answers those for whom there is something newer; forgets those who have left.
fn serve(tables: &Tables, waiters: &mut Vec<Waiter>) {
    let mut index = 0;
    while index < waiters.len() {
        if waiters[index].reply.is_closed() {
            waiters.swap_remove(index);
        } else if let Some(update) = tables.update_since(&waiters[index].have) {
            drop(waiters.swap_remove(index).reply.send(update));
        } else {
            index += 1;
        }
    }
}

/// Another configuration than before is on its way to the proxy.
fn note_config(before: u64, tables: &Tables) {
    let newer = tables.config().filter(|config| config.version != before);
    if let Some(config) = newer {
        info!("config", kv: {
            outcome = "applied", version = config.version, hash: = Hash(&config.bytes), bytes = config.bytes.len()
        });
    }
}

/// The hash of a configuration in hex, as the control processes tell it; worked out only where a line is written.
struct Hash<'a>(&'a [u8]);

impl fmt::Display for Hash<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Blake3::of(self.0).fmt(f)
    }
}
