//! Tests of state transfer: machines that have missed hundreds of changes obtain the history, whatever faults
//! occur meanwhile.

use crate::cases::support::{
    CATCH_UP_TIME, SECOND, bootstrapped_cluster, commit_change, commit_changes, crash, lose_power, read_back,
    submit,
};
use crate::harness::{ChunkFault, Cluster, Fault, Scenario};
use lugwharf_chain::HistoryLimits;
use rstest::rstest;
use std::time::Duration;

/// The interval at which a machine that catches up is checked.
const STEP: Duration = Duration::from_millis(5);
/// A restart delay longer than any test case.
const DOWN_TIME: Duration = Duration::from_secs(100_000);

/// A scenario in which the log is rewritten often and the history is transferred in many chunks.
fn small_limits() -> Scenario {
    Scenario {
        history: HistoryLimits { max_headers: 100, max_bodies: 2 },
        rewrite_threshold_bytes: 20_000,
        chunk_bytes: 1_500,
        ..Scenario::three_nodes()
    }
}

/// A scenario with three replicas in the chain and two learners.
fn with_learners() -> Scenario {
    Scenario { node_count: 5, ..small_limits() }
}

/// The highest committed index that any process knows.
fn committed_index(cluster: &Cluster) -> u64 {
    let up = cluster.present_nodes().into_iter().filter(|node| cluster.nodes[*node].is_up());
    up.map(|node| cluster.status(node).committed_index).max().unwrap_or(0)
}

/// Whether a machine holds the committed history on disk.
fn has_caught_up(cluster: &Cluster, node: usize) -> bool {
    cluster.nodes[node].is_up() && cluster.status(node).durable_commit_index == committed_index(cluster)
}

/// Restarts a machine and runs until it holds the history. Returns the time that this took. There are no
/// changes meanwhile, so the machine must not be in the chain of a serving view before it holds the history.
fn catch_up(cluster: &mut Cluster, node: usize) -> Duration {
    let started_at = cluster.now;
    cluster.boot(node);
    while !has_caught_up(cluster, node) {
        assert!(
            cluster.now < started_at + CATCH_UP_TIME,
            "{:?} of {}",
            cluster.status(node),
            committed_index(cluster)
        );
        let status = cluster.status(node);
        assert!(status.chain_position.is_none() || !status.is_serving, "serves too early: {status:?}");
        cluster.run_for(STEP).unwrap();
    }
    cluster.now - started_at
}

/// Asserts that changes are acknowledged, that all machines hold them in the end, and that the chain has
/// three replicas again.
fn assert_recovers(cluster: &mut Cluster) {
    cluster.run_for(CATCH_UP_TIME).unwrap();
    commit_change(cluster);
    read_back(cluster);
    cluster.run_for(SECOND).unwrap();
    for node in cluster.present_nodes() {
        assert!(has_caught_up(cluster, node), "{node}: {:?}", cluster.status(node));
    }
    assert_eq!(cluster.status(0).chain.len(), 3);
    assert_eq!(cluster.checker.rejected_count, 0);
}

/// Learners receive each change without requesting it.
#[test]
fn learners_hold_the_committed_history() {
    let mut cluster = bootstrapped_cluster(1, with_learners());
    cluster.run_for(CATCH_UP_TIME).unwrap();
    let before = cluster.chunks_sent;
    commit_changes(&mut cluster, 200);
    cluster.run_for(SECOND).unwrap();
    for node in 0..5 {
        assert!(has_caught_up(&cluster, node), "{node}: {:?}", cluster.status(node));
    }
    assert!(cluster.status(4).chain_position.is_none() && committed_index(&cluster) > 200);
    assert_eq!(cluster.chunks_sent, before, "chunks were requested without a fault");
}

/// The catch-up time after thousands of changes is bounded. The test also prints this time.
#[rstest]
#[case::dropped_headers(small_limits(), 2, 3_000, Duration::from_millis(1_500))]
#[case::all_headers(Scenario { history: HistoryLimits::default(), chunk_bytes: 16 << 10, ..small_limits() }, 2, 3_000, Duration::from_millis(1_500))]
#[case::head(small_limits(), 0, 1_000, Duration::from_millis(1_500))]
#[case::learner(with_learners(), 4, 3_000, Duration::from_millis(1_500))]
fn a_machine_catches_up_after_thousands_of_changes(
    #[case] scenario: Scenario, #[case] node: usize, #[case] changes: usize, #[case] bound: Duration,
) {
    let mut cluster = bootstrapped_cluster(2, scenario);
    crash(&mut cluster, &[node], DOWN_TIME);
    cluster.run_for(3 * SECOND).unwrap();
    commit_changes(&mut cluster, changes);
    let took = catch_up(&mut cluster, node);
    println!("{changes} changes: {} ms, {} chunks", took.as_millis(), cluster.chunks_sent);
    assert!(took <= bound, "{took:?}");
    assert_recovers(&mut cluster);
}

