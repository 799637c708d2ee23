//! Writes and reads of configurations.

use super::{RunFixture, acknowledged, config_read, config_write, configuration_bytes, ms, refused};
use crate::checker::HostedControl;
use crate::operator_log::{ConfigRead, ConfigWrite};
use lugwharf_emulator::operator::CallOutcome;
use rstest::rstest;
use std::net::SocketAddr;

#[rstest]
#[case::no_fault("", &["not_acknowledged", "not_acknowledged", "not_read"])]
#[case::control_killed("control_kill 9000 2000 0 0", &[])]
#[case::control_killed_long_ago("control_kill 1000 2000 0 0", &["not_acknowledged", "not_acknowledged", "not_read"])]
#[case::control_killed_before("control_kill 1000 2001 0 0", &[])]
#[case::servers_blackholed("server_dark 9000 2000 0 0", &["not_acknowledged", "not_acknowledged", "not_read"])]
#[case::agent_killed("agent_kill 9000 2000 0 0", &["not_acknowledged", "not_acknowledged", "not_read"])]
#[case::agent_silent("agent_silent 9000 2000 0 0", &["not_acknowledged", "not_acknowledged", "not_read"])]
fn without_control_faults_unanswered_writes_and_reads_are_reported(
    #[case] schedule: &str, #[case] expected: &[&str],
) {
    let fixture = RunFixture::new(schedule);
    fixture.operator_log.record_write(config_write(2, 1, 10_000, CallOutcome::Unknown));
    fixture
        .operator_log
        .record_write(ConfigWrite { ended_at: ms(14_000), ..config_write(3, 2, 10_000, refused()) });
    fixture
        .operator_log
        .record_write(ConfigWrite { ended_at: ms(14_001), ..config_write(4, 3, 10_000, refused()) });
    fixture.operator_log.record_read(ConfigRead { bytes: None, ..config_read(1, 10_000) });
    assert_eq!(fixture.rules(), expected);
}

#[rstest]
#[case::consistent(vec![config_write(2, 1, 100, acknowledged()), config_write(3, 2, 300, CallOutcome::Unknown)], vec![config_read(1, 50), config_read(3, 500)], &[])]
#[case::invalid(vec![ConfigWrite { is_valid: false, ..config_write(2, 1, 100, acknowledged()) }], vec![],
    &["version 2 is invalid and was acknowledged"])]
#[case::two_on_one_base(vec![config_write(2, 1, 100, acknowledged()), config_write(3, 1, 100, acknowledged())], vec![],
    &["versions 2 and 3 on base 1 were both acknowledged"])]
#[case::refused_later(vec![ConfigWrite { is_resend: true, ..config_write(2, 1, 100, refused()) }], vec![],
    &["version 2 was acknowledged and then refused: Refused(Response { status: 409, headers: Headers([]), body: [] })"])]
#[case::never_written(vec![], vec![config_read(9, 100)], &["version 9 was read with bytes that were never written"])]
#[case::other_bytes(vec![ConfigWrite { bytes: configuration_bytes(7).into(), ..config_write(2, 1, 100, acknowledged()) }], vec![config_read(2, 300)],
    &["version 2 was read with bytes that were never written"])]
#[case::no_configuration(vec![], vec![ConfigRead { bytes: Some(b"none".to_vec()), ..config_read(1, 100) }],
    &["an invalid configuration was read at 127.0.0.9:80"])]
#[case::read_though_refused(vec![config_write(2, 1, 100, refused())], vec![config_read(2, 300)],
    &["version 2 was read although it was refused: Refused(Response { status: 409, headers: Headers([]), body: [] })"])]
#[case::older_than_acknowledged(vec![config_write(2, 1, 100, acknowledged())], vec![config_read(1, 201)],
    &["version 1 was read at 127.0.0.9:80 by a read that started at 201 ms, after version 2 was acknowledged"])]
#[case::concurrent_with_the_acknowledgement(vec![config_write(2, 1, 100, acknowledged())], vec![config_read(1, 200)], &[])]
#[case::older_than_read_before(vec![config_write(2, 1, 100, CallOutcome::Unknown)], vec![config_read(2, 300), config_read(1, 311)],
    &["version 1 was read at 127.0.0.9:80 after version 2"])]
