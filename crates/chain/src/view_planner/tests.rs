//! Which view suits what is heard of the others.

use crate::heartbeat::{Heartbeat, Link};
use crate::log_event::ViewChangeReason;
use crate::member::MemberId;
use crate::peers::Peers;
use crate::settings::ReplicaSettings;
use crate::view::View;
use crate::view_planner::ViewPlanner;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(100);
/// Long enough for every pause in the settings.
const LONG: u32 = 60;
/// The newest committed entry.
const COMMITTED: u64 = 100;

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

/// What one peer says.
#[derive(Clone)]
struct Says {
    peer: u8,
    disk: u64,
    hears: &'static [u8],
    disk_healthy: bool,
    counts: bool,
    held: u64,
    /// Whether it holds the history of the view.
    holds: bool,
    leaving: bool,
}

fn says(peer: u8, hears: &'static [u8]) -> Says {
    Says {
        peer,
        disk: u64::from(peer),
        hears,
        disk_healthy: true,
        counts: true,
        held: COMMITTED,
        holds: true,
        leaving: false,
    }
}

fn leaves(says: Says) -> Says {
    Says { leaving: true, ..says }
}

/// It has a new disk that holds nothing yet.
fn wiped(says: Says) -> Says {
    Says { disk: 77, held: 0, holds: false, ..says }
}

fn behind(says: Says) -> Says {
    Says { held: COMMITTED / 2, holds: false, ..says }
}

/// What process 1 plans after the peers have said this for a long time.
fn plan(view: &View, said: &[Says]) -> Option<(Vec<MemberId>, Vec<MemberId>, Option<ViewChangeReason>)> {
    plan_with(view, said, &[])
}

/// The same, for a chain that needs one of these holders.
fn plan_with(
    view: &View, said: &[Says], holders: &[MemberId],
) -> Option<(Vec<MemberId>, Vec<MemberId>, Option<ViewChangeReason>)> {
    let settings = ReplicaSettings::new(address(1), Vec::new(), false, 1, 1);
    let mut peers = Peers::new(address(1), settings.suspect_after);
    for member in &view.members {
        peers.add(member.address, Duration::ZERO);
    }
    for step in 0..LONG {
        for says in said {
            peers.record_heartbeat(address(says.peer), heartbeat(says), STEP * step);
        }
    }
    let now = STEP * LONG;
    let planner = ViewPlanner {
        view,
        local_member: member(1),
        disk_healthy: true,
        may_bootstrap: false,
        is_leaving: false,
        installed_view: 4,
        committed_index: COMMITTED,
        peers: &peers,
        settings: &settings,
        now,
    };
    let plan = planner.plan(holders)?;
    let reason = planner.change_reason(&plan);
    Some((plan.members, plan.chain, reason))
}

fn heartbeat(says: &Says) -> Heartbeat {
    let link = |number: &u8| Link { peer: address(*number), bidirectional: true };
    Heartbeat {
        sender: MemberId { address: address(says.peer), disk: says.disk },
        incarnation: 1,
        may_bootstrap: false,
        counts_for_quorum: says.counts,
        view: 4,
        installed_view: if says.holds { 4 } else { 3 },
        sealed: false,
        synced_index: 0,
        committed: None,
        durable_commit_index: Some(says.held),
        is_leaving: says.leaving,
        disk_healthy: says.disk_healthy,
        links: says.hears.iter().map(link).collect(),
    }
}

fn members(numbers: &[u8]) -> Vec<MemberId> {
    numbers.iter().copied().map(member).collect()
}

#[rstest]
#[case::all_is_well(&[1, 2, 3], &[says(2, &[1, 3]), says(3, &[1, 2])], &[1, 2, 3], None)]
#[case::one_is_silent(&[1, 2, 3], &[says(2, &[1])], &[1, 2], Some(ViewChangeReason::ChainBroken))]
#[case::one_comes_back(&[1, 2], &[says(2, &[1, 3]), says(3, &[1, 2])], &[1, 2, 3], Some(ViewChangeReason::ChainExtension))]
#[case::one_is_not_heard_by_another(&[1, 2, 3], &[says(2, &[1]), says(3, &[1])], &[1, 2], Some(ViewChangeReason::ChainBroken))]
#[case::a_chain_that_others_see_whole(&[2, 3], &[says(2, &[1, 3])], &[1, 2], None)]
fn chain_follows_the_links(
    #[case] chain: &[u8], #[case] said: &[Says], #[case] planned: &[u8],
    #[case] reason: Option<ViewChangeReason>,
) {
    let mut planned = members(planned);
    let view = view(&[1, 2, 3], chain);
    planned.sort_by_key(|member| view.position(*member).unwrap_or(usize::MAX));
    assert_eq!(plan(&view, said), Some((members(&[1, 2, 3]), planned, reason)));
}

