//! Plans for views from the heartbeats of the peers.

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
/// More steps than any timeout in the settings takes.
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

/// What one peer reports.
#[derive(Clone)]
struct Report {
    peer: u8,
    disk: u64,
    linked: &'static [u8],
    disk_healthy: bool,
    counts_for_quorum: bool,
    durable_commit_index: u64,
    /// Whether it holds the history of the view.
    holds_history: bool,
    is_leaving: bool,
}

fn reports(peer: u8, linked: &'static [u8]) -> Report {
    Report {
        peer,
        disk: u64::from(peer),
        linked,
        disk_healthy: true,
        counts_for_quorum: true,
        durable_commit_index: COMMITTED_INDEX,
        holds_history: true,
        is_leaving: false,
    }
}

fn leaving(report: Report) -> Report {
    Report { is_leaving: true, ..report }
}

/// It has a new, empty disk.
fn wiped(report: Report) -> Report {
    Report { disk: 77, durable_commit_index: 0, holds_history: false, ..report }
}

fn behind(report: Report) -> Report {
    Report { durable_commit_index: COMMITTED_INDEX / 2, holds_history: false, ..report }
}

/// The plan of process 1 after the peers have reported this for a long time.
fn plan(
    view: &View, reports_of_peers: &[Report],
) -> Option<(Vec<MemberId>, Vec<MemberId>, Option<ViewChangeReason>)> {
    plan_with(view, reports_of_peers, &[])
}

/// The same for a chain that needs one of these holders.
fn plan_with(
    view: &View, reports_of_peers: &[Report], holders: &[MemberId],
) -> Option<(Vec<MemberId>, Vec<MemberId>, Option<ViewChangeReason>)> {
    with_planner(view, reports_of_peers, |planner| {
        let plan = planner.plan(holders)?;
        let reason = planner.change_reason(&plan);
        Some((plan.members, plan.chain, reason))
    })
}

