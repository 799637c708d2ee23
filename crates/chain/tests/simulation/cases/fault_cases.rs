//! Tests of crashes, power losses, lost and faulty disks, replaced machines and flapping links.

use crate::cases::support::{
    SECOND, bootstrapped_cluster, commit_change, crash, lose_power, read_back, submit,
};
use crate::harness::{Cluster, CutMode, Fault, FaultSchedule, Link, Scenario, ScheduledFault, address};
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn without_faults_there_is_one_view() {
    let mut cluster = bootstrapped_cluster(1, Scenario::three_nodes());
    cluster.run_round(FaultSchedule::default()).unwrap();
    assert_eq!(cluster.newest_view, 1);
    assert!(cluster.checker.acknowledged_count > 10);
}

#[test]
fn nothing_is_acknowledged_before_there_are_enough_members() {
    let mut cluster =
        Cluster::new(3, Scenario { node_count: 3, fault_tolerance: 2, ..Scenario::three_nodes() });
    let request = cluster.generate_valid_submission();
    cluster.start_call(0, request, None);
    cluster.run_for(10 * SECOND).unwrap();
    assert_eq!(cluster.checker.acknowledged_count, 0);
    cluster.inject(Fault::AddMachine);
    cluster.run_for(5 * SECOND).unwrap();
    assert_eq!(cluster.checker.acknowledged_count, 0);
    cluster.inject(Fault::AddMachine);
    cluster.run_for(6 * SECOND).unwrap();
    assert_eq!(cluster.checker.acknowledged_count, 1);
}

/// For each pattern of cut links between three machines, the number of view changes is bounded, and changes
/// are acknowledged if any two machines still reach each other in both directions.
#[test]
fn every_pattern_of_cut_links_leads_to_a_stable_view() {
    let links = [Link::both(0, 1), Link::both(0, 2), Link::both(1, 2)].concat();
    for pattern in 0_usize..1 << links.len() {
        let chosen = (0..links.len()).filter(|index| pattern & (1 << index) != 0);
        let cut: Vec<Link> = chosen.map(|index| links[index]).collect();
        let mut cluster = bootstrapped_cluster(pattern as u64, Scenario::three_nodes());
        let before = cluster.newest_view;
        cluster.inject(Fault::CutLinks { links: cut.clone(), mode: CutMode::Drop });
        cluster.run_for(20 * SECOND).unwrap();
        assert!(cluster.newest_view <= before + 2, "{cut:?}: {} views", cluster.newest_view - before);
        let is_connected =
            |pair: &[usize; 2]| Link::both(pair[0], pair[1]).iter().all(|link| !cut.contains(link));
        let pairs = [[0, 1], [0, 2], [1, 2]];
        let Some(pair) = pairs.into_iter().find(is_connected) else { continue };
        let request = cluster.generate_valid_submission();
        let end = cluster.now + 4 * SECOND;
        cluster.start_call_at(0, request, end, &pair);
        cluster.run_until(end).unwrap();
        assert!(cluster.clients[0].call.is_none(), "{cut:?}: not acknowledged");
        cluster.inject(Fault::HealLinks);
        cluster.run_for(5 * SECOND).unwrap();
        commit_change(&mut cluster);
    }
}

/// The maximum tolerated number of disks is lost right after an acknowledgement, while all machines lose
/// power.
#[rstest]
#[case::one_of_three(Scenario::three_nodes())]
#[case::two_of_five(Scenario::five_nodes())]
fn disks_lost_after_an_acknowledgement_lose_no_change(
    #[case] scenario: Scenario, #[values(0, 3, 500)] after_ms: u64,
) {
    for seed in 0..20 {
        let mut cluster = bootstrapped_cluster(seed, scenario.clone());
        commit_change(&mut cluster);
        cluster.run_for(Duration::from_millis(after_ms)).unwrap();
        let all: Vec<usize> = (0..scenario.node_count).collect();
        let wiped: Vec<usize> = cluster.rng.choose_multiple(all.iter().copied(), scenario.fault_tolerance);
        lose_power(&mut cluster, &all, &wiped, SECOND);
        cluster.run_for(4 * SECOND).unwrap();
        read_back(&mut cluster);
        commit_change(&mut cluster);
    }
}

