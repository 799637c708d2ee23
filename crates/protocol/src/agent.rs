//! The messages between an agent and a control process. The agent pulls what it lacks; each pull is its heartbeat as well.

use crate::table::{ConfigRecord, FleetSummary, ServerDelta, TablePosition};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The versions of the tables that a process has: one for each table, not one for each replica as in the version vectors of
/// the literature. Vectors are compared component by component, and there is no order of whole vectors.
///
/// `config` and `servers` only grow, so the larger one is newer. `live_proxies` is no version but the value itself, which is
/// only compared for equality.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct VersionVector {
    /// The version of the configuration; 0 for none.
    pub config: u64,
    /// The position in the server table.
    pub servers: TablePosition,
    /// The number of live proxies, as last reported; 0 while it is unknown. A value, not a version.
    pub live_proxies: u32,
}

/// Requests in flight from the proxies of one or more front-end nodes to one service.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The name of the service.
    pub service: String,
    /// Requests in their prefill phase, queued ones included.
    pub prefill: u32,
    /// Requests in their decode phase, queued ones included.
    pub decode: u32,
}

/// A request to an agent port.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum AgentRequest {
    /// Asks for everything newer than `have`; also the heartbeat of this front-end node.
    Pull {
        /// The name of the front-end node.
        node: String,
        /// Distinguishes the starts of the agent's process. It is only compared for equality, so any number that differs from
        /// start to start will do.
        incarnation: u64,
        /// What the agent has.
        have: VersionVector,
        /// How long the reply may be delayed while nothing is newer (a long poll), in ms.
        wait_ms: u32,
        /// Requests in flight at the proxy of this node.
        loads: Vec<ServiceLoad>,
    },
    /// A control process announces the control processes that it knows to a seed that may host no replica. Versions that
    /// don't know this request close the connection.
    Announce {
        /// The agent addresses of these control processes.
        control: Vec<SocketAddr>,
    },
}

/// Everything that is newer than the version vector of the receiver. What is not newer is absent.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Update {
    /// The version vector of the receiver once it has applied this update.
    pub vector: VersionVector,
    /// The newest committed configuration.
    pub config: Option<ConfigRecord>,
    /// Changes of the server table.
    pub servers: Option<ServerDelta>,
    /// The summary of the fleet.
    pub fleet: Option<FleetSummary>,
}

/// The reply of a control process, to either request. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum ControlReply {
    /// What is newer.
    Update {
        /// Whether this control process is in contact with a majority of its view. An agent leaves one that is not, since
        /// what it sends may be out of date.
        #[serde(rename = "in_touch")]
        has_quorum: bool,
        /// The agent addresses of all control processes of the view.
        control: Vec<SocketAddr>,
        /// What is newer.
        update: Update,
    },
}