/// Changes are acknowledged while the machine catches up.
#[rstest]
fn a_machine_catches_up_with_concurrent_changes(#[values(2, 4)] node: usize) {
    for seed in 0..10 {
        let mut cluster = bootstrapped_cluster(seed, with_learners());
        crash(&mut cluster, &[node], DOWN_TIME);
        cluster.run_for(3 * SECOND).unwrap();
        commit_changes(&mut cluster, 150);
        cluster.boot(node);
        commit_changes(&mut cluster, 100);
        cluster.run_for(SECOND).unwrap();
        assert!(has_caught_up(&cluster, node), "seed {seed}: {:?}", cluster.status(node));
        assert_recovers(&mut cluster);
    }
}

#[rstest]
fn a_transfer_survives_a_fault_at_each_chunk(
    #[values(
        ChunkFault::Lost,
        ChunkFault::SenderCrashes,
        ChunkFault::ReceiverCrashes,
        ChunkFault::BothLosePower,
        ChunkFault::ReceiverLosesDisk
    )]
    fault: ChunkFault,
    #[values(2, 4)] node: usize,
) {
    let mut reached = 0;
    for chunk in 1..=24 {
        let scenario = if node == 2 { small_limits() } else { with_learners() };
        let mut cluster = bootstrapped_cluster(chunk, scenario);
        let node = node.min(cluster.nodes.len() - 1);
        cluster.run_for(CATCH_UP_TIME).unwrap();
        crash(&mut cluster, &[node], DOWN_TIME);
        cluster.run_for(3 * SECOND).unwrap();
        commit_changes(&mut cluster, 120);
        cluster.chunk_fault = Some((cluster.chunks_sent + chunk as usize, fault));
        cluster.boot(node);
        cluster.run_for(SECOND).unwrap();
        reached += usize::from(cluster.chunk_fault.take().is_none());
        assert_recovers(&mut cluster);
    }
    assert!(reached >= 6, "the fault was injected at only {reached} chunks");
}

/// A machine repeatedly loses its disk while it receives the history.
#[test]
fn a_transfer_survives_lost_disks_of_the_receiver() {
    let mut cluster = bootstrapped_cluster(3, small_limits());
    for chunk in 1..=5 {
        crash(&mut cluster, &[1], DOWN_TIME);
        cluster.run_for(3 * SECOND).unwrap();
        commit_changes(&mut cluster, 300);
        cluster.chunk_fault = Some((cluster.chunks_sent + chunk, ChunkFault::ReceiverLosesDisk));
        cluster.boot(1);
        assert_recovers(&mut cluster);
        assert_eq!(cluster.chunk_fault, None, "chunk {chunk}");
    }
}

/// A process crashes in each step of a rewrite: creating the file, writing and syncing it, renaming it,
/// syncing the directory.
#[rstest]
fn a_rewrite_of_the_log_survives_a_crash_in_each_step(#[values(0, 1, 2)] node: usize) {
    for steps in 0..12 {
        let mut cluster =
            bootstrapped_cluster(steps as u64, Scenario { rewrite_threshold_bytes: 4_000, ..small_limits() });
        cluster.nodes[node].rewrite_steps_before_crash = Some(steps);
        cluster.rewrite_fault = Some((node, Fault::crash(&[node], Duration::from_millis(300))));
        let first = commit_changes(&mut cluster, 40);
        assert!(cluster.rewrite_fault.is_none(), "the log was not rewritten");
        assert_recovers(&mut cluster);
        lose_power(&mut cluster, &[0, 1, 2], &[], SECOND);
        assert_recovers(&mut cluster);
        cluster.expect_response(submit(&first)).unwrap();
        assert_eq!(cluster.checker.rejected_count, 0);
    }
}

/// A replica that lacks only a few entries is added to the chain at once. If the links are so slow that it
/// does not obtain them before the view counts as stalled, the transfer resumes in the next view at the
/// offset that it had reached.
#[test]
fn a_transfer_continues_in_the_next_view() {
    let max_delay = Duration::from_millis(150);
    let scenario = Scenario { max_delay, chunk_bytes: 60, ..small_limits() };
    for seed in 0..10 {
        let mut cluster = bootstrapped_cluster(seed, scenario.clone());
        crash(&mut cluster, &[1], DOWN_TIME);
        cluster.run_for(3 * SECOND).unwrap();
        commit_changes(&mut cluster, 30);
        let before = cluster.newest_view;
        cluster.boot(1);
        cluster.run_for(10 * SECOND).unwrap();
        let views = cluster.newest_view - before;
        assert!(views >= 2, "seed {seed}: the view never stalled");
        assert_recovers(&mut cluster);
    }
}
