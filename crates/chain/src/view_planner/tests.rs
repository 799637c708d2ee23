//! Tests of view plans that are made from the heartbeats of the peers.

use crate::heartbeat::{Heartbeat, Link};
use crate::log_event::{FaultyReplica, ReplicaFault, ViewChangeReason};
use crate::member::MemberId;
use crate::peers::Peers;
use crate::settings::ReplicaSettings;
use crate::view::View;
use crate::view_planner::ViewPlanner;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(100);
/// More steps than the longest timeout of the settings takes.
const MANY_STEPS: u32 = 60;
/// The index of the newest committed entry.
const COMMITTED_INDEX: u64 = 100;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn member(number: u8) -> MemberId {
    MemberId { address: address(number), disk: u64::from(number) }
}

fn view(members: &[u8], chain: &[u8]) -> View {
    View {
        number: 4,
        members: members.iter().copied().map(member).collect(),
        chain: chain.iter().copied().map(member).collect(),
        source: None,
        lineage: Vec::new(),
        last_known_served: 3,
        fault_tolerance: 1,
        min_members: 3,
    }
}

/// The contents of the heartbeats of one peer.
#[derive(Clone)]
struct Report {
    peer: u8,
    disk: u64,
    linked: &'static [u8],
    disk_healthy: bool,
    counts_for_quorum: bool,
    durable_commit_index: u64,
    /// Whether the peer holds the history of the view.
    has_view_history: bool,
    is_leaving: bool,
}

fn healthy_report(peer: u8, linked: &'static [u8]) -> Report {
    Report {
        peer,
        disk: u64::from(peer),
        linked,
        disk_healthy: true,
        counts_for_quorum: true,
        durable_commit_index: COMMITTED_INDEX,
        has_view_history: true,
        is_leaving: false,
    }
}

fn leaving(report: Report) -> Report {
    Report { is_leaving: true, ..report }
}

/// The same peer with a new, empty disk.
fn wiped(report: Report) -> Report {
    Report { disk: 77, durable_commit_index: 0, has_view_history: false, ..report }
}

fn behind(report: Report) -> Report {
    Report { durable_commit_index: COMMITTED_INDEX / 2, has_view_history: false, ..report }
}

/// The plan of process 1 after the peers have sent these heartbeats for a long time.
fn plan(
    view: &View, peer_reports: &[Report],
) -> Option<(Vec<MemberId>, Vec<MemberId>, Option<ViewChangeReason>)> {
    plan_with(view, peer_reports, &[])
}

/// The same plan with these members known to hold every acknowledged entry.
fn plan_with(
    view: &View, peer_reports: &[Report], up_to_date_members: &[MemberId],
) -> Option<(Vec<MemberId>, Vec<MemberId>, Option<ViewChangeReason>)> {
    with_planner(view, peer_reports, |planner| {
        let plan = planner.plan(up_to_date_members)?;
        let reason = planner.change_reason(&plan);
        Some((plan.members, plan.chain, reason))
    })
}

