//! The ports of the internal protocols. They are alike on all machines of a deployment.

use serde::Deserialize;

/// A range of ports. In the file it is an array of two: `[first, last]`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(from = "(u16, u16)")]
pub struct PortRange {
    /// The first port of the range.
    pub first: u16,
    /// The last port of the range.
    pub last: u16,
}

impl From<(u16, u16)> for PortRange {
    fn from((first, last): (u16, u16)) -> PortRange {
        PortRange { first, last }
    }
}

/// The ports of the internal protocols.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InternalPorts {
    /// Between control processes.
    pub peer: u16,
    /// From agents to control processes.
    pub agent: u16,
    /// On front-end nodes, loopback only: the agent's feed to its proxy.
    pub feed: u16,
}

impl InternalPorts {
    /// The number of ports that are used, from the start of the range.
    pub const COUNT: u16 = 3;

    /// The first ports of a range.
    pub fn in_range(range: PortRange) -> InternalPorts {
        let first = range.first;
        InternalPorts { peer: first, agent: first.saturating_add(1), feed: first.saturating_add(2) }
    }
}
