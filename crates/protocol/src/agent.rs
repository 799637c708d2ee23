//! The link between an agent and a control process: the agent asks for what it is missing.

use crate::table::{ConfigRecord, FleetSummary, ServerDelta, TablePosition};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a process has of each table. Two vectors are compared part by part.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct VersionVector {
    /// The number of the configuration; 0 for none.
    pub config: u64,
    /// The position in the list of servers.
    pub servers: TablePosition,
    /// Live proxies, as last told.
    pub live_proxies: u32,
}

/// What the proxies of one or more fronts have under way at a service.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The service.
    pub service: String,
    /// Prompts that are being read, or wait for it.
    pub prefill: u32,
    /// Answers that are being made, or wait for it.
    pub decode: u32,
}

/// What comes to an agent port.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum AgentRequest {
    /// Asks for whatever is newer than `have`; also this front's heartbeat.
    Pull {
        /// The name of the front.
        node: String,
        /// Counts the starts of the agent's process: its start time in ms of the steady clock is enough, as it is only
        /// compared with itself.
        incarnation: u64,
        /// What the proxy beside it has.
        have: VersionVector,
        /// If nothing is newer, the answer may wait for so long, in ms.
        wait_ms: u32,
        /// What the proxy beside it has under way.
        loads: Vec<ServiceLoad>,
    },
    /// A control process names those that it knows to a seed that may hold no replica. Earlier versions close the link.
    Announce {
        /// Their agent addresses.
        control: Vec<SocketAddr>,
    },
}

/// What is newer than the asker's vector.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Update {
    /// The vector after this update.
    pub vector: VersionVector,
    /// The newest committed configuration, if it is newer.
    pub config: Option<ConfigRecord>,
    /// Changes of the list of servers, if any.
    pub servers: Option<ServerDelta>,
    /// The fleet, if it changed.
    pub fleet: Option<FleetSummary>,
}

/// What a control process answers. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum ControlReply {
    /// What is newer; parts that are not are absent.
    Update {
        /// Whether this control process is in touch with a majority of its view. An agent leaves one that is not.
        #[serde(rename = "in_touch")]
        has_quorum: bool,
        /// Agent addresses of all control processes of the view.
        control: Vec<SocketAddr>,
        /// What is newer.
        update: Update,
    },
}
