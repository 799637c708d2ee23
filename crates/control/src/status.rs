//! The answer to `GET /status`. The encoded names are fixed; `docs/OPERATING.md` lists them.

use lugwharf_protocol::{ServerEntry, ServerState, Stage};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The state of one control process, as it sees itself.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Status {
    /// The name of the machine.
    pub node: String,
    /// The peer address of this process.
    pub address: SocketAddr,
    /// How long this process has run, in ms.
    pub uptime_ms: u64,
    /// The number of the newest view that it knows; 0 for none.
    pub view: u64,
    /// The members of that view, by peer address.
    pub members: Vec<SocketAddr>,
    /// The chain of that view, head first.
    pub chain: Vec<SocketAddr>,
    /// Processes that were heard from recently and are no members, by peer address.
    pub learners: Vec<SocketAddr>,
    /// Whether one of them has the history and may replace a member at once.
    pub standby: bool,
    /// The position of this process in the chain, 0 for the head; null outside.
    pub position: Option<usize>,
    /// Whether this process is a member of the view.
    pub member: bool,
    /// Whether the view serves, as far as is known here.
    pub serving: bool,
    /// Whether a majority of the view's members has been heard within a second.
    #[serde(rename = "InTouch")]
    pub has_quorum: bool,
    /// Whether its disk takes writes.
    #[serde(rename = "DiskWell")]
    pub disk_healthy: bool,
    /// The newest committed configuration that it knows of; 0 for none.
    pub config_version: u64,
    /// The singleton roles.
    pub roles: Vec<RoleStatus>,
    /// Servers on the list.
    pub servers: usize,
    /// The same by service.
    pub services: Vec<ServiceStatus>,
    /// Live proxies of the whole fleet, as far as is known; 0 for unknown.
    pub live_proxies: u32,
    /// The agents that pull from this process, and how far behind they are.
    pub agents: Vec<AgentStatus>,
}

/// A singleton role and its lease.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct RoleStatus {
    /// The role: `list_reader`, the list watcher, which also sends orders to servers.
    pub role: &'static str,
    /// The last known lease holder, by peer address; null while none is known.
    pub holder: Option<SocketAddr>,
    /// The fencing token of its lease.
    pub token: Option<u64>,
    /// How long this process has known that holder under that token, in ms.
    pub held_ms: Option<u64>,
    /// Whether this process holds the lease now.
    pub held_here: bool,
}

/// The servers of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ServiceStatus {
    /// The service.
    pub service: String,
    /// Servers that get requests.
    pub ready: usize,
    /// Servers that get no new requests: those that leave, and those that change their stage.
    pub draining: usize,
    /// Servers in the prefill stage.
    pub prefill: usize,
    /// Servers in the decode stage.
    pub decode: usize,
    /// Servers without a stage.
    pub unstaged: usize,
    /// Ids of those that change their stage; known to the lease holder alone.
    pub changing: Vec<String>,
}

/// One agent that pulls from this process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct AgentStatus {
    /// The front-end node.
    pub node: String,
    /// The version of its configuration; 0 for none.
    pub config_version: u64,
    /// Committed configurations above that version, as far as this process knows.
    pub versions_behind: usize,
    /// How long this process has known the first of them, in ms; 0 for an agent with the newest one.
    pub behind_ms: u64,
    /// Whether its server list is the newest.
    pub servers_current: bool,
    /// The time since its last pull, in ms.
    pub silent_ms: u64,
}

/// Counts servers by service.
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
