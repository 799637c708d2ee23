//! Tests of each rule of the checker, on hand-written records.

use crate::checker::{DrainedServer, HostedControl, RunRecords, check};
use crate::configuration::{ALTERNATE_SERVICE, PLAIN_SERVICE};
use crate::finding::Finding;
use crate::operator_log::{ConfigRead, ConfigWrite, OperatorLog};
use crate::persistent_clients::ConnectionLedger;
use crate::schedule::Schedule;
use crate::traffic::{Attempt, Behaviour};
use lugwharf_emulator::client::{AttemptEnd, ClientRequest, FailedCheck, RequestKind};
use lugwharf_emulator::configuration::ConfigurationSpec;
use lugwharf_emulator::operator::CallOutcome;
use lugwharf_emulator::request_log::{Arrival, Completion, Execution, ReceivedOrder, RequestLog};
use lugwharf_emulator::wire::{Headers, Response};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The records of a run, which a test fills in.
struct RunFixture {
    schedule: Schedule,
    request_log: RequestLog,
    attempts: Vec<Attempt>,
    connections: Vec<ConnectionLedger>,
    operator_log: OperatorLog,
    proxy_logs: Vec<String>,
    omitted_log_lines: Vec<u64>,
    drained_servers: Vec<DrainedServer>,
    hosted_control: HostedControl,
}

impl RunFixture {
    /// Empty records of a run with the faults of a schedule in text form.
    fn new(schedule: &str) -> RunFixture {
        RunFixture {
            schedule: Schedule::parse(schedule).expect("the schedule is valid"),
            request_log: RequestLog::new(),
            attempts: Vec::new(),
            connections: Vec::new(),
            operator_log: OperatorLog::default(),
            proxy_logs: vec![String::new(); 2],
            omitted_log_lines: vec![0; 2],
            drained_servers: Vec::new(),
            hosted_control: HostedControl::default(),
        }
    }

    fn findings(&self) -> Vec<(&'static str, String)> {
        let findings = check(&RunRecords {
            schedule: &self.schedule,
            request_log: &self.request_log,
            attempts: &self.attempts,
            connections: &self.connections,
            operator_log: &self.operator_log,
            proxy_logs: &self.proxy_logs,
            omitted_log_lines: &self.omitted_log_lines,
            drained_servers: &self.drained_servers,
            front_count: 2,
            hosted_control: &self.hosted_control,
            recovered_at: ms(50_000),
        });
        findings.into_iter().map(|Finding { rule, facts }| (rule, facts)).collect()
    }

    fn rules(&self) -> Vec<&'static str> {
        self.findings().into_iter().map(|(rule, _)| rule).collect()
    }

    /// Adds the request `ab` to front-end node 0, sent at 10,000 ms and ended at 10,200 ms.
    fn add_attempt(&mut self, behaviour: Behaviour, ending: AttemptEnd) -> &mut Attempt {
        let request = ClientRequest::post("ab", "shop.example", "/read/1", RequestKind::Safe);
        let mut outcome = request.outcome();
        outcome.ending = ending;
        let (started_at, ended_at) = (ms(10_000), ms(10_200));
        self.attempts.push(Attempt {
            front: 0,
            behaviour,
            is_connection_reused: false,
            started_at,
            sent_at: started_at,
            ended_at,
            body_bytes: 10,
            outcome,
        });
        self.attempts.last_mut().expect("an attempt was just added")
    }

    /// Records that the request `ab` arrived at a server.
    fn record_arrival(&self, instance: &str, at: Duration) {
        self.request_log.record_arrival(Arrival {
            at,
            instance: instance.to_owned(),
            service: "board".to_owned(),
            address: loopback_address(),
            request_id: Some("ab".to_owned()),
            method: "POST".to_owned(),
            target: "/read/1".to_owned(),
            headers: Headers::new(),
            content_hash: 0,
            body_bytes: 0,
        });
    }

    /// Records an order to the server `i-0-1` at 1 ms.
    fn record_order(&self, body: &str) {
        self.record_order_at(1, "i-0-1", body);
    }

    fn record_order_at(&self, at: u64, instance: &str, body: &str) {
        let (at, instance, body) = (ms(at), instance.to_owned(), body.to_owned());
        self.request_log.record_order(ReceivedOrder { at, instance, body });
    }
}

/// The address of all operator reads, and the client address of all arrivals.
fn loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 80))
}

fn configuration_bytes(version: u64) -> Vec<u8> {
    ConfigurationSpec::new(version).to_bytes()
}

