//! The change of one server's stage.

use lugwharf_protocol::Stage;
use std::net::SocketAddr;
use std::time::Duration;

/// How far a change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeState {
    /// The server is shown as draining; the order is due at a time.
    Announced { due_at: Duration },
    /// The order was returned to the caller and has no outcome yet.
    Ordered,
    /// The server may be changing; it is out of service until the list shows its new stage, which it should by a time.
    Settling { until: Duration },
    /// The list should show the new stage by now and does not, as where requests that run keep the server from changing. It
    /// is out of service until it reports its stage, or until a time.
    Unconfirmed { until: Duration },
    /// The server rejected the order; it is in service, and gets no other order until a time.
    CoolingDown { until: Duration },
}

/// The change of one server's stage.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    /// The new stage.
    pub(crate) stage: Stage,
    pub(crate) state: ChangeState,
}

impl Change {
    /// Whether the proxies must send the server no new requests.
    pub(crate) fn is_in_progress(&self) -> bool {
        !matches!(self.state, ChangeState::CoolingDown { .. })
    }

    /// Whether the change has ended by `now` without a list or a report that shows it.
    pub(crate) fn is_expired(&self, now: Duration) -> bool {
        match self.state {
            ChangeState::Unconfirmed { until } | ChangeState::CoolingDown { until } => now >= until,
            ChangeState::Announced { .. } | ChangeState::Ordered | ChangeState::Settling { .. } => false,
        }
    }

    /// Whether the list should have shown the new stage by `now`.
    pub(crate) fn is_overdue(&self, now: Duration) -> bool {
        matches!(self.state, ChangeState::Settling { until } if now >= until)
    }
}