/// Calls `find` with the planner of process 1 after the peers have sent these heartbeats for a long time.
fn with_planner<T>(view: &View, peer_reports: &[Report], find: impl FnOnce(&ViewPlanner<'_>) -> T) -> T {
    let settings = ReplicaSettings::new(address(1), Vec::new(), false, 1, 1);
    let mut peers = Peers::new(address(1), settings.suspect_after);
    for member in &view.members {
        peers.add(member.address, Duration::ZERO);
    }
    for step in 0..MANY_STEPS {
        for report in peer_reports {
            peers.record_heartbeat(address(report.peer), heartbeat(report), STEP * step);
        }
    }
    let now = STEP * MANY_STEPS;
    find(&ViewPlanner {
        view,
        local_member: member(1),
        disk_healthy: true,
        may_bootstrap: false,
        is_leaving: false,
        installed_view: 4,
        committed_index: COMMITTED_INDEX,
        peers: &peers,
        settings: &settings,
        now,
    })
}

fn heartbeat(report: &Report) -> Heartbeat {
    let link = |number: &u8| Link { peer: address(*number), bidirectional: true };
    Heartbeat {
        sender: MemberId { address: address(report.peer), disk: report.disk },
        incarnation: 1,
        may_bootstrap: false,
        counts_for_quorum: report.counts_for_quorum,
        view: 4,
        installed_view: if report.has_view_history { 4 } else { 3 },
        sealed: false,
        synced_index: 0,
        committed: None,
        durable_commit_index: Some(report.durable_commit_index),
        is_leaving: report.is_leaving,
        disk_healthy: report.disk_healthy,
        links: report.linked.iter().map(link).collect(),
    }
}

fn members(numbers: &[u8]) -> Vec<MemberId> {
    numbers.iter().copied().map(member).collect()
}

#[rstest]
#[case::all_healthy(&[1, 2, 3], &[healthy_report(2, &[1, 3]), healthy_report(3, &[1, 2])], &[1, 2, 3], None)]
#[case::one_unreachable(&[1, 2, 3], &[healthy_report(2, &[1])], &[1, 2], Some(ViewChangeReason::ChainBroken))]
#[case::one_returns(&[1, 2], &[healthy_report(2, &[1, 3]), healthy_report(3, &[1, 2])], &[1, 2, 3], Some(ViewChangeReason::ChainExtension))]
#[case::two_cannot_reach_each_other(&[1, 2, 3], &[healthy_report(2, &[1]), healthy_report(3, &[1])], &[1, 2], Some(ViewChangeReason::ChainBroken))]
#[case::chain_intact_for_others(&[2, 3], &[healthy_report(2, &[1, 3])], &[1, 2], None)]
fn chain_contains_members_that_reach_each_other(
    #[case] chain: &[u8], #[case] peer_reports: &[Report], #[case] planned: &[u8],
    #[case] reason: Option<ViewChangeReason>,
) {
    let mut planned = members(planned);
    let view = view(&[1, 2, 3], chain);
    planned.sort_by_key(|member| view.position(*member).unwrap_or(usize::MAX));
    assert_eq!(plan(&view, peer_reports), Some((members(&[1, 2, 3]), planned, reason)));
}

#[rstest]
#[case::receives_heartbeats_but_reaches_nobody(&[healthy_report(2, &[3]), healthy_report(3, &[2])])]
#[case::receives_no_heartbeats(&[])]
fn process_without_a_quorum_plans_nothing(#[case] peer_reports: &[Report]) {
    assert_eq!(plan(&view(&[1, 2, 3], &[1, 2, 3]), peer_reports), None);
}

#[test]
fn replica_with_unhealthy_disk_leaves_the_chain() {
    let with_disk_fault = Report { disk_healthy: false, ..healthy_report(3, &[1, 2]) };
    let (_, chain, reason) =
        plan(&view(&[1, 2, 3], &[3, 2, 1]), &[healthy_report(2, &[1, 3]), with_disk_fault]).unwrap();
    assert_eq!((chain, reason), (members(&[2, 1]), Some(ViewChangeReason::ChainBroken)));
}

#[test]
fn insufficient_chain_is_not_proposed() {
    let with_disk_fault = Report { disk_healthy: false, ..healthy_report(2, &[1]) };
    let (_, _, reason) = plan(&view(&[1, 2, 3], &[1, 2, 3]), &[with_disk_fault]).unwrap();
    assert_eq!(reason, None);
}

#[test]
fn new_disk_replaces_the_lost_one_at_its_address() {
    let new = Report { disk: 77, ..healthy_report(3, &[1, 2]) };
    let (planned, _, reason) = plan(&view(&[1, 2, 3], &[1, 2]), &[healthy_report(2, &[1, 3]), new]).unwrap();
    assert_eq!(planned, vec![member(1), member(2), MemberId { address: address(3), disk: 77 }]);
    assert_eq!(reason, Some(ViewChangeReason::MembershipChange));
}

#[rstest]
#[case::for_a_failed_member(&[healthy_report(2, &[1, 4]), healthy_report(4, &[1, 2])], &[1, 2, 4])]
#[case::not_while_all_are_alive(&[healthy_report(2, &[1, 3, 4]), healthy_report(3, &[1, 2, 4]), healthy_report(4, &[1, 2, 3])], &[1, 2, 3])]
#[case::for_a_leaving_member(&[healthy_report(2, &[1, 3, 4]), leaving(healthy_report(3, &[1, 2, 4])), healthy_report(4, &[1, 2, 3])], &[1, 2, 4])]
#[case::for_a_member_with_a_lost_disk(&[healthy_report(2, &[1, 3, 4]), wiped(healthy_report(3, &[1, 2, 4])), healthy_report(4, &[1, 2, 3])], &[1, 2, 4])]
#[case::not_while_the_learner_is_leaving(&[healthy_report(2, &[1, 4]), leaving(healthy_report(4, &[1, 2]))], &[1, 2, 3])]
#[case::not_while_the_learner_lacks_history(&[healthy_report(2, &[1, 4]), behind(healthy_report(4, &[1, 2]))], &[1, 2, 3])]
#[case::one_at_a_time(&[leaving(healthy_report(2, &[1, 3, 4, 5])), leaving(healthy_report(3, &[1, 2, 4, 5])), healthy_report(4, &[1, 2, 3, 5]), healthy_report(5, &[1, 2, 3, 4])], &[1, 4, 3])]
fn learner_replaces_at_most_one_member(#[case] peer_reports: &[Report], #[case] planned: &[u8]) {
    let (planned_members, _, _) = plan(&view(&[1, 2, 3], &[1, 2]), peer_reports).unwrap();
    assert_eq!(planned_members, members(planned));
}

#[test]
fn process_that_does_not_count_for_quorum_is_not_added() {
    let newcomer = Report { counts_for_quorum: false, ..healthy_report(4, &[1, 2]) };
    let (planned_members, _, _) =
        plan(&view(&[1, 2, 3], &[1, 2]), &[healthy_report(2, &[1, 4]), newcomer]).unwrap();
    assert_eq!(planned_members, members(&[1, 2, 3]));
}

/// A leaving replica is removed from the chain while it is still running.
#[test]
fn leaving_replica_is_not_in_the_next_chain() {
    let peer_reports = [healthy_report(2, &[1, 3]), leaving(healthy_report(3, &[1, 2]))];
    let planned = plan(&view(&[1, 2, 3], &[1, 2, 3]), &peer_reports).unwrap();
    assert_eq!(planned, (members(&[1, 2, 3]), members(&[1, 2]), Some(ViewChangeReason::ChainBroken)));
}

/// Of two replicas that cannot be in the same chain, the one with more links is chosen.
#[rstest]
#[case::the_second(&[healthy_report(2, &[1, 4]), healthy_report(3, &[1]), healthy_report(4, &[1, 2])], &[1, 2])]
#[case::the_third(&[healthy_report(2, &[1]), healthy_report(3, &[1, 4]), healthy_report(4, &[1, 3])], &[1, 3])]
fn replica_with_more_links_is_preferred(#[case] peer_reports: &[Report], #[case] planned: &[u8]) {
    let (_, chain, _) = plan(&view(&[1, 2, 3], &[1, 2, 3]), peer_reports).unwrap();
    assert_eq!(chain, members(planned));
}

/// A replica that alone holds the history must not leave the chain, since the history would be lost.
#[test]
fn leaving_member_stays_until_others_hold_the_history() {
    let peer_reports = [
        healthy_report(2, &[1, 3, 4]),
        leaving(healthy_report(3, &[1, 2, 4])),
        healthy_report(4, &[1, 2, 3]),
    ];
    let (planned, chain, _) =
        plan_with(&view(&[1, 2, 3], &[1, 2, 3]), &peer_reports, &members(&[3])).unwrap();
    assert_eq!((planned, chain), (members(&[1, 2, 3]), members(&[1, 2, 3])));
}

/// One of the two replicas that hold the view's history has failed. It is replaced once two of the remaining
/// members hold the history.
#[rstest]
#[case::too_few_others(false, &[1, 2, 3])]
#[case::enough_others(true, &[1, 4, 3])]
fn member_is_replaced_once_enough_others_hold_the_history(
    #[case] has_view_history: bool, #[case] planned: &[u8],
) {
    let peer_reports =
        [Report { has_view_history, ..healthy_report(3, &[1, 4]) }, healthy_report(4, &[1, 3])];
    let (planned_members, chain, reason) = plan(&view(&[1, 2, 3], &[1, 2]), &peer_reports).unwrap();
    assert_eq!((planned_members, reason), (members(planned), Some(ViewChangeReason::ChainBroken)));
    assert!(chain.len() >= 2 && !chain.contains(&member(2)), "{chain:?}");
}

/// A member that lacks many entries would delay the view whose chain it joins.
#[test]
fn member_that_is_behind_stays_outside_the_chain() {
    let peer_reports = [healthy_report(2, &[1, 3]), behind(healthy_report(3, &[1, 2]))];
    let (_, chain, reason) = plan(&view(&[1, 2, 3], &[1, 2]), &peer_reports).unwrap();
    assert_eq!((chain, reason), (members(&[1, 2]), None));
}

/// A process with a new disk at the address of a member must fetch the history before it becomes a member.
#[test]
fn new_disk_without_history_is_not_a_member() {
    let peer_reports = [healthy_report(2, &[1, 3]), wiped(healthy_report(3, &[1, 2]))];
    let (planned, _, _) = plan(&view(&[1, 2, 3], &[1, 2]), &peer_reports).unwrap();
    assert_eq!(planned, members(&[1, 2, 3]));
}

/// A log of an earlier version may contain a view with four members. A surplus member is removed even if all
/// are healthy.
#[test]
fn surplus_member_is_removed_from_an_even_number() {
    let all: Vec<Report> = (2..=4).map(|peer| healthy_report(peer, &[1, 2, 3, 4])).collect();
    let (planned, _, reason) = plan(&view(&[1, 2, 3, 4], &[1, 2, 4]), &all).unwrap();
    assert_eq!((planned, reason), (members(&[1, 2, 4]), Some(ViewChangeReason::MembershipChange)));
}

/// A view that serves with one member is extended by two members or not at all.
#[rstest]
#[case::one_learner(&[healthy_report(2, &[1])], &[1])]
#[case::two_learners(&[healthy_report(2, &[1, 3]), healthy_report(3, &[1, 2])], &[1, 2, 3])]
fn vacancies_are_filled_to_an_odd_number(#[case] peer_reports: &[Report], #[case] planned: &[u8]) {
    let single = View { fault_tolerance: 0, min_members: 1, ..view(&[1], &[1]) };
    let (planned_members, _, _) = plan(&single, peer_reports).unwrap();
    assert_eq!(planned_members, members(planned));
}

#[test]
fn surplus_member_that_is_gone_is_removed_first() {
    let peer_reports = [healthy_report(2, &[1, 3]), healthy_report(3, &[1, 2])];
    let (planned_members, chain, _) = plan(&view(&[1, 2, 3, 4], &[1, 2, 4]), &peer_reports).unwrap();
    assert_eq!((planned_members, chain), (members(&[1, 2, 3]), members(&[1, 2, 3])));
}

/// A chain is no longer than needed, but contains a replica that is the only one to hold the history.
#[rstest]
#[case::none_known(&[], &[1, 2, 3])]
#[case::last_member(&[5], &[1, 2, 5])]
#[case::one_in_the_chain(&[2, 4], &[1, 2, 3])]
fn chain_contains_an_up_to_date_member(#[case] up_to_date_members: &[u8], #[case] planned: &[u8]) {
    let all = [1, 2, 3, 4, 5];
    let peer_reports: Vec<Report> = (2..=5).map(|peer| healthy_report(peer, &[1, 2, 3, 4, 5])).collect();
    let (_, chain, _) =
        plan_with(&view(&all, &[1, 2, 3]), &peer_reports, &members(up_to_date_members)).unwrap();
    assert_eq!(chain, members(planned));
}

/// Process 1 has links to two members that have no link with each other. The member that holds the history is
/// preferred.
#[test]
fn clique_with_an_up_to_date_member_is_preferred() {
    let peer_reports = [healthy_report(2, &[1]), healthy_report(3, &[1])];
    let (_, chain, _) = plan_with(&view(&[1, 2, 3], &[1, 2]), &peer_reports, &members(&[3])).unwrap();
    assert_eq!(chain, members(&[1, 3]));
}

/// The log states which replica caused a view to be proposed, and its fault.
#[rstest]
#[case::healthy(&[healthy_report(2, &[1, 3]), healthy_report(3, &[1, 2])], None)]
#[case::unreachable(&[healthy_report(2, &[1])], Some((3, ReplicaFault::Unreachable)))]
#[case::unreachable_only_from_this_process(&[healthy_report(2, &[1, 3])], Some((3, ReplicaFault::LinkSevered)))]
#[case::wiped(&[healthy_report(2, &[1, 3]), wiped(healthy_report(3, &[1, 2]))], Some((3, ReplicaFault::DiskLost)))]
#[case::leaves(&[leaving(healthy_report(2, &[1, 3])), healthy_report(3, &[1, 2])], Some((2, ReplicaFault::Leaving)))]
#[case::disk(
    &[Report { disk_healthy: false, ..healthy_report(2, &[1, 3]) }, healthy_report(3, &[1, 2])],
    Some((2, ReplicaFault::DiskFault))
)]
#[case::link(&[healthy_report(2, &[1]), healthy_report(3, &[1])], Some((2, ReplicaFault::LinkSevered)))]
fn faulty_replica_is_reported_with_its_fault(
    #[case] peer_reports: &[Report], #[case] expected: Option<(u8, ReplicaFault)>,
) {
    let view = view(&[1, 2, 3], &[1, 2, 3]);
    let found = with_planner(&view, peer_reports, |planner| planner.faulty_replica());
    let expected = expected.map(|(number, fault)| FaultyReplica { address: address(number), fault });
    assert_eq!(found, expected);
}

/// Before the first view, members are known only by address, so a different disk is not a fault.
#[test]
fn no_replica_is_faulty_before_the_first_view() {
    let view = View { number: 0, ..view(&[1, 2, 3], &[]) };
    let reports = [wiped(healthy_report(2, &[1, 3])), healthy_report(3, &[1, 2])];
    assert_eq!(with_planner(&view, &reports, |planner| planner.faulty_replica()), None);
}
