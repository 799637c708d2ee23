//! Helpers for the test cases.

use crate::harness::{Change, ClientRequest, Cluster, Fault, Scenario};
use std::time::Duration;

pub const SECOND: Duration = Duration::from_secs(1);
/// A machine that has restarted or was added counts as lost for this long.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Creates a cluster and runs it until its first change is acknowledged.
pub fn bootstrapped_cluster(seed: u64, scenario: Scenario) -> Cluster {
    let mut cluster = Cluster::new(seed, scenario);
    cluster.bootstrap().unwrap();
    cluster
}

/// Asserts that a new change is acknowledged in time.
pub fn commit_change(cluster: &mut Cluster) {
    cluster.expect_change_acknowledged().unwrap();
}

/// Asserts that `count` changes are acknowledged in time. Returns the first of them.
pub fn commit_changes(cluster: &mut Cluster, count: usize) -> Change {
    commit_change(cluster);
    let first = cluster.clients[0].last_acknowledged.clone().unwrap();
    for _ in 1..count {
        commit_change(cluster);
    }
    first
}

/// Asserts that a read returns the newest acknowledged configuration in time.
pub fn read_back(cluster: &mut Cluster) {
    cluster.expect_read().unwrap();
}

/// A request that submits a change again, or a change whose base need not be acknowledged.
pub fn submit(change: &Change) -> ClientRequest {
    ClientRequest::Submit { change: change.clone(), is_base_acknowledged: false }
}

/// Crashes processes, which restart after `restart_after`.
pub fn crash(cluster: &mut Cluster, nodes: &[usize], restart_after: Duration) {
    cluster.inject(Fault::crash(nodes, restart_after));
}

/// Cuts the power of machines, which restart after `restart_after`. The `wiped` ones also lose their disks.
pub fn lose_power(cluster: &mut Cluster, nodes: &[usize], wiped: &[usize], restart_after: Duration) {
    cluster.inject(Fault::power_loss(nodes, wiped, restart_after));
}
