//! `lugwharf-soak`: plays seeds on real processes, and keeps a folder for each that fails.
#![forbid(unsafe_code)]

use eyre::{Result, WrapErr, ensure, eyre};
use getopts::{Matches, Options};
use lugwharf_soak::{FaultKind, Overlap, RunOutcome, Scenario, Schedule, Summary, run, write_run_folder};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    match run_command() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("lugwharf-soak: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optopt("b", "binary", "the program (target/fleet/lugwharf)", "FILE");
    options.optopt("s", "seed", "plays one seed", "N");
    options.optopt("r", "seeds", "plays a range of seeds, the last one left out", "FIRST..END");
    options.optopt("o", "overlap", "troubles at a time (2); 0 for none", "N");
    options.optopt("l", "seconds", "for how long troubles go on (12)", "N");
    options.optopt("j", "jobs", "seeds at a time (1)", "N");
    options.optopt("f", "folder", "where failing seeds leave their records (soak-found)", "FOLDER");
    options.optopt("p", "schedule", "plays the troubles of this file in place of those of the seed", "FILE");
    options.optopt("n", "only", "draws troubles of these kinds alone, as control_kill,pair_silent", "KINDS");
    options.optflag(
        "t",
        "startle",
        "ends and freezes processes also while everything starts for the first time",
    );
    options.optflag(
        "w",
        "without-core",
        "lets the first fronts host control, as where there are no machines for it",
    );
    options.optflag("k", "keep", "leaves records of seeds that don't fail as well");
    options.optflag("m", "minimize", "leaves out troubles of a failing seed that it fails without");
    options
}

/// What is to be played.
#[derive(Clone)]
struct Plan {
    binary: PathBuf,
    folder: PathBuf,
    overlap: Overlap,
    length: Duration,
    schedule: Option<Schedule>,
    /// The kinds that are drawn.
    kinds: Vec<FaultKind>,
    /// Whether the first start has troubles too.
    has_startup_faults: bool,
    /// Whether fronts host control.
    is_without_core: bool,
    /// Whether runs that find nothing leave their records too.
    keeps_all: bool,
}

fn run_command() -> Result<bool> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = options().parse(&arguments)?;
    if matches.opt_present("help") {
        print!("{}", options().usage("Usage: lugwharf-soak [OPTIONS]"));
        return Ok(true);
    }
    let plan = Plan {
        binary: matches.opt_str("binary").unwrap_or_else(|| "target/fleet/lugwharf".to_owned()).into(),
        folder: matches.opt_str("folder").unwrap_or_else(|| "soak-found".to_owned()).into(),
        overlap: Overlap(number(&matches, "overlap", 2)? as usize),
        length: Duration::from_secs(number(&matches, "seconds", 12)?),
        schedule: matches.opt_str("schedule").map(|path| read_schedule(&path)).transpose()?,
        kinds: kinds(&matches)?,
        has_startup_faults: matches.opt_present("startle"),
        is_without_core: matches.opt_present("without-core"),
        keeps_all: matches.opt_present("keep"),
    };
    ensure!(plan.binary.exists(), "no program at {}", plan.binary.display());
    let seeds = seeds(&matches)?;
    if matches.opt_present("minimize") {
        return minimize(&plan, seeds[0]);
    }
    let jobs = number(&matches, "jobs", 1)? as usize;
    Ok(play_seeds(&plan, &seeds, jobs))
}

fn kinds(matches: &Matches) -> Result<Vec<FaultKind>> {
    let Some(text) = matches.opt_str("only") else { return Ok(FaultKind::default_kinds()) };
    let named = |name: &str| FaultKind::ALL.iter().copied().find(|kind| kind.name() == name);
    let kinds = text.split(',').map(|name| named(name).ok_or_else(|| eyre!("no trouble {name:?}")));
    kinds.collect()
}

fn number(matches: &Matches, name: &str, usual: u64) -> Result<u64> {
    let Some(text) = matches.opt_str(name) else { return Ok(usual) };
    text.parse().wrap_err_with(|| format!("--{name} {text:?}"))
}

fn seeds(matches: &Matches) -> Result<Vec<u64>> {
    if let Some(range) = matches.opt_str("seeds") {
        let (first, end) = range.split_once("..").ok_or_else(|| eyre!("--seeds takes FIRST..END"))?;
        let seeds: Vec<u64> = (first.parse()?..end.parse()?).collect();
        ensure!(!seeds.is_empty(), "--seeds {range} is empty");
        return Ok(seeds);
    }
    Ok(vec![number(matches, "seed", 1)?])
}

