//! Tests which machines are members at each step of a repair, and which further failures are tolerated then.
//! The table is in `docs/design/membership.md`.

use crate::cases::support::{
    CATCH_UP_TIME, SECOND, bootstrapped_cluster, commit_change, lose_power, read_back,
};
use crate::harness::{Cluster, Fault, Scenario};
use crate::runs::RunKind;
use lugwharf_chain::LeaveState;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

/// The time within which a machine that was removed without notice is suspected and replaced by a learner.
const REPLACED_WITHIN: Duration = Duration::from_millis(1_500);

/// The restart delay of a machine that is to stay down for the rest of a run.
const DOWN_TIME: Duration = Duration::from_secs(600);

/// Asserts that the cluster tolerates failures: changes are acknowledged and read back while the maximum
/// number of machines, chosen at random, is down.
fn assert_tolerates_losses(cluster: &mut Cluster) {
    let running = (0..cluster.nodes.len()).filter(|node| cluster.nodes[*node].is_up());
    let running: Vec<usize> = running.collect();
    let lost = cluster.rng.choose_multiple(running, cluster.scenario.fault_tolerance);
    lose_power(cluster, &lost, &[], DOWN_TIME);
    commit_change(cluster);
    read_back(cluster);
}

/// The machines that a process considers members.
fn members(cluster: &Cluster, node: usize) -> BTreeSet<usize> {
    let at = |address: std::net::SocketAddr| cluster.nodes.iter().position(|node| node.address == address);
    cluster.status(node).members.into_iter().filter_map(at).collect()
}

/// A machine is added and an existing one leaves gracefully. Other machines fail immediately afterwards or a
/// little later.
#[rstest]
#[case::three(Scenario::three_nodes())]
#[case::five(Scenario::five_nodes())]
fn losses_after_a_planned_replacement_are_tolerated(
    #[case] scenario: Scenario, #[values(0, 300, 1_500)] after_ms: u64,
) {
    for seed in 0..10 {
        let mut cluster = bootstrapped_cluster(seed, scenario.clone());
        cluster.inject(Fault::AddMachine);
        cluster.run_for(6 * SECOND).unwrap();
        commit_change(&mut cluster);
        cluster.inject(Fault::LeaveGracefully { node: 0, restart_after: None });
        while cluster.nodes[0].is_up() {
            cluster.run_for(Duration::from_millis(1)).unwrap();
        }
        cluster.run_for(Duration::from_millis(after_ms)).unwrap();
        assert_tolerates_losses(&mut cluster);
    }
}

/// An existing machine is removed without notice and is replaced by the learner once it is suspected.
#[rstest]
#[case::three(Scenario::three_nodes())]
#[case::five(Scenario::five_nodes())]
fn losses_after_an_unplanned_replacement_are_tolerated(#[case] scenario: Scenario) {
    for seed in 0..10 {
        let mut cluster = bootstrapped_cluster(seed, scenario.clone());
        cluster.inject(Fault::AddMachine);
        cluster.run_for(6 * SECOND).unwrap();
        commit_change(&mut cluster);
        cluster.inject(Fault::RemoveMachine { node: 0 });
        cluster.run_for(REPLACED_WITHIN).unwrap();
        assert_tolerates_losses(&mut cluster);
    }
}

/// A machine is removed first and a new one is added a second later. Other machines may fail once the new one
/// has caught up.
#[rstest]
#[case::three(Scenario::three_nodes())]
#[case::five(Scenario::five_nodes())]
fn losses_after_a_replacement_has_caught_up_are_tolerated(#[case] scenario: Scenario) {
    for seed in 0..10 {
        let mut cluster = bootstrapped_cluster(seed, scenario.clone());
        commit_change(&mut cluster);
        cluster.inject(Fault::RemoveMachine { node: 1 });
        cluster.run_for(SECOND).unwrap();
        cluster.inject(Fault::AddMachine);
        cluster.run_for(CATCH_UP_TIME).unwrap();
        assert_tolerates_losses(&mut cluster);
    }
}

/// Machines with lost disks count again after their catch-up time. Until then, theirs is the tolerated loss.
#[rstest]
#[case::three(Scenario::three_nodes())]
#[case::five(Scenario::five_nodes())]
fn losses_after_lost_disks_are_tolerated(
    #[case] scenario: Scenario, #[values(false, true)] has_learner: bool,
) {
    for seed in 0..10 {
        let mut cluster = bootstrapped_cluster(seed, scenario.clone());
        if has_learner {
            cluster.inject(Fault::AddMachine);
            cluster.run_for(6 * SECOND).unwrap();
        }
        let wiped: BTreeSet<usize> = (0..scenario.fault_tolerance).collect();
        let nodes: Vec<usize> = wiped.iter().copied().collect();
        let restart_after = vec![SECOND; nodes.len()];
        cluster.inject(Fault::LosePower { nodes, wiped, restart_after });
        commit_change(&mut cluster);
        cluster.run_for(CATCH_UP_TIME + SECOND).unwrap();
        assert_tolerates_losses(&mut cluster);
    }
}

/// A replica with a full disk is removed from the chain. No learner replaces it, since the member can vote
/// again later.
#[rstest]
#[case::three(Scenario::three_nodes())]
#[case::five(Scenario::five_nodes())]
fn losses_after_a_full_disk_are_tolerated(#[case] scenario: Scenario) {
    for seed in 0..10 {
        let mut cluster = bootstrapped_cluster(seed, scenario.clone());
        cluster.inject(Fault::FillDisk { node: 0, is_full: true });
        commit_change(&mut cluster);
        cluster.inject(Fault::FillDisk { node: 0, is_full: false });
        cluster.run_for(CATCH_UP_TIME).unwrap();
        assert_tolerates_losses(&mut cluster);
    }
}