/// What the planner of process 1 finds after the peers have reported this for a long time.
fn with_planner<T>(view: &View, reports_of_peers: &[Report], find: impl FnOnce(&ViewPlanner<'_>) -> T) -> T {
    let settings = ReplicaSettings::new(address(1), Vec::new(), false, 1, 1);
    let mut peers = Peers::new(address(1), settings.suspect_after);
    for member in &view.members {
        peers.add(member.address, Duration::ZERO);
    }
    for step in 0..MANY_STEPS {
        for report in reports_of_peers {
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
        installed_view: if report.holds_history { 4 } else { 3 },
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
#[case::all_healthy(&[1, 2, 3], &[reports(2, &[1, 3]), reports(3, &[1, 2])], &[1, 2, 3], None)]
#[case::one_silent(&[1, 2, 3], &[reports(2, &[1])], &[1, 2], Some(ViewChangeReason::ChainBroken))]
#[case::one_returns(&[1, 2], &[reports(2, &[1, 3]), reports(3, &[1, 2])], &[1, 2, 3], Some(ViewChangeReason::ChainExtension))]
#[case::one_is_not_heard_by_another(&[1, 2, 3], &[reports(2, &[1]), reports(3, &[1])], &[1, 2], Some(ViewChangeReason::ChainBroken))]
#[case::chain_intact_for_others(&[2, 3], &[reports(2, &[1, 3])], &[1, 2], None)]
fn chain_follows_the_links(
    #[case] chain: &[u8], #[case] reports_of_peers: &[Report], #[case] planned: &[u8],
    #[case] reason: Option<ViewChangeReason>,
) {
    let mut planned = members(planned);
    let view = view(&[1, 2, 3], chain);
    planned.sort_by_key(|member| view.position(*member).unwrap_or(usize::MAX));
    assert_eq!(plan(&view, reports_of_peers), Some((members(&[1, 2, 3]), planned, reason)));
}

#[rstest]
#[case::hears_but_is_not_heard(&[reports(2, &[3]), reports(3, &[2])])]
#[case::hears_nobody(&[])]
fn process_without_a_quorum_plans_nothing(#[case] reports_of_peers: &[Report]) {
    assert_eq!(plan(&view(&[1, 2, 3], &[1, 2, 3]), reports_of_peers), None);
}

#[test]
fn replica_with_unhealthy_disk_leaves_the_chain() {
    let full = Report { disk_healthy: false, ..reports(3, &[1, 2]) };
    let (_, chain, reason) = plan(&view(&[1, 2, 3], &[3, 2, 1]), &[reports(2, &[1, 3]), full]).unwrap();
    assert_eq!((chain, reason), (members(&[2, 1]), Some(ViewChangeReason::ChainBroken)));
}

#[test]
fn insufficient_chain_is_not_proposed() {
    let full = Report { disk_healthy: false, ..reports(2, &[1]) };
    let (_, _, reason) = plan(&view(&[1, 2, 3], &[1, 2, 3]), &[full]).unwrap();
    assert_eq!(reason, None);
}

#[test]
fn new_disk_replaces_the_lost_one_at_its_address() {
    let new = Report { disk: 77, ..reports(3, &[1, 2]) };
    let (planned, _, reason) = plan(&view(&[1, 2, 3], &[1, 2]), &[reports(2, &[1, 3]), new]).unwrap();
    assert_eq!(planned, vec![member(1), member(2), MemberId { address: address(3), disk: 77 }]);
    assert_eq!(reason, Some(ViewChangeReason::MembershipChange));
}

#[rstest]
#[case::for_one_that_is_gone(&[reports(2, &[1, 4]), reports(4, &[1, 2])], &[1, 2, 4])]
#[case::for_none_while_all_are_alive(&[reports(2, &[1, 3, 4]), reports(3, &[1, 2, 4]), reports(4, &[1, 2, 3])], &[1, 2, 3])]
#[case::for_one_that_leaves(&[reports(2, &[1, 3, 4]), leaving(reports(3, &[1, 2, 4])), reports(4, &[1, 2, 3])], &[1, 2, 4])]
#[case::for_one_that_lost_its_disk(&[reports(2, &[1, 3, 4]), wiped(reports(3, &[1, 2, 4])), reports(4, &[1, 2, 3])], &[1, 2, 4])]
#[case::not_while_it_leaves_itself(&[reports(2, &[1, 4]), leaving(reports(4, &[1, 2]))], &[1, 2, 3])]
#[case::not_while_it_lacks_history(&[reports(2, &[1, 4]), behind(reports(4, &[1, 2]))], &[1, 2, 3])]
#[case::one_at_a_time(&[leaving(reports(2, &[1, 3, 4, 5])), leaving(reports(3, &[1, 2, 4, 5])), reports(4, &[1, 2, 3, 5]), reports(5, &[1, 2, 3, 4])], &[1, 4, 3])]
fn learner_replaces_at_most_one_member(#[case] reports_of_peers: &[Report], #[case] planned: &[u8]) {
    let (planned_members, _, _) = plan(&view(&[1, 2, 3], &[1, 2]), reports_of_peers).unwrap();
    assert_eq!(planned_members, members(planned));
}

#[test]
fn process_that_does_not_count_for_quorum_is_not_added() {
    let newcomer = Report { counts_for_quorum: false, ..reports(4, &[1, 2]) };
    let (planned_members, _, _) = plan(&view(&[1, 2, 3], &[1, 2]), &[reports(2, &[1, 4]), newcomer]).unwrap();
    assert_eq!(planned_members, members(&[1, 2, 3]));
}

/// A leaving replica is removed from the chain while it still works.
#[test]
fn leaving_replica_is_not_in_the_next_chain() {
    let reports_of_peers = [reports(2, &[1, 3]), leaving(reports(3, &[1, 2]))];
    let planned = plan(&view(&[1, 2, 3], &[1, 2, 3]), &reports_of_peers).unwrap();
    assert_eq!(planned, (members(&[1, 2, 3]), members(&[1, 2]), Some(ViewChangeReason::ChainBroken)));
}

/// Of two replicas that cannot be in one chain, the one with more links is chosen.
#[rstest]
#[case::the_second(&[reports(2, &[1, 4]), reports(3, &[1]), reports(4, &[1, 2])], &[1, 2])]
#[case::the_third(&[reports(2, &[1]), reports(3, &[1, 4]), reports(4, &[1, 3])], &[1, 3])]
fn replica_with_more_links_is_preferred(#[case] reports_of_peers: &[Report], #[case] planned: &[u8]) {
    let (_, chain, _) = plan(&view(&[1, 2, 3], &[1, 2, 3]), reports_of_peers).unwrap();
    assert_eq!(chain, members(planned));
}

/// A history that a single replica holds is not lost.
#[test]
fn leaving_holder_stays_until_others_hold_the_history() {
    let reports_of_peers = [reports(2, &[1, 3, 4]), leaving(reports(3, &[1, 2, 4])), reports(4, &[1, 2, 3])];
    let (planned, chain, _) =
        plan_with(&view(&[1, 2, 3], &[1, 2, 3]), &reports_of_peers, &members(&[3])).unwrap();
    assert_eq!((planned, chain), (members(&[1, 2, 3]), members(&[1, 2, 3])));
}

/// One of the two replicas that hold the view's history is gone: it is replaced once two remaining members hold it.
#[rstest]
#[case::not_yet(false, &[1, 2, 3])]
#[case::now(true, &[1, 4, 3])]
fn member_is_replaced_once_enough_others_hold_the_history(
    #[case] holds_history: bool, #[case] planned: &[u8],
) {
    let reports_of_peers = [Report { holds_history, ..reports(3, &[1, 4]) }, reports(4, &[1, 3])];
    let (planned_members, chain, reason) = plan(&view(&[1, 2, 3], &[1, 2]), &reports_of_peers).unwrap();
    assert_eq!((planned_members, reason), (members(planned), Some(ViewChangeReason::ChainBroken)));
    assert!(chain.len() >= 2 && !chain.contains(&member(2)), "{chain:?}");
}

/// A member that lacks much history would delay the view whose chain it joins.
#[test]
fn member_that_is_behind_stays_outside_the_chain() {
    let reports_of_peers = [reports(2, &[1, 3]), behind(reports(3, &[1, 2]))];
    let (_, chain, reason) = plan(&view(&[1, 2, 3], &[1, 2]), &reports_of_peers).unwrap();
    assert_eq!((chain, reason), (members(&[1, 2]), None));
}

/// A new disk at the address of a member learns the history first.
#[test]
fn new_disk_without_history_is_no_member() {
    let reports_of_peers = [reports(2, &[1, 3]), wiped(reports(3, &[1, 2]))];
    let (planned, _, _) = plan(&view(&[1, 2, 3], &[1, 2]), &reports_of_peers).unwrap();
    assert_eq!(planned, members(&[1, 2, 3]));
}

/// A log of an earlier version may name four members; a healthy one is removed as well.
#[test]
fn surplus_member_is_removed_from_an_even_number() {
    let all: Vec<Report> = (2..=4).map(|peer| reports(peer, &[1, 2, 3, 4])).collect();
    let (planned, _, reason) = plan(&view(&[1, 2, 3, 4], &[1, 2, 4]), &all).unwrap();
    assert_eq!((planned, reason), (members(&[1, 2, 4]), Some(ViewChangeReason::MembershipChange)));
}

/// A view that serves with one member gets none or two more.
#[rstest]
#[case::one_learner(&[reports(2, &[1])], &[1])]
#[case::two_learners(&[reports(2, &[1, 3]), reports(3, &[1, 2])], &[1, 2, 3])]
fn vacancies_are_filled_to_an_odd_number(#[case] reports_of_peers: &[Report], #[case] planned: &[u8]) {
    let single = View { fault_tolerance: 0, min_members: 1, ..view(&[1], &[1]) };
    let (planned_members, _, _) = plan(&single, reports_of_peers).unwrap();
    assert_eq!(planned_members, members(planned));
}

#[test]
fn surplus_member_that_is_gone_is_removed_first() {
    let reports_of_peers = [reports(2, &[1, 3]), reports(3, &[1, 2])];
    let (planned_members, chain, _) = plan(&view(&[1, 2, 3, 4], &[1, 2, 4]), &reports_of_peers).unwrap();
    assert_eq!((planned_members, chain), (members(&[1, 2, 3]), members(&[1, 2, 3])));
}

/// A chain is no longer than needed, but contains a replica that alone holds the history.
#[rstest]
#[case::nobody_in_particular(&[], &[1, 2, 3])]
#[case::one_at_the_end(&[5], &[1, 2, 5])]
#[case::one_that_is_in_it_anyway(&[2, 4], &[1, 2, 3])]
fn holder_is_in_the_chain(#[case] holders: &[u8], #[case] planned: &[u8]) {
    let all = [1, 2, 3, 4, 5];
    let reports_of_peers: Vec<Report> = (2..=5).map(|peer| reports(peer, &[1, 2, 3, 4, 5])).collect();
    let (_, chain, _) = plan_with(&view(&all, &[1, 2, 3]), &reports_of_peers, &members(holders)).unwrap();
    assert_eq!(chain, members(planned));
}

/// Process 1 has links to two members that have none to each other; the one that holds the history is preferred.
#[test]
fn clique_with_a_holder_is_preferred() {
    let reports_of_peers = [reports(2, &[1]), reports(3, &[1])];
    let (_, chain, _) = plan_with(&view(&[1, 2, 3], &[1, 2]), &reports_of_peers, &members(&[3])).unwrap();
    assert_eq!(chain, members(&[1, 3]));
}

/// Operators read which replica a view was proposed for, and what is wrong with it.
#[rstest]
#[case::healthy(&[reports(2, &[1, 3]), reports(3, &[1, 2])], None)]
#[case::silent(&[reports(2, &[1])], Some((3, ReplicaFault::Unreachable)))]
#[case::silent_here_alone(&[reports(2, &[1, 3])], Some((3, ReplicaFault::LinkSevered)))]
#[case::wiped(&[reports(2, &[1, 3]), wiped(reports(3, &[1, 2]))], Some((3, ReplicaFault::DiskLost)))]
#[case::leaves(&[leaving(reports(2, &[1, 3])), reports(3, &[1, 2])], Some((2, ReplicaFault::Leaving)))]
#[case::disk(
    &[Report { disk_healthy: false, ..reports(2, &[1, 3]) }, reports(3, &[1, 2])],
    Some((2, ReplicaFault::DiskFault))
)]
#[case::link(&[reports(2, &[1]), reports(3, &[1])], Some((2, ReplicaFault::LinkSevered)))]
fn faulty_replica_is_named_with_what_is_wrong(
    #[case] reports_of_peers: &[Report], #[case] expected: Option<(u8, ReplicaFault)>,
) {
    let view = view(&[1, 2, 3], &[1, 2, 3]);
    let found = with_planner(&view, reports_of_peers, |planner| planner.faulty_replica());
    let expected = expected.map(|(number, fault)| FaultyReplica { address: address(number), fault });
    assert_eq!(found, expected);
}

/// Before the first view members are known by address alone, and no disk of theirs is lost.
#[test]
fn nothing_is_faulty_before_the_first_view() {
    let view = View { number: 0, ..view(&[1, 2, 3], &[]) };
    let reports = [wiped(reports(2, &[1, 3])), reports(3, &[1, 2])];
    assert_eq!(with_planner(&view, &reports, |planner| planner.faulty_replica()), None);
}