#[rstest]
#[case::hears_but_is_not_heard(&[says(2, &[3]), says(3, &[2])])]
#[case::hears_nobody(&[])]
fn process_without_a_quorum_plans_nothing(#[case] said: &[Says]) {
    assert_eq!(plan(&view(&[1, 2, 3], &[1, 2, 3]), said), None);
}

#[test]
fn replica_with_unhealthy_disk_leaves_the_chain() {
    let full = Says { disk_healthy: false, ..says(3, &[1, 2]) };
    let (_, chain, reason) = plan(&view(&[1, 2, 3], &[3, 2, 1]), &[says(2, &[1, 3]), full]).unwrap();
    assert_eq!((chain, reason), (members(&[2, 1]), Some(ViewChangeReason::ChainBroken)));
}

#[test]
fn insufficient_chain_is_not_proposed() {
    let full = Says { disk_healthy: false, ..says(2, &[1]) };
    let (_, _, reason) = plan(&view(&[1, 2, 3], &[1, 2, 3]), &[full]).unwrap();
    assert_eq!(reason, None);
}

#[test]
fn new_disk_replaces_the_lost_one_at_its_address() {
    let new = Says { disk: 77, ..says(3, &[1, 2]) };
    let (planned, _, reason) = plan(&view(&[1, 2, 3], &[1, 2]), &[says(2, &[1, 3]), new]).unwrap();
    assert_eq!(planned, vec![member(1), member(2), MemberId { address: address(3), disk: 77 }]);
    assert_eq!(reason, Some(ViewChangeReason::MembershipChange));
}

#[rstest]
#[case::of_one_that_is_gone(&[says(2, &[1, 4]), says(4, &[1, 2])], &[1, 2, 4])]
#[case::of_none_while_all_are_there(&[says(2, &[1, 3, 4]), says(3, &[1, 2, 4]), says(4, &[1, 2, 3])], &[1, 2, 3])]
#[case::of_one_that_leaves(&[says(2, &[1, 3, 4]), leaves(says(3, &[1, 2, 4])), says(4, &[1, 2, 3])], &[1, 2, 4])]
#[case::of_one_that_lost_its_disk(&[says(2, &[1, 3, 4]), wiped(says(3, &[1, 2, 4])), says(4, &[1, 2, 3])], &[1, 2, 4])]
#[case::not_while_it_leaves_itself(&[says(2, &[1, 4]), leaves(says(4, &[1, 2]))], &[1, 2, 3])]
#[case::not_while_it_lacks_history(&[says(2, &[1, 4]), behind(says(4, &[1, 2]))], &[1, 2, 3])]
#[case::one_at_a_time(&[leaves(says(2, &[1, 3, 4, 5])), leaves(says(3, &[1, 2, 4, 5])), says(4, &[1, 2, 3, 5]), says(5, &[1, 2, 3, 4])], &[1, 4, 3])]
fn learner_replaces_at_most_one_member(#[case] said: &[Says], #[case] planned: &[u8]) {
    let (seen, _, _) = plan(&view(&[1, 2, 3], &[1, 2]), said).unwrap();
    assert_eq!(seen, members(planned));
}

#[test]
fn process_that_does_not_count_for_quorum_is_not_added() {
    let newcomer = Says { counts: false, ..says(4, &[1, 2]) };
    let (seen, _, _) = plan(&view(&[1, 2, 3], &[1, 2]), &[says(2, &[1, 4]), newcomer]).unwrap();
    assert_eq!(seen, members(&[1, 2, 3]));
}

/// A replica that leaves goes out of the chain while it still works.
#[test]
fn leaving_replica_is_not_in_the_next_chain() {
    let said = [says(2, &[1, 3]), leaves(says(3, &[1, 2]))];
    let planned = plan(&view(&[1, 2, 3], &[1, 2, 3]), &said).unwrap();
    assert_eq!(planned, (members(&[1, 2, 3]), members(&[1, 2]), Some(ViewChangeReason::ChainBroken)));
}

/// Of two replicas that can't be in one chain, the one is taken that the other processes reach too.
#[rstest]
#[case::the_second(&[says(2, &[1, 4]), says(3, &[1]), says(4, &[1, 2])], &[1, 2])]
#[case::the_third(&[says(2, &[1]), says(3, &[1, 4]), says(4, &[1, 3])], &[1, 3])]
fn replica_with_more_links_is_preferred(#[case] said: &[Says], #[case] planned: &[u8]) {
    let (_, chain, _) = plan(&view(&[1, 2, 3], &[1, 2, 3]), said).unwrap();
    assert_eq!(chain, members(planned));
}