#[case::concurrent_reads(vec![config_write(2, 1, 100, CallOutcome::Unknown)], vec![config_read(2, 300), config_read(1, 310)], &[])]
fn inconsistent_writes_and_stale_reads_are_reported(
    #[case] writes: Vec<ConfigWrite>, #[case] reads: Vec<ConfigRead>, #[case] expected: &[&str],
) {
    // A fault of control during the whole run explains all findings but those of the rule `configuration`.
    let fixture = RunFixture::new("control_kill 0 60000 0 0");
    writes.into_iter().for_each(|write| fixture.operator_log.record_write(write));
    reads.into_iter().for_each(|read| fixture.operator_log.record_read(read));
    let expected: Vec<(&str, String)> =
        expected.iter().map(|facts| ("configuration", (*facts).to_owned())).collect();
    assert_eq!(fixture.findings(), expected);
}

/// The address at which the agent of a front-end node serves operators.
fn operator_address(front: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 10 + front], 80))
}

/// A fault of an agent explains unanswered reads at that agent only, and no unanswered write, since a write
/// is retried at the next process. Three of the four front-end nodes host a replica.
#[rstest]
#[case::killed("agent_kill 9000 2000 1 0", &["not_acknowledged", "not_read 0", "not_read 2", "not_read 3"])]
#[case::terminated("front_term 9000 2000 5 0", &["not_acknowledged", "not_read 0", "not_read 2", "not_read 3"])]
#[case::paused("front_freeze 9000 2000 1 0", &["not_acknowledged", "not_read 0", "not_read 2", "not_read 3"])]
#[case::inbound_blackhole("agent_deaf 9000 2000 1 0", &["not_acknowledged", "not_read 0", "not_read 2", "not_read 3"])]
#[case::reset("agent_reset 9000 2000 1 0", &["not_acknowledged", "not_read 0", "not_read 2", "not_read 3"])]
#[case::out_of_descriptors("agent_descriptors 9000 2000 1 0", &["not_acknowledged", "not_read 0", "not_read 2", "not_read 3"])]
#[case::link_to_a_replica("agent_silent 9000 2000 6 0", &["not_acknowledged", "not_read 1", "not_read 3"])]
#[case::node_without_replica("agent_kill 9000 2000 3 0", &["not_acknowledged", "not_read 0", "not_read 1", "not_read 2"])]
#[case::killed_long_ago("agent_kill 1000 2000 1 0", &["not_acknowledged", "not_read 0", "not_read 1", "not_read 2", "not_read 3"])]
#[case::proxy_alone("proxy_kill 9000 2000 1 0", &["not_acknowledged", "not_read 0", "not_read 1", "not_read 2", "not_read 3"])]
#[case::replica_and_node_without_replica("agent_kill 9000 2000 1 0\nagent_kill 9000 2000 3 0", &["not_acknowledged", "not_read 0", "not_read 2"])]
#[case::majority("agent_kill 9000 2000 1 0\nagent_deaf 9000 2000 2 0", &[])]
#[case::control("control_kill 9000 2000 0 0", &[])]
fn a_fault_of_an_agent_that_hosts_control_explains_only_its_own_unanswered_reads(
    #[case] schedule: &str, #[case] expected: &[&str],
) {
    let mut fixture = RunFixture::new(schedule);
    let addresses: Vec<SocketAddr> = (0..4).map(operator_address).collect();
    fixture.hosted_control = HostedControl { addresses: addresses.clone(), replica_count: 3 };
    fixture.operator_log.record_write(config_write(2, 1, 10_000, CallOutcome::Unknown));
    for from in &addresses {
        fixture.operator_log.record_read(ConfigRead {
            from: *from,
            reached: *from,
            bytes: None,
            ..config_read(1, 10_000)
        });
    }
    let front_of = |facts: &str| addresses.iter().position(|address| facts.contains(&address.to_string()));
    let findings = fixture.findings().into_iter();
    let found: Vec<String> = findings
        .map(|(rule, facts)| front_of(&facts).map_or(rule.to_owned(), |front| format!("{rule} {front}")))
        .collect();
    assert_eq!(found, expected);
}

/// A front-end node without a replica redirects reads to the process that its agent follows.
#[rstest]
#[case::to_an_affected_process(1, &[])]
#[case::to_an_unaffected_process(2, &["not_read"])]
fn an_unanswered_redirected_read_is_explained_by_a_fault_of_the_redirect_target(
    #[case] reached: u8, #[case] expected: &[&str],
) {
    let mut fixture = RunFixture::new("agent_reset 9000 2000 1 0");
    let addresses = (0..4).map(operator_address).collect();
    fixture.hosted_control = HostedControl { addresses, replica_count: 3 };
    let (from, reached) = (operator_address(3), operator_address(reached));
    fixture.operator_log.record_read(ConfigRead { from, reached, bytes: None, ..config_read(1, 10_000) });
    assert_eq!(fixture.rules(), expected);
}
