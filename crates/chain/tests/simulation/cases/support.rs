//! Helpers of the cases.

use crate::harness::{Change, ClientRequest, Cluster, Fault, Scenario};
use std::time::Duration;

pub const SECOND: Duration = Duration::from_secs(1);
/// A machine that is back or was added counts as lost for this long.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// A cluster whose first change is acknowledged.
pub fn bootstrapped_cluster(seed: u64, scenario: Scenario) -> Cluster {
    let mut cluster = Cluster::new(seed, scenario);
    cluster.bootstrap().unwrap();
    cluster
}

/// A change is acknowledged now, in time.
pub fn commit_change(cluster: &mut Cluster) {
    cluster.expect_change_acknowledged().unwrap();
}

/// So many changes are acknowledged. Returns the first of them.
pub fn commit_changes(cluster: &mut Cluster, count: usize) -> Change {
    commit_change(cluster);
    let first = cluster.clients[0].last_acknowledged.clone().unwrap();
    for _ in 1..count {
        commit_change(cluster);
    }
    first
}

/// A read returns the newest acknowledged configuration now, in time.
pub fn read_back(cluster: &mut Cluster) {
    cluster.expect_read().unwrap();
}

/// The request to submit a change again, or one whose base need not be acknowledged.
pub fn submit(change: &Change) -> ClientRequest {
    ClientRequest::Submit { change: change.clone(), is_base_acknowledged: false }
}

/// Processes die and start again after a time.
pub fn crash(cluster: &mut Cluster, nodes: &[usize], restart_after: Duration) {
    cluster.inject(Fault::crash(nodes, restart_after));
}

/// Machines lose power, some of them their disks too, and start again after a time.
pub fn lose_power(cluster: &mut Cluster, nodes: &[usize], wiped: &[usize], restart_after: Duration) {
    cluster.inject(Fault::power_loss(nodes, wiped, restart_after));
}
