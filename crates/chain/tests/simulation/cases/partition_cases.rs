//! Tests of a machine that is partitioned or paused for a long time while an operator sends requests to it.

use crate::cases::support::{SECOND, bootstrapped_cluster, commit_change, read_back};
use crate::harness::{ClientRequest, Cluster, CutMode, Fault, Link, Scenario, address};
use rstest::rstest;
use std::time::Duration;

/// The duration of a partition, in seconds.
const CUT_SECONDS: u32 = 20;
/// The time within which a partitioned machine detects that it has no quorum. It consists of the timeout
/// after which peers are suspected (700 ms), which applies to the peer if one direction is cut, followed by
/// the next heartbeat of that peer (200 ms), and a tick (50 ms), plus a margin for delays.
const QUORUM_LOST_WITHIN: Duration = Duration::from_millis(1_000);
/// The time within which a machine learns what the others have committed after its links are healed: a
/// heartbeat, a request and a sync.
const CAUGHT_UP_WITHIN: Duration = Duration::from_secs(2);

/// The directions that are cut, from the point of view of the partitioned machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Both,
    From,
    To,
}

/// The links between a machine and all others.
fn links_of(node_count: usize, cut: usize, direction: Direction) -> Vec<Link> {
    let others = (0..node_count).filter(|other| *other != cut);
    others.flat_map(|other| links_between(cut, other, direction)).collect()
}

/// The links between two machines.
fn links_between(cut: usize, other: usize, direction: Direction) -> Vec<Link> {
    match direction {
        Direction::Both => Link::both(cut, other).to_vec(),
        Direction::From => vec![Link { from: cut, to: other }],
        Direction::To => vec![Link { from: other, to: cut }],
    }
}

/// A change based on a stale version, a change based on the newest version, and a read.
fn stale_and_new_requests(cluster: &mut Cluster, stale_base: u64) -> [ClientRequest; 3] {
    let stale = cluster.generate_change(stale_base);
    let valid = cluster.generate_valid_submission();
    let read = ClientRequest::Read { at_least: cluster.checker.acknowledged_version() };
    [ClientRequest::Submit { is_base_acknowledged: false, change: stale }, valid, read]
}

/// Asserts that a partitioned machine responds to no request within two seconds.
fn assert_no_response(cluster: &mut Cluster, cut: usize, stale_base: u64) {
    for request in stale_and_new_requests(cluster, stale_base) {
        let end = cluster.now + 60 * SECOND;
        cluster.start_call_at(1, request, end, &[cut]);
        cluster.run_for(2 * SECOND).unwrap();
        assert!(cluster.clients[1].call.is_some(), "machine {cut} responded");
    }
}

#[rstest]
#[case::three(3, 1)]
#[case::five(5, 2)]
fn a_partitioned_machine_does_not_respond(
    #[case] node_count: usize, #[case] fault_tolerance: usize, #[values(0, 1, 2)] cut: usize,
    #[values(Direction::Both, Direction::From, Direction::To)] direction: Direction,
    #[values(CutMode::Drop, CutMode::Delay)] mode: CutMode,
) {
    let mut cluster =
        bootstrapped_cluster(cut as u64, Scenario { node_count, fault_tolerance, ..Scenario::three_nodes() });
    commit_change(&mut cluster);
    let stale_base = cluster.checker.committed_version();
    let started_at = cluster.now;
    cluster.inject(Fault::CutLinks { links: links_of(node_count, cut, direction), mode });
    cluster.run_for(QUORUM_LOST_WITHIN).unwrap();
    assert!(!cluster.status(cut).has_quorum);
    while cluster.now < started_at + CUT_SECONDS * SECOND {
        commit_change(&mut cluster);
        assert_no_response(&mut cluster, cut, stale_base);
        assert!(!cluster.status(cut).has_quorum);
    }
    cluster.inject(Fault::HealLinks);
    cluster.run_for(CAUGHT_UP_WITHIN).unwrap();
    assert_eq!(cluster.status(cut).committed_version, Some(cluster.checker.committed_version()));
    assert!(cluster.status(cut).has_quorum);
    commit_change(&mut cluster);
    read_back(&mut cluster);
}

/// A resumed process handles the requests that arrived during the pause before it receives anything newer.
/// The checker verifies that its responses are valid for the current state of the other processes.
#[rstest]
fn a_resumed_machine_does_not_return_stale_responses(
    #[values(0, 1, 2)] node: usize, #[values(3, 4)] node_count: usize,
) {
    for seed in 0..10 {
        let mut cluster = bootstrapped_cluster(seed, Scenario { node_count, ..Scenario::three_nodes() });
        commit_change(&mut cluster);
        let stale_base = cluster.checker.committed_version();
        cluster.inject(Fault::Pause { node });
        for _ in 0..4 {
            commit_change(&mut cluster);
            cluster.run_for(5 * SECOND).unwrap();
        }
        for request in stale_and_new_requests(&mut cluster, stale_base) {
            // The request is queued until the process is resumed.
            cluster.start_call_at(1, request, cluster.now + 60 * SECOND, &[node]);
            cluster.run_for(Duration::from_millis(100)).unwrap();
            cluster.inject(Fault::Resume { node });
            cluster.run_for(3 * SECOND).unwrap();
            cluster.inject(Fault::Pause { node });
            cluster.run_for(2 * SECOND).unwrap();
        }
        cluster.inject(Fault::Resume { node });
        cluster.run_for(CAUGHT_UP_WITHIN).unwrap();
        assert_eq!(cluster.status(node).committed_version, Some(cluster.checker.committed_version()));
        commit_change(&mut cluster);
    }
}

/// The links between one machine and both ends of the chain are cut, while the other machines reach both the
/// ends and that machine.
#[rstest]
fn a_machine_cut_off_from_the_ends_of_the_chain_responds_through_forwarders(
    #[values(4, 5)] node_count: usize,
    #[values(Direction::Both, Direction::From, Direction::To)] direction: Direction,
    #[values(CutMode::Drop, CutMode::Delay)] mode: CutMode,
) {
    for seed in 0..5 {
        let mut cluster = bootstrapped_cluster(seed, Scenario { node_count, ..Scenario::three_nodes() });
        commit_change(&mut cluster);
        let chain = cluster.status(0).chain;
        let learner = (0..node_count)
            .find(|node| !chain.contains(&address(*node)))
            .expect("no machine is outside the chain");
        let ends = [chain.first(), chain.last()].map(|end| *end.expect("the chain is empty"));
        let is_end = |node: &usize| ends.contains(&address(*node));
        let cut: Vec<Link> =
            (0..node_count).filter(is_end).flat_map(|end| links_between(learner, end, direction)).collect();
        cluster.inject(Fault::CutLinks { links: cut, mode });
        cluster.run_for(QUORUM_LOST_WITHIN).unwrap();
        for _ in 0..3 {
            let read = ClientRequest::Read { at_least: cluster.checker.acknowledged_version() };
            for request in [cluster.generate_valid_submission(), read] {
                let end = cluster.now + 4 * SECOND;
                cluster.start_call_at(1, request, end, &[learner]);
                while cluster.clients[1].call.is_some() && cluster.now < end {
                    cluster.run_for(Duration::from_millis(50)).unwrap();
                }
                assert!(cluster.clients[1].call.is_none(), "seed {seed}: no response from machine {learner}");
            }
        }
    }
}