/// Disks are lost one after the other, each after the previous machine has had time to catch up.
#[test]
fn disks_lost_one_after_the_other_lose_no_change() {
    for seed in 0..10 {
        let mut cluster = bootstrapped_cluster(seed, Scenario::three_nodes());
        for node in [0, 1, 2, 0, 2, 1] {
            commit_change(&mut cluster);
            lose_power(&mut cluster, &[node], &[node], SECOND);
            cluster.run_for(5 * SECOND).unwrap();
            read_back(&mut cluster);
        }
        assert!(cluster.checker.acknowledged_version() > 0);
    }
}

/// Machines that have all lost their disks do not bootstrap a second cluster.
#[test]
fn machines_with_lost_disks_do_not_bootstrap() {
    let mut cluster = bootstrapped_cluster(5, Scenario::three_nodes());
    let views = cluster.newest_view;
    lose_power(&mut cluster, &[0, 1, 2], &[0, 1, 2], SECOND);
    let acknowledged = cluster.checker.acknowledged_count;
    let request = cluster.generate_valid_submission();
    cluster.start_call(0, request, None);
    cluster.run_for(20 * SECOND).unwrap();
    assert_eq!(cluster.newest_view, views);
    assert_eq!(cluster.checker.acknowledged_count, acknowledged);
}

/// A machine whose disk is lost before a view was decided does not take part in bootstrapping. The other
/// machines bootstrap the cluster.
#[test]
fn a_disk_lost_while_bootstrapping_does_not_prevent_it() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, Scenario::three_nodes());
        let request = cluster.generate_valid_submission();
        cluster.start_call(0, request, Some(10 * SECOND));
        let moment = Duration::from_millis(cluster.rng.u64(250..800));
        cluster.run_until(moment).unwrap();
        let node = cluster.rng.usize(..3);
        lose_power(&mut cluster, &[node], &[node], SECOND);
        cluster.run_until(10 * SECOND).unwrap();
        assert_eq!(cluster.checker.acknowledged_count, 1, "seed {seed}");
    }
}

/// All processes crash during bootstrapping. Their disks and settings are preserved.
#[test]
fn bootstrapping_survives_a_crash_of_all_processes() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, Scenario::three_nodes());
        let request = cluster.generate_valid_submission();
        cluster.start_call(0, request, Some(10 * SECOND));
        let moment = Duration::from_millis(cluster.rng.u64(50..800));
        cluster.run_until(moment).unwrap();
        crash(&mut cluster, &[0, 1, 2], Duration::from_millis(300));
        cluster.run_until(10 * SECOND).unwrap();
        assert_eq!(cluster.checker.acknowledged_count, 1, "seed {seed}");
    }
}

#[rstest]
#[case::pause(Fault::Pause { node: 1 }, Some(Fault::Resume { node: 1 }), 450)]
#[case::slow_disk(Fault::SlowDisk { node: 1, factor: 25 }, None, 5_000)]
#[case::hung_disk(Fault::HangDisk { node: 1, time: Duration::from_millis(500) }, None, 5_000)]
fn short_faults_do_not_change_the_view(
    #[case] fault: Fault, #[case] end: Option<Fault>, #[case] time_ms: u64,
) {
    let mut cluster = bootstrapped_cluster(2, Scenario::three_nodes());
    cluster.inject(fault);
    if end.is_none() {
        commit_change(&mut cluster);
    }
    cluster.run_for(Duration::from_millis(time_ms)).unwrap();
    if let Some(end) = end {
        cluster.inject(end);
    }
    cluster.run_for(3 * SECOND).unwrap();
    commit_change(&mut cluster);
    assert_eq!(cluster.newest_view, 1);
}

