//! Orders to model servers.

use lugwharf_protocol::Stage;
use std::net::SocketAddr;

/// An order to a server to change its stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server's id, which names its incarnation.
    pub id: String,
    /// The server's address.
    pub address: SocketAddr,
    /// The stage that the server is to have.
    pub stage: Stage,
    /// The orders that the server has accepted so far, if it has reported them under this lease; it rejects the order if there
    /// were others since (`IfRevision`).
    pub if_revision: Option<u64>,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server accepted the order (202), or has the stage already (200).
    Accepted,
    /// No response, or one that says neither: the server may have accepted the order.
    Unknown,
    /// The server rejected the order (4xx but 412), or it was never sent.
    Rejected,
    /// The server rejected the order (412) since it has seen a higher fencing token.
    StaleToken,
}
