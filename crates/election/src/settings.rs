//! Roles, and the settings of an elector.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

const PERCENT: u32 = 100;

/// A singleton role: at most one process holds it at a time.
///
/// Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Reads the platform's list of servers and orders model servers to change their stage.
    #[serde(rename = "ListReader")]
    ListWatcher,
    /// Orders model servers to change their stage. No process stands for it by itself: the list watcher does its work.
    #[serde(rename = "StageOrders")]
    StagePlanner,
}

/// The settings of an elector; none has a default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ElectorSettings {
    /// The address by which the other control processes know this one. One process at a time uses an address.
    pub local_address: SocketAddr,
    /// The role that is elected.
    pub role: Role,
    /// How long a lease lasts; the same at all processes. For a role whose holders must not take turns faster than the
    /// deployment allows, `Bounds.LeaseMs`.
    pub lease_duration: Duration,
    /// The time between renewals; well below half of the lease, so that one lost renewal does not end it.
    pub renew_interval: Duration,
    /// How much faster or slower than true time a steady clock may run, in percent. A holder's lease ends this much
    /// earlier than [`ElectorSettings::lease_duration`] says, a voter's grant this much later.
    pub clock_drift_percent: u32,
    /// Seeds the generator of backoffs and of the first request id; differs from process to process and from start to
    /// start.
    pub seed: u64,
}

impl ElectorSettings {
    /// How long a holder acts on a lease, counted from before its request was sent.
    pub(crate) fn holder_lease_duration(&self) -> Duration {
        self.lease_duration * PERCENT.saturating_sub(self.clock_drift_percent) / PERCENT
    }

    /// How long a voter keeps a lease that it granted, counted from when it granted it.
    pub(crate) fn voter_lease_duration(&self) -> Duration {
        self.lease_duration * PERCENT.saturating_add(self.clock_drift_percent) / PERCENT
    }
}
