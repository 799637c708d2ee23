//! The ports of the internal protocols. They are the same on all machines of a deployment.

use serde::Deserialize;

/// A range of ports. In the file it is an array of two numbers, `[first, last]`.
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
    /// The port for connections between control processes.
    pub peer: u16,
    /// The port for connections from agents to control processes.
    pub agent: u16,
    /// The port of the connection between an agent and its proxy, on the loopback interface of a front-end
    /// node.
    pub feed: u16,
}

impl InternalPorts {
    /// The number of ports that are used: the first ports of the range.
    pub const COUNT: u16 = 3;

    /// The internal ports: the first ports of `range`.
    pub fn in_range(range: PortRange) -> InternalPorts {
        let first = range.first;
        InternalPorts { peer: first, agent: first.saturating_add(1), feed: first.saturating_add(2) }
    }
}
