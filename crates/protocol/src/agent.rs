//! Messages between an agent and a control process. The agent pulls the updates that it does not have yet;
//! each pull also serves as its heartbeat.

use crate::table::{ConfigRecord, FleetSummary, ServerDelta, TablePosition};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The versions of the tables that a process has. Unlike the version vectors in the literature, it has one
/// component per table, not one per replica. Vectors are compared component by component; there is no
/// ordering of whole vectors.
///
/// `config` and `servers` only increase, so a larger component is newer. `live_proxies` is not a version but
/// the value itself, and is only compared for equality.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct VersionVector {
    /// The version of the configuration; 0 if there is none.
    pub config: u64,
    /// The position in the server table.
    pub servers: TablePosition,
    /// The last reported number of live proxies; 0 while it is unknown. This is a value, not a version.
    pub live_proxies: u32,
}

/// The number of requests in flight from the proxies of one or more front-end nodes to one service.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The name of the service.
    pub service: String,
    /// The number of requests in the prefill phase, including queued ones.
    pub prefill: u32,
    /// The number of requests in the decode phase, including queued ones.
    pub decode: u32,
}

/// A request to the agent port of a control process.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum AgentRequest {
    /// Requests everything newer than `have`. It also serves as the heartbeat of the front-end node.
    Pull {
        /// The name of the front-end node.
        node: String,
        /// Identifies this run of the agent process. It is only compared for equality, so any number that
        /// changes with each start is suitable.
        incarnation: u64,
        /// The versions that the agent has.
        have: VersionVector,
        /// The maximum time for which the reply may be delayed while there is nothing newer (long polling),
        /// in ms.
        wait_ms: u32,
        /// The requests in flight from the proxy of this node.
        loads: Vec<ServiceLoad>,
    },
    /// Announces the control processes known to the sender, a control process, to a seed that may not host a
    /// replica. Versions that do not support this request close the connection.
    Announce {
        /// The agent addresses of the known control processes.
        control: Vec<SocketAddr>,
    },
}

/// Everything that is newer than the receiver's version vector. Tables that are not newer are `None`.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Update {
    /// The receiver's version vector after applying this update.
    pub vector: VersionVector,
    /// The latest committed configuration.
    pub config: Option<ConfigRecord>,
    /// The changes to the server table.
    pub servers: Option<ServerDelta>,
    /// The summary of the fleet.
    pub fleet: Option<FleetSummary>,
}

impl Update {
    /// Adds the base to an incremental server delta of an earlier version, which does not send it. `have` must
    /// be the position that the delta was requested for.
    pub fn with_base(mut self, have: TablePosition) -> Update {
        if let Some(delta) = self.servers.as_mut().filter(|delta| !delta.is_full) {
            delta.base.get_or_insert(have);
        }
        self
    }
}

/// The reply of a control process to any [`AgentRequest`]. The encoded names must not change; see
/// docs/GLOSSARY.md.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum ControlReply {
    /// Everything newer than the version vector of the request.
    Update {
        /// Whether agents may rely on the sender: it is in contact with a majority of its view and is not
        /// shutting down. Otherwise its updates may be out of date, and an agent disconnects from it. Always
        /// false in the reply to an announcement and from a machine without a replica.
        #[serde(rename = "in_touch")]
        has_quorum: bool,
        /// The agent addresses of the control processes that the sender knows.
        control: Vec<SocketAddr>,
        /// The tables that are newer.
        update: Update,
    },
}
