//! Requests on connections that are used until they are gone.

use super::{RunFixture, ms};
use crate::persistent_clients::ConnectionLedger;
use crate::traffic::Behaviour;
use lugwharf_emulator::client::AttemptEnd;
use rstest::rstest;

/// A connection to front-end node 0 on which two requests were sent at 10,000 ms.
fn ledger(announced_close_at: Option<u64>, ended_at: u64, endings: [AttemptEnd; 2]) -> ConnectionLedger {
    let mut run = RunFixture::new("");
    for (id, ending) in ["ab", "cd"].into_iter().zip(endings) {
        run.add_attempt(Behaviour::Persistent, ending).outcome.request_id = id.to_owned();
    }
    let announced_close_at = announced_close_at.map(ms);
    ConnectionLedger { front: 0, announced_close_at, ended_at: Some(ms(ended_at)), requests: run.attempts }
}

/// A request that was sent whole must be answered, unless it crossed the close of its connection or is excused
/// by trouble or by the end of the grace period.
#[rstest]
#[case::close_without_an_announcement("", None, 10_300, false, 1)]
#[case::close_that_crosses("", None, 10_150, false, 0)]
#[case::passed_on_and_closed("", None, 10_150, true, 1)]
#[case::close_announced_long_after("front_term 9000 1000 0 0", Some(11_000), 11_000, false, 1)]
#[case::announced_close_that_crosses("front_term 9000 1000 0 0", Some(10_100), 10_900, false, 0)]
#[case::end_of_the_grace_period("front_term 9000 1000 0 0", None, 16_600, true, 0)]
#[case::late_request_at_the_end("front_term 6000 1000 0 0", None, 13_600, true, 1)]
#[case::shutdown_of_another_front("front_term 9000 1000 1 0", None, 16_600, true, 1)]
#[case::kill("proxy_kill 10100 1000 0 0", None, 10_300, true, 0)]
#[case::reload("reload 10000 500 0 0", None, 10_300, true, 1)]
fn unanswered_request_on_a_kept_connection(
    #[case] schedule: &str, #[case] announced_close_at: Option<u64>, #[case] ended_at: u64,
    #[case] is_passed_on: bool, #[case] expected: usize,
) {
    let mut run = RunFixture::new(schedule);
    if is_passed_on {
        run.record_arrival("i-0-1", ms(10_010));
    }
    let endings = [AttemptEnd::Truncated, AttemptEnd::Complete];
    run.connections.push(ledger(announced_close_at, ended_at, endings));
    assert_eq!(run.rules(), vec!["lost"; expected]);
}

/// A request behind an incomplete response can't be answered, whatever the cause of that is.
#[test]
fn only_an_excused_incomplete_response_excuses_the_requests_behind_it() {
    for (schedule, expected) in [("front_term 9000 1000 0 0", 0), ("", 2)] {
        let mut run = RunFixture::new(schedule);
        run.record_arrival("i-0-1", ms(10_010));
        run.connections.push(ledger(None, 16_600, [AttemptEnd::Truncated; 2]));
        assert_eq!(run.rules(), vec!["lost"; expected], "{schedule}");
    }
}
