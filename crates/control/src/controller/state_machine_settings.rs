//! Derives the settings of the replica and the elector from the settings of the process.

use lugwharf_chain::ReplicaSettings;
use lugwharf_election::{ElectorSettings, Role};
use lugwharf_settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;

/// The duration of the list watcher's lease. Together with an election round, one read and the distribution
/// to the front-end nodes, it has to fit twice into `DrainMs` (3 s). It must be long enough that a holder
/// survives a pause of a few hundred ms.
const LEASE_DURATION: Duration = Duration::from_millis(1_200);
/// The interval at which the lease is renewed.
const LEASE_RENEW_INTERVAL: Duration = Duration::from_millis(350);
/// The maximum rate difference of two monotonic clocks, in percent. Real clocks differ by far less.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// Returns the settings of the replica. A process whose log was quarantined must not bootstrap a new control
/// plane, because this is not its first start.
pub fn replica_settings(
    settings: &Settings, local_address: SocketAddr, rng_seed: u64, was_log_quarantined: bool,
) -> ReplicaSettings {
    let bootstrap = settings.bootstrap && !was_log_quarantined;
    let counts_for_quorum = settings.counts_for_quorum;
    let replica = ReplicaSettings::new(
        local_address,
        replica_seeds(settings),
        bootstrap,
        settings.fault_tolerance.machines,
        rng_seed,
    );
    ReplicaSettings { counts_for_quorum, ..replica }
}

/// Returns the seeds of the replica: the peer addresses of the seed machines in the settings.
pub fn replica_seeds(settings: &Settings) -> Vec<SocketAddr> {
    let peer = settings.internal_ports().peer;
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), peer)).collect()
}

/// Returns the settings of the elector of the list watcher.
pub fn elector_settings(local_address: SocketAddr, rng_seed: u64) -> ElectorSettings {
    ElectorSettings {
        local_address,
        role: Role::ListWatcher,
        lease_duration: LEASE_DURATION,
        renew_interval: LEASE_RENEW_INTERVAL,
        clock_drift_percent: CLOCK_DRIFT_PERCENT,
        seed: rng_seed,
    }
}