/// A write of a valid configuration, sent at `at` ms and ended 100 ms later.
fn config_write(version: u64, base: u64, at: u64, outcome: CallOutcome) -> ConfigWrite {
    let bytes = configuration_bytes(version).into();
    let (started_at, ended_at) = (ms(at), ms(at + 100));
    ConfigWrite { version, base, bytes, is_valid: true, started_at, ended_at, outcome, is_resend: false }
}

/// An answered read, sent at `at` ms and ended 10 ms later.
fn config_read(version: u64, at: u64) -> ConfigRead {
    ConfigRead {
        from: loopback_address(),
        reached: loopback_address(),
        started_at: ms(at),
        ended_at: ms(at + 10),
        bytes: Some(configuration_bytes(version)),
    }
}

fn acknowledged() -> CallOutcome {
    CallOutcome::Acknowledged(Response::new(200))
}

fn refused() -> CallOutcome {
    CallOutcome::Refused(Response::new(409))
}

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

#[rstest]
#[case::in_time("", 8_300, &[])]
#[case::late("", 8_301, &["drain"])]
#[case::with_an_agent_partitioned("agent_silent 8000 100 0 0", 8_301, &[])]
#[case::with_an_agent_killed("agent_kill 8000 100 0 0", 8_301, &[])]
#[case::with_a_failing_server("server_failing 8000 100 0 0", 8_301, &["drain"])]
#[case::with_an_earlier_fault("control_kill 100 1000 0 0", 12_000, &[])]
#[case::with_a_later_fault("control_kill 12000 1000 0 0", 12_000, &["drain"])]
fn a_request_that_reaches_a_draining_server_late_is_reported(
    #[case] schedule: &str, #[case] at: u64, #[case] expected: &[&str],
) {
    let mut fixture = RunFixture::new(schedule);
    fixture.drained_servers.push(DrainedServer { instance: "i-5-1".to_owned(), since: ms(5_000) });
    fixture.record_arrival("i-5-1", ms(at));
    fixture.record_arrival("i-6-1", ms(20_000));
    assert_eq!(fixture.rules(), expected);
}

#[test]
fn two_holders_of_a_token_and_repeated_orders_are_reported() {
    let mut fixture = RunFixture::new("");
    fixture.record_order(r#"{"Fence":4,"Holder":"a"}"#);
    fixture.record_order(r#"{"Fence":5,"Holder":"b"}"#);
    assert_eq!(fixture.findings(), []);
    fixture.record_order(r#"{"Fence":5,"Holder":"b"}"#);
    assert_eq!(fixture.findings(), [("to_and_fro", "3 orders to i-0-1".to_owned())]);
    fixture.schedule = Schedule::parse("reload 1 1 1 1").expect("the schedule is valid");
    assert_eq!(fixture.findings(), []);
    fixture.record_order(r#"{"Fence":4,"Holder":"c"}"#);
    fixture.record_order("{}");
    let expected = [
        ("order", "token 4 was used by two holders, a and c".to_owned()),
        ("order", "malformed order: {}".to_owned()),
    ];
    assert_eq!(fixture.findings(), expected);
}

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

/// A server refuses an order of holder `a` under token 4 at 1,000 ms, since it has received token 9 from
/// another sender. Holder `a` then sends another order.
#[rstest]
#[case::in_transit(1_500, "i-1-1", 4, "", &[])]
#[case::later(2_001, "i-0-1", 4, "", &["refused_token"])]
#[case::another_server(2_001, "i-1-1", 4, "", &["refused_token"])]
#[case::under_a_new_token(2_001, "i-1-1", 5, "", &[])]
#[case::the_refusal_was_lost(2_001, "i-1-1", 4, "answers_lost 500 600 0 0", &[])]
#[case::the_refusal_was_received(2_001, "i-1-1", 4, "answers_lost 0 0 0 0\nanswers_lost 2001 100 0 0", &["refused_token"])]
fn an_order_under_a_token_that_was_refused_is_reported(
    #[case] at: u64, #[case] instance: &str, #[case] token: u64, #[case] schedule: &str,
    #[case] expected: &[&str],
) {
    // The reload avoids a finding of the rule `to_and_fro`: in a run without faults, three orders to one
    // server are reported.
    let fixture = RunFixture::new(&format!("reload 1 1 1 1\n{schedule}"));
    fixture.record_order_at(900, "i-0-1", r#"{"Fence":9,"Holder":"stranger"}"#);
    fixture.record_order_at(1_000, "i-0-1", r#"{"Fence":4,"Holder":"a"}"#);
    fixture.record_order_at(at, instance, &format!(r#"{{"Fence":{token},"Holder":"a"}}"#));
    assert_eq!(fixture.rules(), expected);
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
