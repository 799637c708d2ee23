//! The settings of the replica and the elector, from the settings of the process.

use lugwharf_chain::ReplicaSettings;
use lugwharf_election::{ElectorSettings, Role};
use lugwharf_settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;

/// The lease of the list watcher. With an election round, one read and the way to the fronts it has to fit twice into
/// `DrainMs` (3 s), and a holder must survive a pause of some hundred ms.
const LEASE_DURATION: Duration = Duration::from_millis(1_200);
/// How often the lease is renewed.
const LEASE_RENEW_INTERVAL: Duration = Duration::from_millis(350);
/// How much faster one monotonic clock may run than another; real ones differ by far less.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// The replica's settings. A process whose log was quarantined may not found a control plane: it does not start for the first time.
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

/// The seeds of the replica as the settings have them: the peer addresses of the seeds' machines.
pub fn replica_seeds(settings: &Settings) -> Vec<SocketAddr> {
    let peer = settings.internal_ports().peer;
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), peer)).collect()
}

/// The settings of the elector of the list watcher.
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
