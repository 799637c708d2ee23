//! One run, from the start of the fleet to its judgement.

use crate::fleet::{Fleet, Unit};
use crate::heal::{change_once_more, heal};
use crate::judge::{Finding, Records, judge};
use crate::operators::{Book, Operators, Read, read_once};
use crate::schedule::{Kind, Scenario, Schedule};
use crate::startle::startle;
use crate::traffic::{Attempt, Traffic};
use crate::trouble::{Active, End, apply_links};
use crate::watch::Watch;
use eyre::Result;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Between two looks at the processes.
const LOOK_EVERY: Duration = Duration::from_millis(400);
/// A process that was asked to end is looked at again after this.
const AGAIN: Duration = Duration::from_millis(100);
/// Clients go on for so long once all is well; nothing may fail then but what a trouble of its front has just left behind.
const AFTERWARDS: Duration = Duration::from_millis(3_000);
/// The version of the change that closes a run, above all others.
const LAST_VERSION: u64 = 1_000_000;

/// What a run showed.
#[derive(Debug)]
pub struct Outcome {
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
    Begin(usize),
    End(usize),
    Look,
}

/// Plays a schedule on real processes of `binary`.
pub async fn run(binary: &Path, scenario: &Scenario, schedule: &Schedule) -> Result<Outcome> {
    let mut fleet = Fleet::start(scenario, binary).await?;
    if scenario.startles {
        startle(&mut fleet, scenario.fronts, scenario.seed).await?;
    }
    if let Err(error) = fleet.open().await {
        return Ok(unopened(schedule, &mut fleet, &error));
    }
    let fronts: Vec<SocketAddr> = fleet.cluster.front_addresses();
    let addresses = fleet.operator_addresses();
    let operators = Operators::start(&fleet.world, addresses, scenario.seed);
    let traffic = Traffic::start(&fleet.world, fronts, scenario.seed);
    let mut watch = Watch::default();
    let started = fleet.world.now();
    let shifted = shift(schedule, started);
    let Played { schedule: shifted, drained } =
        play(&mut fleet, scenario, &shifted, &operators, &mut watch).await?;
    let mut findings = heal(&fleet, scenario.fronts).await;
    let healed = fleet.world.now();
    tokio::time::sleep(AFTERWARDS).await;
    let attempts = traffic.finish().await;
    let book = operators.finish().await;
    findings.extend(change_once_more(&fleet, scenario.fronts, LAST_VERSION, &book).await);
    findings.extend(read_back(&fleet, &book).await);
    watch.look(&mut fleet, scenario.fronts).await;
    watch.look_at_rest(&mut fleet, scenario.fronts);
    let proxy_logs: Vec<String> = (0..scenario.fronts).map(|front| proxy_log(&mut fleet, front)).collect();
    let omitted: Vec<u64> = (0..scenario.fronts).map(|front| watch.omitted(front)).collect();
    findings.extend(watch.findings());
    findings.extend(judge(&Records {
        schedule: &shifted,
        ledger: fleet.world.request_log(),
        attempts: &attempts,
        book: &book,
        proxy_logs: &proxy_logs,
        omitted: &omitted,
        drained: &drained,
        fronts: scenario.fronts,
        healed,
    }));
    let logs = fleet.cluster.logs();
    findings.extend(panics(&logs));
    findings.extend(
        fleet.cluster.take_violations().into_iter().map(|facts| Finding { rule: "invariant", facts }),
    );
    Ok(Outcome {
        schedule: schedule.clone(),
        findings,
        requests: attempts.len(),
        successes: attempts.iter().filter(|attempt| attempt.outcome.is_success()).count(),
        changes: book.puts().len(),
        reads: book.reads().iter().filter(|read| read.bytes.is_some()).count(),
        ledger: ledger_text(&fleet, started, &attempts, &book),
        logs,
    })
}

