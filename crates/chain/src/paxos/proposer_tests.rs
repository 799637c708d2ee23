//! Tests of the lineage of a view, the choice of its source, and the rules of an acceptor.

use crate::heartbeat::HistoryPosition;
use crate::member::MemberId;
use crate::paxos::ProposalNumber;
use crate::paxos::{Acceptor, Lineage, ReceivedPromise, choose_source};
use crate::view::{Ancestor, View};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn member(number: u8, disk: u64) -> MemberId {
    MemberId { address: SocketAddr::from(([10, 0, 0, number], 7000)), disk }
}

/// View 5 with three members and a chain of the first two. When view 5 was decided, views 3 and 4 may have
/// served; the chain of view 4 consisted of the last two members.
fn view() -> View {
    let members = vec![member(1, 1), member(2, 2), member(3, 3)];
    View {
        number: 5,
        chain: members[..2].to_vec(),
        members,
        source: Some(member(1, 1)),
        lineage: vec![Ancestor { number: 4, chain: vec![member(2, 2), member(3, 3)] }],
        last_known_served: 3,
        fault_tolerance: 1,
        min_members: 3,
    }
}

/// Promises as (member, installed view, last index).
#[rstest]
#[case::replica_with_the_history(&[(1, 5, 9), (3, 3, 8)], Some(1))]
#[case::longest_history(&[(1, 5, 9), (2, 5, 10)], Some(2))]
#[case::view_may_have_served(&[(1, 5, 9), (3, 4, 12)], Some(1))]
#[case::view_never_served_but_one_has_its_history(&[(1, 3, 9), (2, 5, 9)], Some(2))]
#[case::neither_view_nor_ancestor_served(&[(1, 3, 9), (3, 2, 9)], Some(1))]
#[case::ancestor_may_have_served(&[(1, 3, 9), (2, 4, 8)], Some(2))]
#[case::ancestor_may_have_served_elsewhere(&[(1, 3, 9)], None)]
#[case::all_histories_are_too_old(&[(1, 2, 9), (3, 2, 9)], None)]
#[case::view_may_have_served_but_no_promise_has_its_history(&[(3, 3, 9)], None)]
fn source_holds_every_acknowledged_entry(#[case] promises: &[(u8, u64, u64)], #[case] source: Option<u8>) {
    let promise = |&(number, installed, last_index): &(u8, u64, u64)| {
        let member = member(number, u64::from(number));
        let position = HistoryPosition { installed_view: installed, last_index };
        (member.address, ReceivedPromise { member, accepted: None, position })
    };
    let promises: BTreeMap<SocketAddr, ReceivedPromise> = promises.iter().map(promise).collect();
    let all = view().members;
    let chosen = choose_source(Lineage::after(&view(), false, &promises).min_source_view(), &all, &promises);
    assert_eq!(chosen, source.map(|number| member(number, u64::from(number))));
}

#[test]
fn member_with_a_lost_disk_is_not_a_source() {
    let lost = member(1, 1);
    let position = HistoryPosition { installed_view: 5, last_index: 9 };
    let promises =
        BTreeMap::from([(lost.address, ReceivedPromise { member: lost, accepted: None, position })]);
    let chain = [member(1, 77), member(2, 2)];
    assert_eq!(
        choose_source(Lineage::after(&view(), false, &promises).min_source_view(), &chain, &promises),
        None
    );
}

#[test]
fn view_that_has_served_ends_the_lineage() {
    let lineage = Lineage::after(&view(), true, &BTreeMap::new());
    assert_eq!(lineage, Lineage { ancestors: Vec::new(), last_known_served: 5 });
}

#[test]
fn lineage_is_bounded() {
    let ancestor = |number| Ancestor { number, chain: view().members };
    let long = View { number: 60, lineage: (4..60).rev().map(ancestor).collect(), ..view() };
    let lineage = Lineage::after(&long, false, &BTreeMap::new());
    assert_eq!((lineage.ancestors.len(), lineage.min_source_view(), lineage.last_known_served), (16, 60, 44));
}

#[rstest]
#[case::three(3, 1, 3, 2, true)]
#[case::one_replica_is_too_few(3, 1, 3, 1, false)]
#[case::too_few_members(3, 1, 2, 2, false)]
#[case::four_members(3, 1, 4, 2, true)]
#[case::five_members(3, 1, 5, 2, false)]
#[case::five_that_tolerate_two(5, 2, 5, 3, true)]
#[case::two_processes_in_total(2, 1, 2, 2, true)]
#[case::single_process(1, 0, 1, 1, true)]
fn view_is_sufficient_with_enough_members_and_replicas(
    #[case] min_members: u32, #[case] fault_tolerance: u32, #[case] members: usize, #[case] replicas: usize,
    #[case] is_sufficient: bool,
) {
    let view = View { min_members, fault_tolerance, ..view() };
    assert_eq!(view.is_sufficient(members, replicas), is_sufficient);
}

#[rstest]
#[case::lower(2, 1, false)]
#[case::lower_by_its_proposer(3, 1, false)]
#[case::the_same(3, 2, true)]
#[case::higher(4, 1, true)]
fn acceptor_admits_no_lower_proposal(#[case] round: u64, #[case] proposer: u8, #[case] admitted: bool) {
    let proposal =
        |round, proposer: u8| ProposalNumber { round, proposer: member(proposer, u64::from(proposer)) };
    let acceptor = Acceptor { promised: Some(proposal(3, 2)), accepted: None };
    assert_eq!(acceptor.admits(proposal(round, proposer)), admitted);
}
