//! A server's change from one stage to the other.

use lugwharf_protocol::Stage;
use std::net::SocketAddr;
use std::time::Duration;

/// The progress of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeState {
    /// The server is announced as draining; the order is due at `due_at`.
    Announced { due_at: Duration },
    /// The order was returned to the caller, and its outcome is not known yet.
    Ordered,
    /// The server may be changing. It is out of service until the list shows its new stage, which is expected
    /// by `until`.
    Settling { until: Duration },
    /// The list should show the new stage but does not, for example because running requests keep the server
    /// from changing. The server is out of service until it reports its stage, or until `until`.
    Unconfirmed { until: Duration },
    /// The server rejected the order. It is in service, and gets no other order before `until`.
    CoolingDown { until: Duration },
}

/// A server's change from one stage to the other.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    /// The new stage.
    pub(crate) stage: Stage,
    pub(crate) state: ChangeState,
}

impl Change {
    /// Returns whether the proxies must not send new requests to the server.
    pub(crate) fn is_in_progress(&self) -> bool {
        !matches!(self.state, ChangeState::CoolingDown { .. })
    }

    /// Returns whether the change has ended by `now` without a list or a report that confirms it.
    pub(crate) fn is_expired(&self, now: Duration) -> bool {
        match self.state {
            ChangeState::Unconfirmed { until } | ChangeState::CoolingDown { until } => now >= until,
            ChangeState::Announced { .. } | ChangeState::Ordered | ChangeState::Settling { .. } => false,
        }
    }

    /// Returns whether the list should have shown the new stage by `now`.
    pub(crate) fn is_overdue(&self, now: Duration) -> bool {
        matches!(self.state, ChangeState::Settling { until } if now >= until)
    }
}