/// The outcome of a run whose fleet never came to serve.
fn unopened(schedule: &Schedule, fleet: &mut Fleet, error: &eyre::Report) -> Outcome {
    let findings = vec![Finding { rule: "not_opened", facts: format!("{error:#}") }];
    fleet.cluster.take_violations();
    Outcome {
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
fn shift(schedule: &Schedule, started: Duration) -> Schedule {
    let mut shifted = schedule.clone();
    shifted.troubles.iter_mut().for_each(|trouble| trouble.at += started);
    shifted
}

/// What was played.
struct Played {
    /// The troubles, with the times at which they began and ended in fact.
    schedule: Schedule,
    /// Which servers were listed as draining, since when.
    drained: Vec<(String, Duration)>,
}

/// Begins and ends the troubles.
async fn play(
    fleet: &mut Fleet, scenario: &Scenario, schedule: &Schedule, operators: &Operators, watch: &mut Watch,
) -> Result<Played> {
    let mut played = schedule.clone();
    let mut steps: Vec<(Duration, Step)> = Vec::new();
    for (index, trouble) in schedule.troubles.iter().enumerate() {
        steps.push((trouble.at, Step::Begin(index)));
    }
    let length = fleet.world.now() + scenario.length;
    steps.push((fleet.world.now() + LOOK_EVERY, Step::Look));
    let mut actives: Vec<(usize, Active)> = Vec::new();
    let mut drained = Vec::new();
    while let Some(position) = next(&steps) {
        let (at, step) = steps.swap_remove(position);
        wait_until(fleet, at).await;
        match step {
            Step::Begin(index) => {
                let trouble = &schedule.troubles[index];
                let mut active = Active::new(fleet, trouble, scenario.fronts);
                if trouble.kind == Kind::ServerDrain {
                    let server = &fleet.servers[trouble.target % fleet.servers.len()];
                    drained.push((server.id.clone(), fleet.world.now()));
                }
                played.troubles[index].at = fleet.world.now();
                active.begin(fleet, scenario.fronts, &operators.wishes).await?;
                actives.push((index, active));
                steps.push((trouble.end(), Step::End(index)));
            }
            Step::End(index) => {
                let Some(position) = actives.iter().position(|(of, _)| *of == index) else { continue };
                let end = actives[position].1.end(fleet).await?;
                played.troubles[index].lasts = fleet.world.now() - played.troubles[index].at;
                match end {
                    End::Over => drop(actives.swap_remove(position)),
                    End::Again => steps.push((fleet.world.now() + AGAIN, Step::End(index))),
                }
                operators.addresses.send_replace(fleet.operator_addresses());
            }
            Step::Look => {
                watch.look(fleet, scenario.fronts).await;
                let has_more = steps.iter().any(|(_, step)| *step != Step::Look);
                if has_more || fleet.world.now() < length {
                    steps.push((fleet.world.now() + LOOK_EVERY, Step::Look));
                }
            }
        }
        let going_on: Vec<Active> = actives.iter().map(|(_, active)| active.clone()).collect();
        apply_links(fleet, &going_on);
    }
    Ok(Played { schedule: played, drained })
}

fn next(steps: &[(Duration, Step)]) -> Option<usize> {
    steps.iter().enumerate().min_by_key(|(_, (at, _))| *at).map(|(position, _)| position)
}

async fn wait_until(fleet: &Fleet, at: Duration) {
    let left = at.saturating_sub(fleet.world.now());
    sleep_until(Instant::now() + left).await;
}

/// What is read at the end, at each machine, is the newest.
async fn read_back(fleet: &Fleet, book: &Book) -> Vec<Finding> {
    let mut found = Vec::new();
    for index in &fleet.controls {
        let read: Read = read_once(&fleet.world, fleet.cluster.control_address(*index)).await;
        if read.bytes.is_none() {
            let facts = format!("control-{index} does not read the configuration back");
            found.push(Finding { rule: "not_healed", facts });
        }
        book.note_read(read);
    }
    found
}

fn panics(logs: &str) -> Vec<Finding> {
    let lines = logs.lines().filter(|line| line.contains("panicked"));
    lines.map(|line| Finding { rule: "panic", facts: line.to_owned() }).collect()
}

fn proxy_log(fleet: &mut Fleet, front: usize) -> String {
    fleet.cluster.process(&Unit::Proxy(front).name()).map(|process| process.output()).unwrap_or_default()
}

fn ledger_text(fleet: &Fleet, started: Duration, attempts: &[Attempt], book: &Book) -> String {
    let mut text = format!("troubles begin at {} ms\n", started.as_millis());
    // Writing to a string does not fail.
    for put in book.puts() {
        let verdict = put.verdict.status();
        let (began, ended) = (put.began.as_millis(), put.ended.as_millis());
        let _ =
            writeln!(text, "put {}..{} version {} on {} {verdict:?}", began, ended, put.version, put.base);
    }
    for read in book.reads() {
        let version = read.bytes.as_deref().and_then(crate::configuration::version_of);
        let (began, ended) = (read.began.as_millis(), read.ended.as_millis());
        let _ = writeln!(text, "read {began}..{ended} at {} {version:?}", read.from);
    }
    for attempt in attempts {
        let outcome = &attempt.outcome;
        let (began, ended) = (attempt.began.as_millis(), attempt.ended.as_millis());
        let _ = writeln!(
            text,
            "request {began}..{ended} {} {} front {} kept {} {:?} {:?} {:?}",
            outcome.request_id,
            outcome.target,
            attempt.front,
            attempt.is_kept,
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
