//! The ports of the internal protocols. They are alike on all machines of a deployment.

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

    /// The ports in a range, given by its first and its last port.
    pub fn in_range((first, _): (u16, u16)) -> InternalPorts {
        InternalPorts { peer: first, agent: first.saturating_add(1), feed: first.saturating_add(2) }
    }
}
