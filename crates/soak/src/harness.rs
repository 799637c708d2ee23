//! Runs one scenario on real processes: starts the fleet, injects the faults, and evaluates the findings.

use crate::checker::{RunRecords, check, unanswered};
use crate::finding::Finding;
use crate::fleet::Fleet;
use crate::operator_log::OperatorLog;
use crate::operators::Operators;
use crate::persistent_clients::{ConnectionLedger, PersistentClients};
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

/// How long clients continue after the recovery. In this time a failed request is a finding unless a fault of
/// its front-end node has just ended.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);
/// The version of the last write of a run, higher than all others.
const FINAL_VERSION: u64 = 1_000_000;

/// The outcome of a run.
#[derive(Debug)]
pub struct RunOutcome {
    /// The schedule of the run.
    pub schedule: Schedule,
    /// All violations.
    pub findings: Vec<Finding>,
    /// The number of requests that clients sent.
    pub requests: usize,
    /// The number of requests with a complete 2xx response.
    pub successes: usize,
    /// The number of writes that operators sent, including those that were refused or repeated.
    pub changes: usize,
    /// The number of reads of the configuration that were answered.
    pub reads: usize,
    /// The records of the harness, as text.
    pub ledger: String,
    /// The logs of all processes.
    pub logs: String,
}

/// The records of a run, before they are checked.
struct RunObservations {
    /// When the schedule began, since the start of the run.
    started_at: Duration,
    played: PlayedSchedule,
    recovered_at: Duration,
    attempts: Vec<Attempt>,
    connections: Vec<ConnectionLedger>,
    operator_log: OperatorLog,
    monitor: ProcessMonitor,
    /// The findings of the recovery checks.
    recovery_findings: Vec<Finding>,
}

/// Runs a schedule on real processes of `binary`, and checks what was observed.
///
/// # Errors
/// The harness itself fails: an address is in use, or a process cannot be started or signalled. A violation
/// by the fleet is a finding, not an error.
pub async fn run(binary: &Path, scenario: &Scenario, schedule: &Schedule) -> Result<RunOutcome> {
    let mut fleet = Fleet::start(scenario, binary).await?;
    if scenario.has_startup_faults {
        inject_startup_faults(&mut fleet, scenario.seed).await?;
    }
    if let Err(error) = fleet.bring_into_service().await {
        return Ok(startup_failure_outcome(schedule, &mut fleet, &error));
    }
    let observations = observe_run(&mut fleet, scenario, schedule).await?;
    Ok(evaluate_run(&mut fleet, schedule, observations))
}

/// Runs the schedule under load, waits for the recovery, and ends the load.
async fn observe_run(fleet: &mut Fleet, scenario: &Scenario, schedule: &Schedule) -> Result<RunObservations> {
    let operators = Operators::start(&fleet.environment, fleet.operator_addresses(), scenario.seed);
    let traffic = Traffic::start(&fleet.environment, fleet.cluster.front_addresses(), scenario.seed);
    let persistent =
        PersistentClients::start(&fleet.environment, fleet.cluster.front_addresses(), scenario.seed);
    let mut monitor = ProcessMonitor::default();
    let started_at = fleet.environment.now();
    let schedule = schedule.shifted_by(started_at);
    let timeline = Timeline::new(fleet, &operators, &mut monitor, schedule, scenario.fault_phase);
    let played = timeline.play().await?;
    let mut recovery_findings = await_recovery(fleet).await;
    let recovered_at = fleet.environment.now();
    tokio::time::sleep(SETTLE_TIME).await;
    let mut attempts = traffic.finish().await;
    let connections = persistent.finish().await;
    attempts.extend(connections.iter().flat_map(|ledger| ledger.requests.iter().cloned()));
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
        connections,
        operator_log,
        monitor,
        recovery_findings,
    })
}

/// Checks the records of a run.
fn evaluate_run(fleet: &mut Fleet, schedule: &Schedule, observations: RunObservations) -> RunOutcome {
    let RunObservations { played, attempts, operator_log, .. } = &observations;
    let mut findings = observations.recovery_findings.clone();
    let fronts = 0..fleet.front_count;
    let proxy_logs: Vec<String> = fronts.clone().map(|front| proxy_log(fleet, front)).collect();
    let omitted_log_lines: Vec<u64> =
        fronts.map(|front| observations.monitor.omitted_log_lines(front)).collect();
    findings.extend(observations.monitor.findings());
    let hosted_control = fleet.hosted_control();
    let records = RunRecords {
        schedule: &played.schedule,
        request_log: fleet.environment.request_log(),
        attempts,
        connections: &observations.connections,
        operator_log,
        proxy_logs: &proxy_logs,
        omitted_log_lines: &omitted_log_lines,
        drained_servers: &played.drained_servers,
        front_count: fleet.front_count,
        hosted_control: &hosted_control,
        recovered_at: observations.recovered_at,
    };
    findings.extend(check(&records));
    let mut ledger = run_log::render(observations.started_at, operator_log, attempts, records.request_log);
    ledger.push_str(&run_log::render_unanswered(&unanswered(&records)));
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
        ledger,
        logs,
    }
}

/// The outcome of a run whose fleet did not come into service.
fn startup_failure_outcome(schedule: &Schedule, fleet: &mut Fleet, error: &eyre::Report) -> RunOutcome {
    let findings = vec![Finding { rule: "not_opened", facts: format!("{error:#}") }];
    // The cluster panics when it is dropped with violations that nobody has taken.
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