fn read_schedule(path: &str) -> Result<Schedule> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.to_owned())?;
    Schedule::parse(&text).map_err(|error| eyre!("{path}: {error}"))
}

/// Plays seeds side by side; whether none failed.
fn play_seeds(plan: &Plan, seeds: &[u64], jobs: usize) -> bool {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let summary = std::sync::Mutex::new(Summary::default());
    let errors = std::sync::atomic::AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let Some(seed) = seeds.get(index) else { return };
                    match play_seed(plan, *seed, plan.schedule.clone()) {
                        Ok(outcome) => {
                            report(plan, *seed, &outcome);
                            let mut summary = summary.lock().unwrap_or_else(|error| error.into_inner());
                            summary.add(*seed, &outcome);
                        }
                        Err(error) => {
                            errors.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                            println!("seed {seed}: not played: {error:#}");
                        }
                    }
                }
            });
        }
    });
    let summary = summary.into_inner().unwrap_or_else(|error| error.into_inner());
    let errors = errors.into_inner();
    print!("{summary}");
    if errors > 0 {
        println!("not played {errors}");
    }
    summary.is_clean() && errors == 0
}

fn scenario(plan: &Plan, seed: u64) -> Scenario {
    let draw = if plan.is_without_core { Scenario::without_core } else { Scenario::of };
    Scenario { has_startup_faults: plan.has_startup_faults, ..draw(seed, plan.overlap, plan.length) }
}

fn play_seed(plan: &Plan, seed: u64, schedule: Option<Schedule>) -> Result<RunOutcome> {
    let scenario = scenario(plan, seed);
    let schedule = schedule.unwrap_or_else(|| Schedule::draw_from_kinds(&scenario, &plan.kinds));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(&plan.binary, &scenario, &schedule))
}

fn report(plan: &Plan, seed: u64, outcome: &RunOutcome) {
    match outcome.findings.first() {
        None => println!("seed {seed}: ok, {} of {} requests", outcome.successes, outcome.requests),
        Some(first) => {
            let (count, rule, facts) = (outcome.findings.len(), first.rule, &first.facts);
            println!("seed {seed}: {count} findings, first {rule}: {facts}");
        }
    }
    if outcome.findings.is_empty() && !plan.keeps_all {
        return;
    }
    let folder = plan.folder.join(format!("seed-{seed}"));
    match write_run_folder(&folder, outcome) {
        Ok(()) => println!("seed {seed}: records in {}", folder.display()),
        Err(error) => println!("seed {seed}: no records in {}: {error}", folder.display()),
    }
}

/// Leaves out one trouble after the other of a failing seed, as long as it still fails with the same first finding.
fn minimize(plan: &Plan, seed: u64) -> Result<bool> {
    let scenario = scenario(plan, seed);
    let mut schedule =
        plan.schedule.clone().unwrap_or_else(|| Schedule::draw_from_kinds(&scenario, &plan.kinds));
    let rule = first_rule(plan, seed, &schedule)?;
    let Some(rule) = rule else {
        println!("seed {seed} does not fail");
        return Ok(true);
    };
    let mut index = 0;
    while index < schedule.faults.len() {
        let mut shorter = schedule.clone();
        let left_out = shorter.faults.remove(index);
        if first_rule(plan, seed, &shorter)? == Some(rule) {
            println!("not needed: {left_out}");
            schedule = shorter;
        } else {
            index += 1;
        }
    }
    let path = write_schedule(&plan.folder, seed, &schedule)?;
    println!("seed {seed} fails ({rule}) with\n{schedule}in {}", path.display());
    Ok(false)
}

fn first_rule(plan: &Plan, seed: u64, schedule: &Schedule) -> Result<Option<&'static str>> {
    let outcome = play_seed(plan, seed, Some(schedule.clone()))?;
    Ok(outcome.findings.first().map(|finding| finding.rule))
}

fn write_schedule(folder: &Path, seed: u64, schedule: &Schedule) -> Result<PathBuf> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join(format!("seed-{seed}-minimal.txt"));
    std::fs::write(&path, schedule.to_string())?;
    Ok(path)
}
