//! One run, from the start of the fleet to its judgement.

use crate::checker::{Finding, RunRecords, check};
use crate::fault_injection::{ActiveFault, Recovery, apply_link_faults};
use crate::fleet::{Fleet, ProcessId};
use crate::operators::{ConfigRead, OperatorLog, Operators, read_once};
use crate::process_monitor::ProcessMonitor;
use crate::recovery::{await_recovery, verify_final_write};
use crate::schedule::{FaultKind, Scenario, Schedule};
use crate::startup_faults::inject_startup_faults;
use crate::traffic::{Attempt, Traffic};
use eyre::Result;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Between two looks at the processes.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(400);
/// A process that was asked to end is looked at again after this.
const RECOVERY_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Clients go on for so long once all is well; nothing may fail then but what a trouble of its front has just left behind.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);
/// The version of the change that closes a run, above all others.
const FINAL_VERSION: u64 = 1_000_000;

/// What a run showed.
#[derive(Debug)]
pub struct RunOutcome {
    /// What went wrong, and when.
    pub schedule: Schedule,
    /// What is wrong with how the fleet bore it.
    pub findings: Vec<Finding>,
    /// Requests that clients sent.
    pub requests: usize,
    /// Those of them that were answered with a whole success.
    pub successes: usize,
    /// Changes of the configuration that operators sent.
    pub changes: usize,
    /// Reads of the configuration that were answered.
    pub reads: usize,
    /// What the rig recorded, as text.
    pub ledger: String,
    /// What all processes wrote.
    pub logs: String,
}

/// Something that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Inject(usize),
    Recover(usize),
    Observe,
}

/// Plays a schedule on real processes of `binary`.
pub async fn run(binary: &Path, scenario: &Scenario, schedule: &Schedule) -> Result<RunOutcome> {
    let mut fleet = Fleet::start(scenario, binary).await?;
    if scenario.has_startup_faults {
        inject_startup_faults(&mut fleet, scenario.fronts, scenario.seed).await?;
    }
    if let Err(error) = fleet.open().await {
        return Ok(not_opened_outcome(schedule, &mut fleet, &error));
    }
    let fronts: Vec<SocketAddr> = fleet.cluster.front_addresses();
    let addresses = fleet.operator_addresses();
    let operators = Operators::start(&fleet.world, addresses, scenario.seed);
    let traffic = Traffic::start(&fleet.world, fronts, scenario.seed);
    let mut monitor = ProcessMonitor::default();
    let started = fleet.world.now();
    let played = shift_schedule(schedule, started);
    let Played { schedule: played, drained } =
        play_schedule(&mut fleet, scenario, &played, &operators, &mut monitor).await?;
    let mut findings = await_recovery(&fleet, scenario.fronts).await;
    let recovered_at = fleet.world.now();
    tokio::time::sleep(SETTLE_TIME).await;
    let attempts = traffic.finish().await;
    let operator_log = operators.finish().await;
    findings.extend(verify_final_write(&fleet, scenario.fronts, FINAL_VERSION, &operator_log).await);
    findings.extend(check_read_back(&fleet, &operator_log).await);
    monitor.observe(&mut fleet, scenario.fronts).await;
    monitor.check_idle_resources(&mut fleet, scenario.fronts);
    let proxy_logs: Vec<String> = (0..scenario.fronts).map(|front| proxy_log(&mut fleet, front)).collect();
    let omitted: Vec<u64> = (0..scenario.fronts).map(|front| monitor.omitted_log_lines(front)).collect();
    findings.extend(monitor.findings());
    findings.extend(check(&RunRecords {
        schedule: &played,
        ledger: fleet.world.request_log(),
        attempts: &attempts,
        operator_log: &operator_log,
        proxy_logs: &proxy_logs,
        omitted: &omitted,
        drained: &drained,
        fronts: scenario.fronts,
        recovered_at,
    }));
    let logs = fleet.cluster.logs();
    findings.extend(find_panics(&logs));
    findings.extend(
        fleet.cluster.take_violations().into_iter().map(|facts| Finding { rule: "invariant", facts }),
    );
    Ok(RunOutcome {
        schedule: schedule.clone(),
        findings,
        requests: attempts.len(),
        successes: attempts.iter().filter(|attempt| attempt.outcome.is_success()).count(),
        changes: operator_log.writes().len(),
        reads: operator_log.reads().iter().filter(|read| read.bytes.is_some()).count(),
        ledger: ledger_text(&fleet, started, &attempts, &operator_log),
        logs,
    })
}