/// A replica with a full disk is removed from the chain, changes are acknowledged without it, and it rejoins
/// the chain when the disk has space again.
#[rstest]
fn a_replica_with_a_full_disk_leaves_the_chain_and_rejoins(#[values(0, 1, 2)] node: usize) {
    let mut cluster = bootstrapped_cluster(4, Scenario::three_nodes());
    cluster.inject(Fault::FillDisk { node, is_full: true });
    for _ in 0..3 {
        commit_change(&mut cluster);
    }
    assert_eq!(cluster.newest_view, 2);
    cluster.inject(Fault::FillDisk { node, is_full: false });
    cluster.run_for(4 * SECOND).unwrap();
    assert_eq!(cluster.newest_view, 3);
    commit_change(&mut cluster);
    let status = cluster.status(node);
    assert!(status.is_serving && status.chain_position.is_some() && status.disk_healthy, "{status:?}");
}

#[rstest]
fn changes_are_acknowledged_despite_a_hanging_disk(#[values(0, 1, 2)] node: usize) {
    let mut cluster = bootstrapped_cluster(4, Scenario::three_nodes());
    cluster.inject(Fault::HangDisk { node, time: 8 * SECOND });
    commit_change(&mut cluster);
    commit_change(&mut cluster);
    cluster.run_for(12 * SECOND).unwrap();
    commit_change(&mut cluster);
    assert!(cluster.newest_view <= 3);
}

/// The machine that acknowledged a change crashes right afterwards. A retry of the change is acknowledged by
/// any other machine.
#[test]
fn a_retried_change_is_acknowledged_after_a_crash() {
    for seed in 0..20 {
        let mut cluster = bootstrapped_cluster(seed, Scenario::three_nodes());
        commit_change(&mut cluster);
        let change = cluster.clients[0].last_acknowledged.clone().unwrap();
        crash(&mut cluster, &[0], 30 * SECOND);
        cluster.run_for(Duration::from_millis(500)).unwrap();
        cluster.expect_response(submit(&change)).unwrap();
        assert_eq!(cluster.checker.rejected_count, 0);
    }
}

/// A machine is replaced by an empty one at another address, which is added before or after the removal.
#[rstest]
fn a_replaced_machine_is_a_member(
    #[values(0, 1, 2)] node: usize, #[values(false, true)] is_added_first: bool,
) {
    let mut cluster = bootstrapped_cluster(7, Scenario::three_nodes());
    commit_change(&mut cluster);
    if is_added_first {
        cluster.inject(Fault::AddMachine);
        cluster.run_for(5 * SECOND).unwrap();
        cluster.inject(Fault::RemoveMachine { node });
    } else {
        cluster.inject(Fault::RemoveMachine { node });
        cluster.run_for(2 * SECOND).unwrap();
        cluster.inject(Fault::AddMachine);
    }
    cluster.run_for(5 * SECOND).unwrap();
    commit_change(&mut cluster);
    let present: BTreeSet<_> = cluster.present_nodes().into_iter().map(address).collect();
    let status = cluster.status(3);
    assert_eq!(status.members.iter().copied().collect::<BTreeSet<_>>(), present);
    assert_eq!(status.chain.len(), 3);
    read_back(&mut cluster);
}

/// All three machines are replaced one after the other, so that no initial seed address remains.
#[test]
fn replacing_all_machines_loses_no_change() {
    let mut cluster = bootstrapped_cluster(8, Scenario::three_nodes());
    for node in 0..3 {
        commit_change(&mut cluster);
        cluster.inject(Fault::RemoveMachine { node });
        cluster.run_for(SECOND).unwrap();
        cluster.inject(Fault::AddMachine);
        cluster.run_for(6 * SECOND).unwrap();
    }
    read_back(&mut cluster);
    crash(&mut cluster, &[3, 4, 5], SECOND);
    cluster.run_for(4 * SECOND).unwrap();
    read_back(&mut cluster);
    commit_change(&mut cluster);
}

