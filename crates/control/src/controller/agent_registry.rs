//! The agents that pull from this process, and how far behind each of them is, for `GET /status`.

use super::commit_history::CommitHistory;
use crate::status::AgentStatus;
use lugwharf_protocol::{TablePosition, VersionVector};
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of agents that are recorded.
const MAX_ENTRIES: usize = 4_096;
/// An agent that has not pulled for this long is no longer reported: it follows another process or has
/// stopped.
const AGENT_TTL: Duration = Duration::from_secs(30);

struct LastPull {
    have: VersionVector,
    received_at: Duration,
}

impl LastPull {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }
}

/// The versions that each agent reported in its last pull. All times count from the start of the process.
#[derive(Default)]
pub struct AgentRegistry {
    by_node: BTreeMap<String, LastPull>,
}

impl AgentRegistry {
    /// Records a pull from an agent that has the versions `have`.
    pub fn record_pull(&mut self, now: Duration, node: &str, have: VersionVector) {
        if self.by_node.len() >= MAX_ENTRIES {
            self.by_node.retain(|_, pull| pull.age(now) < AGENT_TTL);
        }
        let pull = LastPull { have, received_at: now };
        let has_capacity = self.by_node.len() < MAX_ENTRIES;
        if let Some(known) = self.by_node.get_mut(node) {
            *known = pull;
        } else if has_capacity {
            self.by_node.insert(node.to_owned(), pull);
        }
    }

    /// Returns the agents with a pull within [`AGENT_TTL`], compared with the position of the server list and
    /// with the commits known to this process.
    pub fn report(&self, now: Duration, servers: TablePosition, commits: &CommitHistory) -> Vec<AgentStatus> {
        let recent = self.by_node.iter().filter(|(_, pull)| pull.age(now) < AGENT_TTL);
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
