//! The agents that pull from this process and how far behind each one is, for `GET /status`.

use super::commit_history::CommitHistory;
use crate::status::AgentStatus;
use lugwharf_protocol::{TablePosition, VersionVector};
use std::collections::BTreeMap;
use std::time::Duration;

/// Agents that are remembered at most.
const MAX_ENTRIES: usize = 4_096;
/// An agent without a pull for so long follows another process, or is gone.
const FORGET_AFTER: Duration = Duration::from_secs(30);

struct LastPull {
    have: VersionVector,
    received_at: Duration,
}

impl LastPull {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }
}

/// What each agent had at its last pull. All times count from the start of the process.
#[derive(Default)]
pub struct AgentRegistry {
    by_node: BTreeMap<String, LastPull>,
}

impl AgentRegistry {
    /// Records a pull of an agent that has the tables up to `have`.
    pub fn record_pull(&mut self, now: Duration, node: &str, have: VersionVector) {
        if self.by_node.len() >= MAX_ENTRIES {
            self.by_node.retain(|_, pull| pull.age(now) < FORGET_AFTER);
        }
        let pull = LastPull { have, received_at: now };
        let has_capacity = self.by_node.len() < MAX_ENTRIES;
        if let Some(known) = self.by_node.get_mut(node) {
            *known = pull;
        } else if has_capacity {
            self.by_node.insert(node.to_owned(), pull);
        }
    }

    /// The agents with a pull within [`FORGET_AFTER`], against the position of the server list and the commits known here.
    pub fn report(&self, now: Duration, servers: TablePosition, commits: &CommitHistory) -> Vec<AgentStatus> {
        let recent = self.by_node.iter().filter(|(_, pull)| pull.age(now) < FORGET_AFTER);
        let status = recent.map(|(node, pull)| {
            let lag = commits.lag(now, pull.have.config);
            AgentStatus {
                node: node.clone(),
                config_version: pull.have.config,
                versions_behind: lag.versions,
                behind_ms: lag.time.as_millis() as u64,
                servers_current: pull.have.servers >= servers,
                silent_ms: pull.age(now).as_millis() as u64,
            }
        });
        status.collect()
    }
}
