//! What a process does after SIGTERM, by what it sees, and that it never takes long.

use super::{
    FLUSH_TIME, LEASE_TRANSFER_TIMEOUT, LEAVE_TIMEOUT, Membership, Observation, ShutdownOutcome,
    ShutdownSequence, Step, max_duration,
};
use rstest::rstest;
use std::time::Duration;

const GRACE: Duration = Duration::from_secs(8);
const START: Duration = Duration::from_secs(100);
const TICK: Duration = Duration::from_millis(20);

const MEMBER: Observation =
    Observation { membership: Membership::Staying, has_replacement: true, is_lease_transferred: true };
const LEAVING: Observation = Observation { membership: Membership::Leaving, ..MEMBER };
const LEFT: Observation = Observation { membership: Membership::Left, ..MEMBER };

fn begin() -> ShutdownSequence {
    ShutdownSequence::begin(START, GRACE)
}

/// Ticks until the end, with what is observed at each moment; returns when it ended and how.
fn end(
    shutdown: &mut ShutdownSequence, from: Duration, observed: impl Fn(Duration) -> Observation,
) -> (Duration, ShutdownOutcome) {
    let mut now = from;
    while now < START + GRACE {
        if let Step::End(outcome) = shutdown.step(now, &observed(now)) {
            return (now - START, outcome);
        }
        now += TICK;
    }
    panic!("it goes on beyond the grace");
}

#[rstest]
#[case::nobody_can_take_the_place(Observation { has_replacement: false, ..MEMBER }, ShutdownOutcome::Stayed)]
#[case::nor_the_role(Observation { has_replacement: false, is_lease_transferred: false, ..MEMBER }, ShutdownOutcome::Stayed)]
#[case::a_follower(LEFT, ShutdownOutcome::Left)]
#[case::the_last_process(Observation { has_replacement: false, is_lease_transferred: false, ..LEFT }, ShutdownOutcome::Left)]
fn who_has_no_place_to_give_away_ends_after_the_farewell(
    #[case] observed: Observation, #[case] outcome: ShutdownOutcome,
) {
    let ended = end(&mut begin(), START, |_| observed);
    assert_eq!(ended, (FLUSH_TIME + TICK / 2, outcome));
}

#[test]
fn a_member_with_a_replacement_asks_to_be_left_out_once() {
    let mut shutdown = begin();
    assert_eq!(shutdown.step(START, &MEMBER), Step::RequestLeave);
    assert_eq!(shutdown.step(START + TICK, &LEAVING), Step::Wait);
    assert_eq!(shutdown.step(START + TICK * 2, &LEAVING), Step::Wait);
}

#[test]
fn it_does_not_ask_before_the_role_is_in_other_hands() {
    let mut shutdown = begin();
    let holds = Observation { is_lease_transferred: false, ..MEMBER };
    assert_eq!(shutdown.step(START, &holds), Step::Wait);
    assert_eq!(shutdown.step(START + TICK, &MEMBER), Step::RequestLeave);
}

#[test]
fn a_role_that_nobody_takes_holds_it_up_for_a_while_only() {
    let mut shutdown = begin();
    let holds = Observation { is_lease_transferred: false, ..MEMBER };
    assert_eq!(shutdown.step(START + LEASE_TRANSFER_TIMEOUT - TICK, &holds), Step::Wait);
    assert_eq!(shutdown.step(START + LEASE_TRANSFER_TIMEOUT, &holds), Step::RequestLeave);
}

#[test]
fn it_serves_until_it_is_left_out_and_then_bids_farewell() {
    let mut shutdown = begin();
    let left_at = START + TICK * 20;
    assert_eq!(shutdown.step(START, &MEMBER), Step::RequestLeave);
    let observed = |now| if now < left_at { LEAVING } else { LEFT };
    let (took, outcome) = end(&mut shutdown, START + TICK, observed);
    assert_eq!(outcome, ShutdownOutcome::Left);
    assert!(took >= left_at - START + FLUSH_TIME && took < left_at - START + FLUSH_TIME + TICK, "{took:?}");
}

#[test]
fn one_that_is_told_to_stay_after_all_ends_at_once() {
    let mut shutdown = begin();
    assert_eq!(shutdown.step(START, &MEMBER), Step::RequestLeave);
    let (took, outcome) = end(&mut shutdown, START + TICK, |_| MEMBER);
    assert_eq!((outcome, took < FLUSH_TIME + TICK * 2), (ShutdownOutcome::Stayed, true), "{took:?}");
}

#[rstest]
#[case::usual(GRACE, LEAVE_TIMEOUT)]
#[case::short(Duration::from_secs(2), Duration::from_secs(1))]
#[case::shorter_than_the_hand_over(Duration::from_millis(600), Duration::from_millis(300))]
fn what_takes_too_long_is_given_up_within_the_grace(#[case] grace: Duration, #[case] within: Duration) {
    let mut shutdown = ShutdownSequence::begin(START, grace);
    let stuck =
        Observation { membership: Membership::Leaving, has_replacement: true, is_lease_transferred: false };
    let (took, outcome) = end(&mut shutdown, START, |_| stuck);
    assert_eq!(outcome, ShutdownOutcome::TimedOut);
    assert!(took >= within && took <= within + FLUSH_TIME + TICK * 2, "{took:?}");
    assert!(took < grace && max_duration(grace) == within + FLUSH_TIME, "{took:?}");
}
