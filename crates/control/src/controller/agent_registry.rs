//! The agents that pull from this process, for `GET /status`.

use super::commit_history::CommitHistory;
use crate::status::AgentStatus;
use lugwharf_protocol::{TablePosition, VersionVector};
use std::collections::BTreeMap;
use std::time::Duration;

/// Agents that are remembered at most.
const MAX_ENTRIES: usize = 4_096;
/// An agent that has not asked for so long has moved on.
const FORGET_AFTER: Duration = Duration::from_secs(30);

struct LastPull {
    have: VersionVector,
    received_at: Duration,
}

/// What each agent had when it asked last.
#[derive(Default)]
pub struct AgentRegistry {
    by_node: BTreeMap<String, LastPull>,
}

impl AgentRegistry {
    /// Notes a pull.
    pub fn record_pull(&mut self, now: Duration, node: &str, have: VersionVector) {
        if self.by_node.len() >= MAX_ENTRIES {
            self.by_node.retain(|_, pull| now.saturating_sub(pull.received_at) < FORGET_AFTER);
        }
        let has_capacity = self.by_node.len() < MAX_ENTRIES;
        match self.by_node.get_mut(node) {
            Some(pull) => *pull = LastPull { have, received_at: now },
            None if has_capacity => {
                self.by_node.insert(node.to_owned(), LastPull { have, received_at: now });
            }
            None => {}
        }
    }

    /// All agents that were pull lately.
    pub fn report(&self, now: Duration, servers: TablePosition, commits: &CommitHistory) -> Vec<AgentStatus> {
        let silent = |pull: &LastPull| now.saturating_sub(pull.received_at);
        let lately = self.by_node.iter().filter(|(_, pull)| silent(pull) < FORGET_AFTER);
        let status = lately.map(|(node, pull)| {
            let lag = commits.lag(now, pull.have.config);
            AgentStatus {
                node: node.clone(),
                config_version: pull.have.config,
                versions_behind: lag.versions,
                behind_ms: lag.time.as_millis() as u64,
                servers_current: pull.have.servers >= servers,
                silent_ms: silent(pull).as_millis() as u64,
            }
        });
        status.collect()
    }
}
