//! Tests of the steps of a shutdown for each observed state, and that each wait is bounded.

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

/// Ticks until the sequence ends, with the state observed at each time. Returns how long it took, and the
/// outcome.
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
    panic!("the shutdown takes longer than the grace time");
}

#[rstest]
#[case::no_replacement(Observation { has_replacement: false, ..MEMBER }, ShutdownOutcome::Stayed)]
#[case::no_replacement_and_no_lease_transfer(Observation { has_replacement: false, is_lease_transferred: false, ..MEMBER }, ShutdownOutcome::Stayed)]
#[case::not_a_member(LEFT, ShutdownOutcome::Left)]
#[case::not_a_member_and_no_replacement(Observation { has_replacement: false, is_lease_transferred: false, ..LEFT }, ShutdownOutcome::Left)]
fn without_a_replacement_the_process_ends_after_the_flush(
    #[case] observed: Observation, #[case] outcome: ShutdownOutcome,
) {
    let ended = end(&mut begin(), START, |_| observed);
    assert_eq!(ended, (FLUSH_TIME + TICK / 2, outcome));
}

#[test]
fn member_with_a_replacement_requests_leave_once() {
    let mut shutdown = begin();
    assert_eq!(shutdown.step(START, &MEMBER), Step::RequestLeave);
    assert_eq!(shutdown.step(START + TICK, &LEAVING), Step::Wait);
    assert_eq!(shutdown.step(START + TICK * 2, &LEAVING), Step::Wait);
}

#[test]
fn leave_is_requested_after_the_lease_is_transferred() {
    let mut shutdown = begin();
    let holds = Observation { is_lease_transferred: false, ..MEMBER };
    assert_eq!(shutdown.step(START, &holds), Step::Wait);
    assert_eq!(shutdown.step(START + TICK, &MEMBER), Step::RequestLeave);
}

#[test]
fn lease_that_nobody_acquires_delays_the_leave_by_its_timeout() {
    let mut shutdown = begin();
    let holds = Observation { is_lease_transferred: false, ..MEMBER };
    assert_eq!(shutdown.step(START + LEASE_TRANSFER_TIMEOUT - TICK, &holds), Step::Wait);
    assert_eq!(shutdown.step(START + LEASE_TRANSFER_TIMEOUT, &holds), Step::RequestLeave);
}

#[test]
fn process_serves_until_it_has_left_and_then_flushes() {
    let mut shutdown = begin();
    let left_at = START + TICK * 20;
    assert_eq!(shutdown.step(START, &MEMBER), Step::RequestLeave);
    let observed = |now| if now < left_at { LEAVING } else { LEFT };
    let (took, outcome) = end(&mut shutdown, START + TICK, observed);
    assert_eq!(outcome, ShutdownOutcome::Left);
    assert!(took >= left_at - START + FLUSH_TIME && took < left_at - START + FLUSH_TIME + TICK, "{took:?}");
}

#[test]
fn member_that_can_not_leave_ends_after_the_flush() {
    let mut shutdown = begin();
    assert_eq!(shutdown.step(START, &MEMBER), Step::RequestLeave);
    let (took, outcome) = end(&mut shutdown, START + TICK, |_| MEMBER);
    assert_eq!((outcome, took < FLUSH_TIME + TICK * 2), (ShutdownOutcome::Stayed, true), "{took:?}");
}

#[rstest]
#[case::usual(GRACE, LEAVE_TIMEOUT)]
#[case::short(Duration::from_secs(2), Duration::from_secs(1))]
#[case::shorter_than_the_lease_transfer(Duration::from_millis(600), Duration::from_millis(300))]
fn shutdown_times_out_within_the_grace(#[case] grace: Duration, #[case] within: Duration) {
    let mut shutdown = ShutdownSequence::begin(START, grace);
    let never_leaving =
        Observation { membership: Membership::Leaving, has_replacement: true, is_lease_transferred: false };
    let (took, outcome) = end(&mut shutdown, START, |_| never_leaving);
    assert_eq!(outcome, ShutdownOutcome::TimedOut);
    assert!(took >= within && took <= within + FLUSH_TIME + TICK * 2, "{took:?}");
    assert!(took < grace && max_duration(grace) == within + FLUSH_TIME, "{took:?}");
}
