//! Requests: failures and their log lines, executions, clients that disconnect.

use super::{RunFixture, ms};
use crate::traffic::Behaviour;
use lugwharf_emulator::client::{AttemptEnd, FailedCheck};
use lugwharf_emulator::request_log::{Completion, Execution};
use rstest::rstest;

#[test]
fn a_failed_request_is_reported_unless_a_fault_explains_it_and_a_log_line_records_it() {
    let mut fixture = RunFixture::new("");
    assert_eq!(fixture.findings(), []);
    fixture.add_attempt(Behaviour::Steady, AttemptEnd::Truncated);
    let expected = [
        ("failed_without_cause", "ab /read/1 Steady front 0 10000..10200 ms Truncated None"),
        (
            "unexplained",
            "front 0: 1 failed requests without a log line, 0 lines omitted; ab /read/1 Steady front 0 10000..10200 ms",
        ),
    ];
    assert_eq!(fixture.findings(), expected.map(|(rule, facts)| (rule, facts.to_owned())));
    fixture.proxy_logs[0] = "WARN request failed request_id=ab status=502".to_owned();
    assert_eq!(fixture.rules(), ["failed_without_cause"]);
    fixture.proxy_logs[0].clear();
    fixture.omitted_log_lines[0] = 1;
    assert_eq!(fixture.rules(), ["failed_without_cause"]);
}

#[rstest]
#[case::at_its_front("proxy_kill 10000 100 0 0", &[])]
#[case::at_another_front("proxy_kill 10000 100 1 0", &["failed_without_cause", "unexplained"])]
#[case::shortly_before("proxy_kill 8000 501 2 0", &[])]
#[case::long_before("proxy_kill 8000 500 2 0", &["failed_without_cause", "unexplained"])]
#[case::shortly_after("proxy_kill 11699 100 0 0", &[])]
#[case::long_after("proxy_kill 11700 100 0 0", &["failed_without_cause", "unexplained"])]
#[case::within_the_grace_period("front_term 100 501 0 0", &[])]
#[case::after_the_grace_period("front_term 100 400 0 0", &["failed_without_cause", "unexplained"])]
#[case::at_a_server("server_dark 8000 1001 0 0", &["unexplained"])]
#[case::at_a_server_before("server_dark 8000 1000 0 0", &["failed_without_cause", "unexplained"])]
#[case::at_a_server_within_the_lag_of_the_harness("server_failing 10249 1000 0 0", &["unexplained"])]
#[case::at_a_server_afterwards("server_failing 10250 1000 0 0", &["failed_without_cause", "unexplained"])]
#[case::while_a_crashed_server_is_down("server_crash 8000 5000 0 0", &["failed_without_cause", "unexplained"])]
#[case::when_a_server_crashes("server_crash 9001 5000 0 0", &["unexplained"])]
#[case::while_a_server_drains("server_drain 9500 5000 0 0", &["failed_without_cause", "unexplained"])]
#[case::when_a_drained_server_stops("server_drain 5000 5000 0 0", &["unexplained"])]
#[case::at_control("control_kill 10000 1000 0 0", &["failed_without_cause", "unexplained"])]
fn a_fault_explains_only_failures_of_requests_that_it_can_affect(
    #[case] schedule: &str, #[case] expected: &[&str],
) {
    let mut fixture = RunFixture::new(schedule);
    fixture.add_attempt(Behaviour::Slow, AttemptEnd::Truncated);
    assert_eq!(fixture.rules(), expected);
}

#[rstest]
#[case::terminated("front_term 10000 100 0 0", AttemptEnd::Truncated, true, &["failed_without_cause", "unexplained"])]
#[case::connection_flood("crowd 10000 100 0 0", AttemptEnd::Truncated, true, &["failed_without_cause", "unexplained"])]
#[case::killed("proxy_kill 10000 100 0 0", AttemptEnd::Truncated, true, &[])]
#[case::not_forwarded("front_term 10000 100 0 0", AttemptEnd::Truncated, false, &[])]
#[case::not_connected("front_term 10000 100 0 0", AttemptEnd::ConnectFailed, true, &[])]
#[case::at_the_end_of_the_grace_period("front_term 3533 100 0 0", AttemptEnd::Truncated, true, &[])]
#[case::within_the_grace_period("front_term 3534 100 0 0", AttemptEnd::Truncated, true, &["failed_without_cause", "unexplained"])]
fn a_terminating_front_must_complete_the_requests_that_it_forwarded(
    #[case] schedule: &str, #[case] ending: AttemptEnd, #[case] has_arrived: bool, #[case] expected: &[&str],
) {
    let mut fixture = RunFixture::new(schedule);
    fixture.add_attempt(Behaviour::Steady, ending);
    if has_arrived {
        fixture.record_arrival("i-0-1", ms(10_050));
    }
    assert_eq!(fixture.rules(), expected);
}

#[test]
fn clients_that_disconnect_may_fail_but_get_no_wrong_response() {
    let mut fixture = RunFixture::new("");
    fixture.add_attempt(Behaviour::Stopping, AttemptEnd::Truncated);
    fixture.add_attempt(Behaviour::Leaving, AttemptEnd::TimedOut);
    assert_eq!(fixture.findings(), []);
    fixture.attempts[0].outcome.failed_checks.push(FailedCheck::MissingStamp);
    let facts = "ab /read/1 Stopping front 0 10000..10200 ms Truncated [MissingStamp]";
    assert_eq!(fixture.findings(), [("answer", facts.to_owned())]);
}

#[test]
fn server_faults_explain_no_failed_request_after_the_recovery() {
    let mut fixture = RunFixture::new("server_dark 49500 1000 0 0");
    fixture.omitted_log_lines[0] = 1;
    let attempt = fixture.add_attempt(Behaviour::Steady, AttemptEnd::Truncated);
    (attempt.started_at, attempt.ended_at) = (ms(50_000), ms(50_100));
    assert_eq!(fixture.rules(), ["failed_after_healing"]);
    fixture.attempts[0].started_at = ms(49_999);
    assert_eq!(fixture.findings(), []);
}

#[test]
fn an_execution_without_a_client_request_is_reported() {
    let fixture = RunFixture::new("");
    fixture.request_log.record_execution(Execution {
        at: ms(1),
        instance: "i-0-1".to_owned(),
        service: "board".to_owned(),
        request_id: "cd".to_owned(),
        content_hash: 7,
        kv_owner: None,
    });
    assert_eq!(fixture.findings(), [("run", "UnknownRequest { request_id: \"cd\" }".to_owned())]);
}

#[rstest]
#[case::in_time("", 10_700, &[])]
#[case::late("", 10_701, &["gone", "gone"])]
#[case::at_a_blackholed_server("server_dark 10000 500 0 0", 10_701, &[])]
#[case::at_a_server_that_fails("server_failing 10000 500 0 0", 10_701, &["gone"])]
#[case::at_a_paused_front("front_freeze 10000 500 0 0", 10_701, &[])]
fn a_request_that_reaches_a_server_long_after_its_client_disconnected_is_reported(
    #[case] schedule: &str, #[case] at: u64, #[case] expected: &[&str],
) {
    let mut fixture = RunFixture::new(schedule);
    fixture.add_attempt(Behaviour::Leaving, AttemptEnd::TimedOut);
    fixture.record_arrival("i-0-1", ms(at));
    fixture.request_log.record_completion(Completion { at: ms(at), request_id: "ab".to_owned() });
    assert_eq!(fixture.rules(), expected);
}