/// The log is rewritten repeatedly, and all machines recover from it.
#[test]
fn all_machines_recover_from_a_rewritten_log() {
    let mut cluster =
        bootstrapped_cluster(9, Scenario { rewrite_threshold_bytes: 3_000, ..Scenario::three_nodes() });
    for _ in 0..60 {
        commit_change(&mut cluster);
    }
    lose_power(&mut cluster, &[0, 1, 2], &[], SECOND);
    cluster.run_for(4 * SECOND).unwrap();
    read_back(&mut cluster);
    assert!(cluster.nodes[0].process.as_ref().unwrap().log.len_bytes() < 60 * 200);
}

/// Changes are acknowledged again within three seconds after a replica has crashed.
#[rstest]
fn changes_are_acknowledged_soon_after_a_crash(#[values(0, 1, 2)] node: usize) {
    for seed in 0..10 {
        let mut cluster = bootstrapped_cluster(seed, Scenario::three_nodes());
        crash(&mut cluster, &[node], 20 * SECOND);
        let started_at = cluster.now;
        commit_change(&mut cluster);
        let took = cluster.now - started_at;
        assert!(took < 3 * SECOND, "seed {seed}: {took:?}");
    }
}

/// The flapping links of one machine do not prevent the others from serving.
#[test]
fn flapping_links_do_not_keep_the_others_from_serving() {
    let mut cluster = bootstrapped_cluster(11, Scenario::three_nodes());
    let links = [Link::both(0, 1), Link::both(0, 2)].concat();
    let mut faults = Vec::new();
    for index in 0..6 {
        let at = Duration::from_millis(1_600 * index);
        faults.push(ScheduledFault::at(at, Fault::CutLinks { links: links.clone(), mode: CutMode::Drop }));
        faults.push(ScheduledFault::at(at + Duration::from_millis(900), Fault::HealLinks));
    }
    cluster.run_round(FaultSchedule { faults, ..FaultSchedule::default() }).unwrap();
    assert!(cluster.newest_view < 14, "{} views", cluster.newest_view);
}

/// Guards against view changes under a CPU quota. Each process runs for 40 ms of every 100 ms, at different
/// offsets. This must count neither as a pause of the process, nor as missing heartbeats, nor as a slow disk:
/// the view does not change and each change is acknowledged.
#[rstest]
#[case::three(Scenario::three_nodes())]
#[case::five(Scenario::five_nodes())]
fn processes_under_a_quota_keep_their_view_and_acknowledge_changes(#[case] scenario: Scenario) {
    const STEP: Duration = Duration::from_millis(20);
    const STEPS_PER_PERIOD: usize = 5;
    const RUNNING_STEPS: usize = 2;
    for seed in 0..10 {
        let mut cluster = bootstrapped_cluster(seed, scenario.clone());
        let nodes: Vec<usize> = (0..scenario.node_count).collect();
        let (view, end) = (cluster.newest_view, cluster.now + 20 * SECOND);
        let mut step = 0;
        while cluster.now < end {
            for node in &nodes {
                let is_running = (step + node) % STEPS_PER_PERIOD < RUNNING_STEPS;
                let fault =
                    if is_running { Fault::Resume { node: *node } } else { Fault::Pause { node: *node } };
                cluster.inject(fault);
            }
            if step % 50 == 0 {
                let request = cluster.generate_valid_submission();
                cluster.start_call(0, request, None);
            }
            cluster.run_for(STEP).unwrap();
            step += 1;
        }
        nodes.iter().for_each(|node| cluster.inject(Fault::Resume { node: *node }));
        assert_eq!(cluster.newest_view, view, "seed {seed}");
        assert!(
            cluster.checker.acknowledged_count > 15,
            "seed {seed}: {}",
            cluster.checker.acknowledged_count
        );
        commit_change(&mut cluster);
    }
}
