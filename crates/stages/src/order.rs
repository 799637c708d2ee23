//! Orders to model servers, and their outcomes.

use lugwharf_protocol::Stage;
use std::net::SocketAddr;

/// An order to a server to change its stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server's id, which identifies its incarnation.
    pub id: String,
    /// The server's address.
    pub address: SocketAddr,
    /// The stage to which the server changes.
    pub stage: Stage,
    /// The number of orders that the server has accepted, as last reported under this lease; `None` if it has
    /// reported none. Sent as `IfRevision`: the server rejects the order if it has accepted others since.
    pub if_revision: Option<u64>,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server accepted the order (202), or has the stage already (200).
    Accepted,
    /// No response, or an inconclusive one: the server may have accepted the order.
    Unknown,
    /// The server rejected the order (4xx except 412), or the order was never sent.
    Rejected,
    /// The server rejected the order (412) because it has seen a higher fencing token.
    StaleToken,
}
