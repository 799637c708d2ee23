//! The settings of the state machines, from the settings of the process.

use lugwharf_chain::ReplicaSettings;
use lugwharf_election::{ElectorSettings, Role};
use lugwharf_settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;

/// The lease of the list reader: with an election round, one read and the way to the fronts it has to fit twice into
/// `DrainMs` (3 s), and a renewal must survive a pause of some hundred ms.
const LEASE_DURATION: Duration = Duration::from_millis(1_200);
/// How often the lease is renewed.
const LEASE_RENEW_INTERVAL: Duration = Duration::from_millis(350);
/// Steady clocks of two machines differ by far less.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// The replica's settings. A process whose log was lost does not count as one that starts for the first time.
pub fn replica_settings(
    settings: &Settings, local_address: SocketAddr, seed: u64, log_lost: bool,
) -> ReplicaSettings {
    let bootstrap = settings.bootstrap && !log_lost;
    let counts_for_quorum = settings.counts_for_quorum;
    let replica = ReplicaSettings::new(
        local_address,
        seeds(settings),
        bootstrap,
        settings.fault_tolerance.machines,
        seed,
    );
    ReplicaSettings { counts_for_quorum, ..replica }
}

/// The peer addresses of the seeds.
pub fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    let peer = settings.internal_ports().peer;
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), peer)).collect()
}

/// The settings of the election of the list reader.
pub fn elector_settings(local_address: SocketAddr, seed: u64) -> ElectorSettings {
    ElectorSettings {
        local_address,
        role: Role::ListWatcher,
        lease_duration: LEASE_DURATION,
        renew_interval: LEASE_RENEW_INTERVAL,
        clock_drift_percent: CLOCK_DRIFT_PERCENT,
        seed,
    }
}
