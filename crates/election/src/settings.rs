//! Roles and the settings of an elector.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The number of percent in the whole.
const PERCENT: u32 = 100;

/// A singleton role: at most one process holds it at a time.
///
/// The encoded names must not change; see docs/GLOSSARY.md.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Polls the platform's server list and orders model servers to change their stage.
    #[serde(rename = "ListReader")]
    ListWatcher,
    /// Orders model servers to change their stage. No process campaigns for this role on its own: the list
    /// watcher does its work.
    #[serde(rename = "StageOrders")]
    StagePlanner,
}

/// The settings of an elector. None of them has a default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ElectorSettings {
    /// The address by which the other control processes know this process. At most one process uses an
    /// address at a time.
    pub local_address: SocketAddr,
    /// The role to elect a holder for.
    pub role: Role,
    /// The duration of a lease, which must be the same at all processes. For a role with a deployment limit
    /// on how fast its holder may change, this is `Bounds.LeaseMs`.
    pub lease_duration: Duration,
    /// The interval between renewals. It must be well below half of the lease duration, so that a single lost
    /// renewal does not end the lease.
    pub renew_interval: Duration,
    /// The maximum deviation of a steady clock's rate from true time, in percent. The holder shortens
    /// [`ElectorSettings::lease_duration`] by this much; voters extend it by this much.
    pub clock_drift_percent: u32,
    /// The seed of the random generator for backoffs and the first request id. It must differ between
    /// processes and between starts.
    pub seed: u64,
}

impl ElectorSettings {
    /// Returns how long the holder may act on a lease, counted from before it sent the request.
    pub(crate) fn holder_lease_duration(&self) -> Duration {
        self.lease_duration * PERCENT.saturating_sub(self.clock_drift_percent) / PERCENT
    }

    /// Returns how long a voter honours a lease, counted from when it granted the lease.
    pub(crate) fn voter_lease_duration(&self) -> Duration {
        self.lease_duration * PERCENT.saturating_add(self.clock_drift_percent) / PERCENT
    }
}