/// All initial machines are replaced one after the other, and each of them leaves gracefully.
#[rstest]
#[case::three(Scenario::three_nodes())]
#[case::five(Scenario::five_nodes())]
fn all_machines_are_replaced_gracefully(#[case] scenario: Scenario) {
    let mut cluster = bootstrapped_cluster(3, scenario.clone());
    for node in 0..scenario.node_count {
        cluster.inject(Fault::AddMachine);
        cluster.run_for(CATCH_UP_TIME).unwrap();
        commit_change(&mut cluster);
        cluster.inject(Fault::LeaveGracefully { node, restart_after: None });
        cluster.run_for(2 * SECOND).unwrap();
        assert!(!cluster.nodes[node].is_up());
        read_back(&mut cluster);
    }
    let added: BTreeSet<usize> = (scenario.node_count..2 * scenario.node_count).collect();
    assert_eq!(members(&cluster, scenario.node_count), added);
    assert_tolerates_losses(&mut cluster);
}

/// If there are more machines than members, the others are learners that hold the committed history.
#[rstest]
#[case::four(4, 1, 3)]
#[case::six(6, 1, 3)]
#[case::six_that_tolerate_two(6, 2, 5)]
#[case::eighteen(18, 1, 3)]
fn additional_machines_are_learners(
    #[case] node_count: usize, #[case] fault_tolerance: usize, #[case] member_count: usize,
) {
    let mut cluster =
        bootstrapped_cluster(5, Scenario { node_count, fault_tolerance, ..Scenario::three_nodes() });
    for _ in 0..5 {
        commit_change(&mut cluster);
    }
    cluster.run_for(2 * SECOND).unwrap();
    let newest = cluster.checker.acknowledged_version();
    for node in 0..node_count {
        let status = cluster.status(node);
        assert_eq!(status.members.len(), member_count, "{status:?}");
        assert_eq!(status.committed_version, Some(newest), "{status:?}");
        assert!(status.durable_commit_index >= 5 && status.has_quorum, "{status:?}");
    }
}

/// A process that leaves gracefully is removed from the chain within 800 ms, and its subsequent termination
/// does not delay changes.
#[rstest]
#[case::without_a_learner(3, LeaveState::OutOfChain)]
#[case::with_a_learner(4, LeaveState::Left)]
fn a_member_leaves_within_the_time_limit(#[case] node_count: usize, #[case] state: LeaveState) {
    for seed in 0..20 {
        let mut cluster = bootstrapped_cluster(seed, Scenario { node_count, ..Scenario::three_nodes() });
        commit_change(&mut cluster);
        let leaving = cluster.rng.usize(0..3);
        let incarnation = cluster.nodes[leaving].incarnation;
        cluster.handle_replica_event(leaving, incarnation, lugwharf_chain::Event::Leave);
        let started_at = cluster.now;
        while cluster.status(leaving).leave_state != state {
            cluster.run_for(Duration::from_millis(5)).unwrap();
            assert!(
                cluster.now < started_at + Duration::from_millis(800),
                "seed {seed}: {:?}",
                cluster.status(leaving)
            );
        }
        lose_power(&mut cluster, &[leaving], &[], DOWN_TIME);
        let started_at = cluster.now;
        commit_change(&mut cluster);
        assert!(
            cluster.now < started_at + Duration::from_millis(300),
            "seed {seed}: {:?}",
            cluster.now - started_at
        );
    }
}

/// Members restart gracefully one after the other, and changes are acknowledged throughout.
#[rstest]
#[case::three(3, 1)]
#[case::four(4, 1)]
#[case::five(5, 2)]
fn a_graceful_rolling_restart_does_not_interrupt_changes(
    #[case] node_count: usize, #[case] fault_tolerance: usize, #[values(1_500, 3_000)] gap_ms: u64,
) {
    for seed in 0..10 {
        let mut cluster =
            bootstrapped_cluster(seed, Scenario { node_count, fault_tolerance, ..Scenario::three_nodes() });
        for node in 0..node_count {
            cluster.inject(Fault::LeaveGracefully { node, restart_after: Some(Duration::from_millis(300)) });
            let started_at = cluster.now;
            commit_change(&mut cluster);
            assert!(cluster.now < started_at + 2 * SECOND, "seed {seed}: {:?}", cluster.now - started_at);
            cluster.run_until(started_at + Duration::from_millis(gap_ms)).unwrap();
        }
        cluster.run_for(CATCH_UP_TIME).unwrap();
        assert_tolerates_losses(&mut cluster);
    }
}

/// Guards against a chain that the other processes cannot reach. In these runs a machine was cut off from all
/// but one machine that had been added later, and the chain of these two received no requests from the
/// others.
#[rstest]
fn the_chain_is_reachable_by_the_other_members(#[values(3_003_137, 4_002_966, 4_003_179)] seed: u64) {
    assert_eq!(RunKind::GracefulLeaves.run_seed(seed), Ok(()));
}

/// The head was cut off from all but one process, which was added after the cut. That process forwards the
/// requests of the others.
#[test]
fn a_head_reachable_by_one_process_receives_all_requests() {
    assert_eq!(RunKind::GracefulLeaves.run_seed(20_061_014), Ok(()));
}

/// In these runs, power losses continued after the end of the fault period.
#[rstest]
fn a_power_loss_storm_ends_with_the_fault_period(#[values(4_001_684, 4_004_409)] seed: u64) {
    assert_eq!(RunKind::GracefulLeaves.run_seed(seed), Ok(()));
}
