//! What an elector is told at its start.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Bits of a token that count the elections within one view.
const COUNTER_BITS: u32 = 24;
/// Percent.
const PERCENT: u32 = 100;

/// A role that one process at a time holds.
///
/// Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Reads the platform's list of servers.
    #[serde(rename = "ListReader")]
    ListWatcher,
    /// Gives model servers their stage.
    #[serde(rename = "StageOrders")]
    StagePlanner,
}

/// A fencing token: every election of a role gives a higher one. The number of the view stands in the upper bits, so
/// that tokens of a later view are higher also where members of it know no earlier token.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The view in which the token was elected.
    pub fn view(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// The lowest token of `view` that is above `self`; `None` if the view has no more.
    pub(crate) fn next_in(self, view: u64) -> Option<Self> {
        let base = view.checked_mul(1 << COUNTER_BITS)?;
        let next = Self(self.0.max(base).checked_add(1)?);
        (next.view() == view).then_some(next)
    }
}

/// What an elector is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ElectorSettings {
    /// The address by which the other control processes know this one. One process at a time uses an address.
    pub local_address: SocketAddr,
    /// The role.
    pub role: Role,
    /// How long a grant lasts. The same at all processes; for a role under the rule on turns, `Bounds.LeaseMs`.
    pub lease_duration: Duration,
    /// The pause between renewals; well below half of the lease.
    pub renew_interval: Duration,
    /// How much faster or slower than true a steady clock may run, in percent: a holder stops so much earlier than its
    /// lease ends, a voter keeps its grant so much longer.
    pub clock_drift_percent: u32,
    /// Seeds the pauses between election rounds and the numbers of rounds; differs from process to process and from
    /// start to start.
    pub seed: u64,
}

impl ElectorSettings {
    /// How long a holder acts on a lease, from before its request was sent.
    pub(crate) fn holder_lease(&self) -> Duration {
        self.lease_duration * PERCENT.saturating_sub(self.clock_drift_percent) / PERCENT
    }

    /// How long a voter keeps its grant, from when it was given.
    pub(crate) fn voter_lease(&self) -> Duration {
        self.lease_duration * PERCENT.saturating_add(self.clock_drift_percent) / PERCENT
    }
}
