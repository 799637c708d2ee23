//! The response to `GET /status`. The encoded names must not change; `docs/OPERATING.md` lists them.

use lugwharf_protocol::{ServerEntry, ServerState, Stage};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The state of one control process, as known to that process.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Status {
    /// The name of the machine.
    pub node: String,
    /// The peer address of this process.
    pub address: SocketAddr,
    /// The time since the start of this process, in ms.
    pub uptime_ms: u64,
    /// The number of the newest view that this process knows; 0 for none.
    pub view: u64,
    /// The members of that view, by peer address.
    pub members: Vec<SocketAddr>,
    /// The chain of that view, head first.
    pub chain: Vec<SocketAddr>,
    /// Processes that recently sent messages and are not members, by peer address.
    pub learners: Vec<SocketAddr>,
    /// Whether one of the learners has the complete history and may replace a member immediately.
    pub standby: bool,
    /// The position of this process in the chain, 0 for the head; null if it is not in the chain.
    pub position: Option<usize>,
    /// Whether this process is a member of the view.
    pub member: bool,
    /// Whether the view serves, as far as this process knows.
    pub serving: bool,
    /// Whether this process has bidirectional links to a majority of the view's members, counting itself.
    /// False also for 1 s after this process was paused for 0.7 s or longer.
    #[serde(rename = "InTouch")]
    pub has_quorum: bool,
    /// Whether the disk of this process accepts writes.
    #[serde(rename = "DiskWell")]
    pub disk_healthy: bool,
    /// The version of the newest committed configuration that this process knows; 0 for none.
    pub config_version: u64,
    /// The singleton roles.
    pub roles: Vec<RoleStatus>,
    /// The number of servers in the server list.
    pub servers: usize,
    /// The servers by service.
    pub services: Vec<ServiceStatus>,
    /// The number of live proxies of the whole fleet, as far as this process knows; 0 for unknown.
    pub live_proxies: u32,
    /// The agents that pull from this process, and how far behind they are.
    pub agents: Vec<AgentStatus>,
}

/// A singleton role and its lease.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct RoleStatus {
    /// The name of the role. The only one is `list_reader`: the list watcher, which also sends orders to
    /// servers.
    pub role: &'static str,
    /// The last known lease holder, by peer address; null if none is known.
    pub holder: Option<SocketAddr>,
    /// The fencing token of the holder's lease.
    pub token: Option<u64>,
    /// How long this process has known that holder with that token, in ms.
    pub held_ms: Option<u64>,
    /// Whether this process holds the lease now.
    pub held_here: bool,
}

/// The servers of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ServiceStatus {
    /// The name of the service.
    pub service: String,
    /// The number of servers that receive requests.
    pub ready: usize,
    /// The number of servers that receive no new requests because they are leaving or changing their stage.
    pub draining: usize,
    /// The number of servers in the prefill stage.
    pub prefill: usize,
    /// The number of servers in the decode stage.
    pub decode: usize,
    /// The number of servers without a stage.
    pub unstaged: usize,
    /// The ids of the servers that are changing their stage. Only the lease holder knows them.
    pub changing: Vec<String>,
}

/// One agent that pulls from this process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct AgentStatus {
    /// The name of the front-end node.
    pub node: String,
    /// The version of the agent's configuration; 0 for none.
    pub config_version: u64,
    /// The number of committed configurations above that version, as far as this process knows.
    pub versions_behind: usize,
    /// How long this process has known the first of these configurations, in ms; 0 if the agent has the
    /// newest one.
    pub behind_ms: u64,
    /// Whether the agent has the newest server list.
    pub servers_current: bool,
    /// The time since the agent's last pull, in ms.
    pub silent_ms: u64,
}

/// Counts servers by service, state and stage.
pub fn by_service<'a>(
    entries: impl Iterator<Item = &'a ServerEntry>, changing: &BTreeSet<String>,
) -> Vec<ServiceStatus> {
    let mut services: BTreeMap<&str, ServiceStatus> = BTreeMap::new();
    for entry in entries {
        let status = services.entry(entry.service.as_str()).or_default();
        match entry.state {
            ServerState::Ready => status.ready += 1,
            ServerState::Draining => status.draining += 1,
        }
        match entry.stage {
            Some(Stage::Prefill) => status.prefill += 1,
            Some(Stage::Decode) => status.decode += 1,
            None => status.unstaged += 1,
        }
        if changing.contains(&entry.id) {
            status.changing.push(entry.id.clone());
        }
    }
    let named = services.into_iter().map(|(service, status)| (service.to_owned(), status));
    named.map(|(service, status)| ServiceStatus { service, ..status }).collect()
}