/// The history that one alone holds is not left behind.
#[test]
fn leaving_holder_stays_until_others_hold_the_history() {
    let said = [says(2, &[1, 3, 4]), leaves(says(3, &[1, 2, 4])), says(4, &[1, 2, 3])];
    let (planned, chain, _) = plan_with(&view(&[1, 2, 3], &[1, 2, 3]), &said, &members(&[3])).unwrap();
    assert_eq!((planned, chain), (members(&[1, 2, 3]), members(&[1, 2, 3])));
}

/// Of the two replicas that hold the view's history one is gone: its place changes hands once two that stay hold it.
#[rstest]
#[case::not_yet(false, &[1, 2, 3])]
#[case::now(true, &[1, 4, 3])]
fn member_is_replaced_once_enough_others_hold_the_history(#[case] holds: bool, #[case] planned: &[u8]) {
    let said = [Says { holds, ..says(3, &[1, 4]) }, says(4, &[1, 3])];
    let (seen, chain, reason) = plan(&view(&[1, 2, 3], &[1, 2]), &said).unwrap();
    assert_eq!((seen, reason), (members(planned), Some(ViewChangeReason::ChainBroken)));
    assert!(chain.len() >= 2 && !chain.contains(&member(2)), "{chain:?}");
}

/// A member that lacks much history would hold up the view that takes it into the chain.
#[test]
fn member_that_is_behind_stays_outside_the_chain() {
    let said = [says(2, &[1, 3]), behind(says(3, &[1, 2]))];
    let (_, chain, reason) = plan(&view(&[1, 2, 3], &[1, 2]), &said).unwrap();
    assert_eq!((chain, reason), (members(&[1, 2]), None));
}

/// A disk that is new at its old address keeps the history first.
#[test]
fn new_disk_without_history_is_no_member() {
    let said = [says(2, &[1, 3]), wiped(says(3, &[1, 2]))];
    let (planned, _, _) = plan(&view(&[1, 2, 3], &[1, 2]), &said).unwrap();
    assert_eq!(planned, members(&[1, 2, 3]));
}

/// A log of before may name four members; one that is well gives up its place too.
#[test]
fn surplus_member_is_removed_from_an_even_number() {
    let all: Vec<Says> = (2..=4).map(|peer| says(peer, &[1, 2, 3, 4])).collect();
    let (planned, _, reason) = plan(&view(&[1, 2, 3, 4], &[1, 2, 4]), &all).unwrap();
    assert_eq!((planned, reason), (members(&[1, 2, 4]), Some(ViewChangeReason::MembershipChange)));
}

/// A view that serves with one member takes in none or two.
#[rstest]
#[case::one_learner(&[says(2, &[1])], &[1])]
#[case::two_learners(&[says(2, &[1, 3]), says(3, &[1, 2])], &[1, 2, 3])]
fn vacancies_are_filled_to_an_odd_number(#[case] said: &[Says], #[case] planned: &[u8]) {
    let single = View { fault_tolerance: 0, min_members: 1, ..view(&[1], &[1]) };
    let (seen, _, _) = plan(&single, said).unwrap();
    assert_eq!(seen, members(planned));
}

#[test]
fn surplus_member_that_is_gone_is_removed_first() {
    let said = [says(2, &[1, 3]), says(3, &[1, 2])];
    let (seen, chain, _) = plan(&view(&[1, 2, 3, 4], &[1, 2, 4]), &said).unwrap();
    assert_eq!((seen, chain), (members(&[1, 2, 3]), members(&[1, 2, 3])));
}

/// A chain is no longer than it must be, but a replica that alone holds the history is in it.
#[rstest]
#[case::nobody_in_particular(&[], &[1, 2, 3])]
#[case::one_at_the_end(&[5], &[1, 2, 5])]
#[case::one_that_is_in_it_anyway(&[2, 4], &[1, 2, 3])]
fn holder_is_in_the_chain(#[case] holders: &[u8], #[case] planned: &[u8]) {
    let all = [1, 2, 3, 4, 5];
    let said: Vec<Says> = (2..=5).map(|peer| says(peer, &[1, 2, 3, 4, 5])).collect();
    let (_, chain, _) = plan_with(&view(&all, &[1, 2, 3]), &said, &members(holders)).unwrap();
    assert_eq!(chain, members(planned));
}

/// Two machines out of three reach each other; the one that holds the history is preferred to the other.
#[test]
fn clique_with_a_holder_is_preferred() {
    let said = [says(2, &[1]), says(3, &[1])];
    let (_, chain, _) = plan_with(&view(&[1, 2, 3], &[1, 2]), &said, &members(&[3])).unwrap();
    assert_eq!(chain, members(&[1, 3]));
}
