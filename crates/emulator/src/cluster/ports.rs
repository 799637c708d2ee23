//! The ports of a machine. They are the same on all machines.

/// The port for the requests of clients (`[Listen] Front`).
pub const FRONT: u16 = 8_161;
/// The port of the operator's API (`[Listen] Control`).
pub const CONTROL: u16 = 8_166;
/// The port for readiness checks (`[Listen] Ready`).
pub const READY: u16 = 8_167;
/// The first port for internal traffic (`PortRange`).
pub const INTERNAL_FIRST: u16 = 7_720;
/// The last port for internal traffic.
pub const INTERNAL_LAST: u16 = 7_735;
/// The port of the connection between the agent and its proxy (`FeedAddress`).
pub const FEED: u16 = 7_722;
/// The port of every emulated server. Each server has its own address.
pub const SERVER: u16 = 9_100;
/// The port for `GET /metrics` of the proxy, or of a control process.
pub const METRICS: u16 = 7_733;
/// The port for `GET /metrics` of the agent.
pub const AGENT_METRICS: u16 = 7_734;
