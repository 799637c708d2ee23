//! Requests that are judged by a version of the configuration: routes and limits.

use super::{RunFixture, acknowledged, config_write, ms};
use crate::configuration::{ALTERNATE_SERVICE, PLAIN_SERVICE};
use crate::traffic::Behaviour;
use lugwharf_emulator::client::{AttemptEnd, ClientRequest, RequestKind};
use lugwharf_emulator::request_log::Execution;
use rstest::rstest;

/// The request `ab` is sent at `sent` to the prefix whose service changes, and is executed by `service`.
/// Versions 8 and 9 name a different service than the versions before. Version 8 was acknowledged at 10,100
/// ms.
#[rstest]
#[case::before(10_000, PLAIN_SERVICE, "", &[])]
#[case::before_the_write_starts(9_700, ALTERNATE_SERVICE, "", &["route"])]
#[case::while_it_is_written(9_900, ALTERNATE_SERVICE, "", &[])]
#[case::by_the_old_service_within_the_bound(12_200, PLAIN_SERVICE, "", &[])]
#[case::by_the_old_service_later(12_201, PLAIN_SERVICE, "", &["route"])]
#[case::by_the_new_service(12_201, ALTERNATE_SERVICE, "", &[])]
#[case::after_a_fault_of_its_agent(12_201, PLAIN_SERVICE, "agent_silent 9000 2000 0 0", &[])]
#[case::after_a_fault_of_another_agent(12_201, PLAIN_SERVICE, "agent_silent 9000 2000 1 0", &["route"])]
#[case::after_a_fault_of_control(12_201, PLAIN_SERVICE, "control_kill 9000 2000 0 0", &[])]
#[case::under_a_quota(12_201, PLAIN_SERVICE, "processor_quota 9000 2000 0 0", &["route"])]
fn a_request_executed_by_a_service_of_no_configuration_in_force_is_reported(
    #[case] sent: u64, #[case] service: &str, #[case] schedule: &str, #[case] expected: &[&str],
) {
    let mut fixture = RunFixture::new(schedule);
    fixture.operator_log.record_write(config_write(8, 1, 10_000, acknowledged()));
    fixture.operator_log.record_write(config_write(9, 8, 10_200, acknowledged()));
    let request = ClientRequest::post("ab", "shop.example", "/move/1", RequestKind::Unsafe);
    let content_hash = request.outcome().content_hash;
    let attempt = fixture.add_attempt(Behaviour::Leaving, AttemptEnd::TimedOut);
    attempt.outcome = request.outcome();
    (attempt.started_at, attempt.sent_at, attempt.ended_at) = (ms(sent), ms(sent), ms(sent + 200));
    fixture.request_log.record_execution(Execution {
        at: ms(sent + 100),
        instance: "i-0-1".to_owned(),
        service: service.to_owned(),
        request_id: "ab".to_owned(),
        content_hash,
        kv_owner: None,
    });
    assert_eq!(fixture.rules(), expected);
}

/// The request `ab`, whose body versions 4 to 11 forbid, is sent at `sent` after a rest since 5,000 ms.
/// `version` was acknowledged at 10,100 ms, the one eight below it long before.
#[rstest]
#[case::raised(12, 12_201, 413, "", &["denied"])]
#[case::raised_within_the_bound(12, 12_200, 413, "", &[])]
#[case::raised_and_allowed(12, 12_201, 200, "", &[])]
#[case::lowered(10, 12_201, 200, "", &["over_the_limit"])]
#[case::lowered_within_the_bound(10, 12_200, 200, "", &[])]
#[case::lowered_and_forbidden(10, 12_201, 413, "", &[])]
#[case::another_failure(12, 12_201, 404, "", &["failed_without_cause", "unexplained"])]
#[case::with_an_agent_partitioned(12, 12_201, 413, "agent_silent 9000 2000 0 0", &[])]
fn a_body_judged_by_the_limit_of_no_configuration_in_force_is_reported(
    #[case] version: u64, #[case] sent: u64, #[case] status: u16, #[case] schedule: &str,
    #[case] expected: &[&str],
) {
    let mut fixture = RunFixture::new(schedule);
    fixture.operator_log.record_write(config_write(version - 8, 1, 1_000, acknowledged()));
    fixture.operator_log.record_write(config_write(version, version - 8, 10_000, acknowledged()));
    let attempt = fixture.add_attempt(Behaviour::Resting, AttemptEnd::Complete);
    (attempt.started_at, attempt.sent_at, attempt.ended_at) = (ms(5_000), ms(sent), ms(sent + 200));
    attempt.body_bytes = 1_025;
    attempt.outcome.status = Some(status);
    assert_eq!(fixture.rules(), expected);
}
