//! Runs one scenario on real processes: from the start of the fleet, through the faults, to the findings.

use crate::checker::{RunRecords, check};
use crate::finding::Finding;
use crate::fleet::Fleet;
use crate::operator_log::OperatorLog;
use crate::operators::Operators;
use crate::process_id::ProcessId;
use crate::process_monitor::ProcessMonitor;
use crate::recovery::{await_recovery, verify_final_reads, verify_final_write};
use crate::run_log;
use crate::schedule::{Scenario, Schedule};
use crate::startup_faults::inject_startup_faults;
use crate::timeline::{PlayedSchedule, Timeline};
use crate::traffic::{Attempt, Traffic};
use eyre::Result;
use std::path::Path;
use std::time::Duration;

/// Clients go on for so long after the recovery. Only faults of their front-end node that have just ended excuse failures
/// then.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);
/// The version of the last write of a run, above all others.
const FINAL_VERSION: u64 = 1_000_000;

/// The outcome of a run.
#[derive(Debug)]
pub struct RunOutcome {
    /// The schedule that was played.
    pub schedule: Schedule,
    /// All violations.
    pub findings: Vec<Finding>,
    /// Requests that clients sent.
    pub requests: usize,
    /// Requests with a complete 2xx response.
    pub successes: usize,
    /// Configurations that operators wrote.
    pub changes: usize,
    /// Reads of the configuration that were answered.
    pub reads: usize,
    /// What the harness recorded, as text.
    pub ledger: String,
    /// What all processes logged.
    pub logs: String,
}

/// What was recorded in a run, before it is checked.
struct RunObservations {
    /// When the schedule began, since the start of the environment.
    started_at: Duration,
    played: PlayedSchedule,
    recovered_at: Duration,
    attempts: Vec<Attempt>,
    operator_log: OperatorLog,
    monitor: ProcessMonitor,
    /// What the recovery was found to lack.
    recovery_findings: Vec<Finding>,
}

/// Plays a schedule on real processes of `binary`, and checks what was observed.
///
/// # Errors
/// The harness itself fails: an address is taken, or a process cannot be started or signalled. What the fleet does wrong is
/// no error but a finding.
pub async fn run(binary: &Path, scenario: &Scenario, schedule: &Schedule) -> Result<RunOutcome> {
    let mut fleet = Fleet::start(scenario, binary).await?;
    if scenario.has_startup_faults {
        inject_startup_faults(&mut fleet, scenario.seed).await?;
    }
    if let Err(error) = fleet.bring_into_service().await {
        return Ok(never_in_service(schedule, &mut fleet, &error));
    }
    let observations = observe_run(&mut fleet, scenario, schedule).await?;
    Ok(conclude(&mut fleet, schedule, observations))
}

/// Plays the schedule under load, waits for the recovery, and ends the load.
async fn observe_run(fleet: &mut Fleet, scenario: &Scenario, schedule: &Schedule) -> Result<RunObservations> {
    let operators = Operators::start(&fleet.environment, fleet.operator_addresses(), scenario.seed);
    let traffic = Traffic::start(&fleet.environment, fleet.cluster.front_addresses(), scenario.seed);
    let mut monitor = ProcessMonitor::default();
    let started_at = fleet.environment.now();
    let schedule = schedule.shifted_by(started_at);
    let timeline = Timeline::new(fleet, &operators, &mut monitor, schedule, scenario.fault_phase);
    let played = timeline.play().await?;
    let mut recovery_findings = await_recovery(fleet).await;
    let recovered_at = fleet.environment.now();
    tokio::time::sleep(SETTLE_TIME).await;
    let attempts = traffic.finish().await;
    let operator_log = operators.finish().await;
    recovery_findings.extend(verify_final_write(fleet, FINAL_VERSION, &operator_log).await);
    recovery_findings.extend(verify_final_reads(fleet, &operator_log).await);
    monitor.observe(fleet).await;
    monitor.check_idle_resources(fleet);
    Ok(RunObservations {
        started_at,
        played,
        recovered_at,
        attempts,
        operator_log,
        monitor,
        recovery_findings,
    })
}

/// Checks what was observed.
fn conclude(fleet: &mut Fleet, schedule: &Schedule, observations: RunObservations) -> RunOutcome {
    let RunObservations { started_at, played, recovered_at, attempts, operator_log, monitor, .. } =
        observations;
    let mut findings = observations.recovery_findings;
    let fronts = 0..fleet.front_count;
    let proxy_logs: Vec<String> = fronts.clone().map(|front| proxy_log(fleet, front)).collect();
    let omitted_log_lines: Vec<u64> = fronts.map(|front| monitor.omitted_log_lines(front)).collect();
    findings.extend(monitor.into_findings());
    findings.extend(check(&RunRecords {
        schedule: &played.schedule,
        request_log: fleet.environment.request_log(),
        attempts: &attempts,
        operator_log: &operator_log,
        proxy_logs: &proxy_logs,
        omitted_log_lines: &omitted_log_lines,
        drained_servers: &played.drained_servers,
        front_count: fleet.front_count,
        hosted_control: &fleet.hosted_control(),
        recovered_at,
    }));
    let logs = fleet.cluster.logs();
    findings.extend(find_panics(&logs));
    let violations = fleet.cluster.take_violations().into_iter();
    findings.extend(violations.map(|facts| Finding { rule: "invariant", facts }));
    RunOutcome {
        schedule: schedule.clone(),
        findings,
        requests: attempts.len(),
        successes: attempts.iter().filter(|attempt| attempt.outcome.is_success()).count(),
        changes: operator_log.writes().len(),
        reads: operator_log.reads().iter().filter(|read| read.bytes.is_some()).count(),
        ledger: run_log::render(started_at, &operator_log, &attempts, fleet.environment.request_log()),
        logs,
    }
}

/// The outcome of a run whose fleet never came into service.
fn never_in_service(schedule: &Schedule, fleet: &mut Fleet, error: &eyre::Report) -> RunOutcome {
    let findings = vec![Finding { rule: "not_opened", facts: format!("{error:#}") }];
    // Violations that are left in the cluster would fail the harness when it is dropped.
    fleet.cluster.take_violations();
    RunOutcome {
        schedule: schedule.clone(),
        findings,
        requests: 0,
        successes: 0,
        changes: 0,
        reads: 0,
        ledger: String::new(),
        logs: fleet.cluster.logs(),
    }
}

fn find_panics(logs: &str) -> Vec<Finding> {
    let lines = logs.lines().filter(|line| line.contains("panicked"));
    lines.map(|line| Finding { rule: "panic", facts: line.to_owned() }).collect()
}

fn proxy_log(fleet: &mut Fleet, front: usize) -> String {
    fleet.cluster.process(&ProcessId::Proxy(front).name()).map(|process| process.output()).unwrap_or_default()
}