/// The outcome of a run whose fleet never came to serve.
fn not_opened_outcome(schedule: &Schedule, fleet: &mut Fleet, error: &eyre::Report) -> RunOutcome {
    let findings = vec![Finding { rule: "not_opened", facts: format!("{error:#}") }];
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

/// The schedule in the time of the world.
fn shift_schedule(schedule: &Schedule, started: Duration) -> Schedule {
    let mut played = schedule.clone();
    played.faults.iter_mut().for_each(|fault| fault.start += started);
    played
}

/// What was played.
struct Played {
    /// The troubles, with the times at which they began and ended in fact.
    schedule: Schedule,
    /// Which servers were listed as draining, since when.
    drained: Vec<(String, Duration)>,
}

/// Begins and ends the troubles.
async fn play_schedule(
    fleet: &mut Fleet, scenario: &Scenario, schedule: &Schedule, operators: &Operators,
    monitor: &mut ProcessMonitor,
) -> Result<Played> {
    let mut played = schedule.clone();
    let mut steps: Vec<(Duration, Step)> = Vec::new();
    for (index, fault) in schedule.faults.iter().enumerate() {
        steps.push((fault.start, Step::Inject(index)));
    }
    let length = fleet.world.now() + scenario.fault_phase;
    steps.push((fleet.world.now() + OBSERVE_INTERVAL, Step::Observe));
    let mut active_faults: Vec<(usize, ActiveFault)> = Vec::new();
    let mut drained = Vec::new();
    while let Some(position) = next_step(&steps) {
        let (at, step) = steps.swap_remove(position);
        wait_until(fleet, at).await;
        match step {
            Step::Inject(index) => {
                let fault = &schedule.faults[index];
                let mut active = ActiveFault::new(fleet, fault, scenario.fronts);
                if fault.kind == FaultKind::ServerDrain {
                    let server = &fleet.servers[fault.target % fleet.servers.len()];
                    drained.push((server.id.clone(), fleet.world.now()));
                }
                played.faults[index].start = fleet.world.now();
                active.inject(fleet, scenario.fronts, &operators.requests).await?;
                active_faults.push((index, active));
                steps.push((fault.end(), Step::Recover(index)));
            }
            Step::Recover(index) => {
                let Some(position) = active_faults.iter().position(|(of, _)| *of == index) else { continue };
                let end = active_faults[position].1.recover(fleet).await?;
                played.faults[index].duration = fleet.world.now() - played.faults[index].start;
                match end {
                    Recovery::Complete => drop(active_faults.swap_remove(position)),
                    Recovery::Pending => {
                        steps.push((fleet.world.now() + RECOVERY_RETRY_INTERVAL, Step::Recover(index)))
                    }
                }
                operators.addresses.send_replace(fleet.operator_addresses());
            }
            Step::Observe => {
                monitor.observe(fleet, scenario.fronts).await;
                let has_more = steps.iter().any(|(_, step)| *step != Step::Observe);
                if has_more || fleet.world.now() < length {
                    steps.push((fleet.world.now() + OBSERVE_INTERVAL, Step::Observe));
                }
            }
        }
        let in_progress: Vec<ActiveFault> = active_faults.iter().map(|(_, active)| active.clone()).collect();
        apply_link_faults(fleet, &in_progress);
    }
    Ok(Played { schedule: played, drained })
}

fn next_step(steps: &[(Duration, Step)]) -> Option<usize> {
    steps.iter().enumerate().min_by_key(|(_, (at, _))| *at).map(|(position, _)| position)
}

async fn wait_until(fleet: &Fleet, at: Duration) {
    let left = at.saturating_sub(fleet.world.now());
    sleep_until(Instant::now() + left).await;
}

/// What is read at the end, at each machine, is the newest.
async fn check_read_back(fleet: &Fleet, operator_log: &OperatorLog) -> Vec<Finding> {
    let mut found = Vec::new();
    for index in &fleet.controls {
        let read: ConfigRead = read_once(&fleet.world, fleet.cluster.control_address(*index)).await;
        if read.bytes.is_none() {
            let facts = format!("control-{index} does not read the configuration back");
            found.push(Finding { rule: "not_healed", facts });
        }
        operator_log.record_read(read);
    }
    found
}

fn find_panics(logs: &str) -> Vec<Finding> {
    let lines = logs.lines().filter(|line| line.contains("panicked"));
    lines.map(|line| Finding { rule: "panic", facts: line.to_owned() }).collect()
}

fn proxy_log(fleet: &mut Fleet, front: usize) -> String {
    fleet.cluster.process(&ProcessId::Proxy(front).name()).map(|process| process.output()).unwrap_or_default()
}

fn ledger_text(fleet: &Fleet, started: Duration, attempts: &[Attempt], operator_log: &OperatorLog) -> String {
    let mut text = format!("troubles begin at {} ms\n", started.as_millis());
    // Writing to a string does not fail.
    for write in operator_log.writes() {
        let verdict = write.outcome.status();
        let (started_at, ended_at) = (write.started_at.as_millis(), write.ended_at.as_millis());
        let _ = writeln!(
            text,
            "put {}..{} version {} on {} {verdict:?}",
            started_at, ended_at, write.version, write.base
        );
    }
    for read in operator_log.reads() {
        let version = read.bytes.as_deref().and_then(crate::configuration::version_of);
        let (started_at, ended_at) = (read.started_at.as_millis(), read.ended_at.as_millis());
        let _ = writeln!(text, "read {started_at}..{ended_at} at {} {version:?}", read.from);
    }
    for attempt in attempts {
        let outcome = &attempt.outcome;
        let (started_at, ended_at) = (attempt.started_at.as_millis(), attempt.ended_at.as_millis());
        let _ = writeln!(
            text,
            "request {started_at}..{ended_at} {} {} front {} kept {} {:?} {:?} {:?}",
            outcome.request_id,
            outcome.target,
            attempt.front,
            attempt.is_connection_reused,
            attempt.behaviour,
            outcome.ending,
            outcome.status
        );
    }
    for arrival in fleet.world.request_log().arrivals() {
        let (at, id) = (arrival.at.as_millis(), arrival.request_id.as_deref().unwrap_or("-"));
        let _ = writeln!(text, "arrival {at} {id} {} prefill {}", arrival.instance, arrival.is_prefill());
    }
    for order in fleet.world.request_log().orders() {
        let _ = writeln!(text, "order {} {} {}", order.at.as_millis(), order.instance, order.body);
    }
    text
}
