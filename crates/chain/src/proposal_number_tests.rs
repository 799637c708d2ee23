//! A proposal bears one value: the proposer's own promise is on disk before anybody else hears of the proposal.

use crate::Message;
use crate::paxos::{AcceptedComparison, AcceptedProposal, Acceptor, ProposalNumber};
use crate::test_driver::{Driver, disk_of, member, view};
use crate::view::View;
use rstest::rstest;

fn proposal_numbers(driver: &Driver) -> Vec<ProposalNumber> {
    let proposal = |message: &Message| match message {
        Message::Prepare { proposal, .. } => Some(*proposal),
        _ => None,
    };
    driver.sent.iter().filter_map(|(_, message)| proposal(message)).collect()
}

#[rstest]
#[case::three(3)]
#[case::five(5)]
fn prepare_is_sent_after_own_promise_is_synced(#[case] members: u8) {
    let mut driver = Driver::start(1, disk_of(1, members), members);
    driver.until_it_proposes(2);
    assert_eq!(proposal_numbers(&driver), Vec::new(), "before the own promise is on disk");
    driver.sync();
    assert_eq!(proposal_numbers(&driver).len(), usize::from(members) - 1, "each other member is asked");
}

#[rstest]
#[case::three(3)]
#[case::five(5)]
fn restarted_proposer_uses_higher_proposal_numbers(#[case] members: u8) {
    let mut first = Driver::start(1, disk_of(1, members), members);
    first.until_it_proposes(2);
    first.sync();
    let before = proposal_numbers(&first);
    let mut second = Driver::start(1, first.synced, members);
    second.until_it_proposes(2);
    second.sync();
    let after = proposal_numbers(&second);
    assert!(!before.is_empty() && !after.is_empty());
    assert!(after.iter().all(|proposal| before.iter().all(|used| proposal > used)), "{before:?} {after:?}");
}

#[test]
fn acceptor_distinguishes_two_views_under_one_proposal_number() {
    let proposal = ProposalNumber { round: 3, proposer: member(1) };
    let acceptor = Acceptor {
        promised: Some(proposal),
        accepted: Some(Box::new(AcceptedProposal { number: proposal, view: view(2, 3) })),
    };
    let other = View { chain: vec![member(1), member(2)], ..view(2, 3) };
    let higher = ProposalNumber { round: 4, proposer: member(1) };
    assert_eq!(acceptor.compare_accepted(proposal, &view(2, 3)), AcceptedComparison::Identical);
    assert_eq!(acceptor.compare_accepted(proposal, &other), AcceptedComparison::OtherView);
    assert_eq!(acceptor.compare_accepted(higher, &other), AcceptedComparison::Newer);
}

/// A second value under a proposal that was accepted for another one gets no answer and is not stored.
#[test]
fn acceptor_ignores_a_second_view_under_one_proposal_number() {
    let mut driver = Driver::start(1, disk_of(1, 3), 3);
    let proposal = ProposalNumber { round: 3, proposer: member(2) };
    let accept = |view: View| Message::Accept { proposal, view };
    driver.receive(2, accept(view(2, 3)));
    driver.sync();
    let accepted = |driver: &Driver| driver.count(|message| matches!(message, Message::Accepted { .. }));
    assert_eq!(accepted(&driver), 1);
    let synced = driver.synced.len();
    // Such a proposal is itself a violation, which would stop the test.
    let tolerance = lugwharf_invariants::tolerate();
    let violations = || lugwharf_invariants::count(lugwharf_invariants::Invariant::OneValuePerBallot);
    let before = violations();
    driver.receive(2, accept(View { chain: vec![member(1), member(2)], ..view(2, 3) }));
    drop(tolerance);
    assert!(violations() > before);
    driver.sync();
    assert_eq!((accepted(&driver), driver.synced.len()), (1, synced));
    driver.receive(2, accept(view(2, 3)));
    driver.sync();
    assert_eq!(accepted(&driver), 2, "the same again is answered again");
}
