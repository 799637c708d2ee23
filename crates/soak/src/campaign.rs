//! Runs many seeds, and minimizes the schedule of a failing seed.

use crate::command_line::Plan;
use eyre::Result;
use lugwharf_soak::{RunOutcome, Scenario, Schedule, Summary, run, write_run_folder};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Runs seeds, `jobs` of them at a time, and prints the result of each and a summary. Returns whether all
/// seeds were run and none had findings.
pub fn play_seeds(plan: &Plan, seeds: &[u64], jobs: usize) -> bool {
    let next_index = AtomicUsize::new(0);
    let not_played = AtomicUsize::new(0);
    let summary = Mutex::new(Summary::default());
    let play_remaining = || {
        while let Some(seed) = seeds.get(next_index.fetch_add(1, Ordering::Relaxed)) {
            match play_seed(plan, *seed, plan.schedule.clone()) {
                Ok(outcome) => {
                    report(plan, *seed, &outcome);
                    summary.lock().unwrap_or_else(PoisonError::into_inner).add(*seed, &outcome);
                }
                Err(error) => {
                    not_played.fetch_add(1, Ordering::Relaxed);
                    println!("seed {seed}: not played: {error:#}");
                }
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(play_remaining);
        }
    });
    let summary = summary.into_inner().unwrap_or_else(PoisonError::into_inner);
    let not_played = not_played.into_inner();
    print!("{summary}");
    if not_played > 0 {
        println!("not played {not_played}");
    }
    summary.is_clean() && not_played == 0
}

fn scenario(plan: &Plan, seed: u64) -> Scenario {
    let scenario_of = if plan.is_without_core { Scenario::without_core } else { Scenario::with_core };
    let scenario = scenario_of(seed, plan.overlap, plan.fault_phase);
    Scenario { has_startup_faults: plan.has_startup_faults, ..scenario }
}

/// Runs `schedule`, or the one drawn from the seed if it is `None`.
fn play_seed(plan: &Plan, seed: u64, schedule: Option<Schedule>) -> Result<RunOutcome> {
    let scenario = scenario(plan, seed);
    let schedule = schedule.unwrap_or_else(|| Schedule::draw_from_kinds(&scenario, &plan.kinds));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(&plan.binary, &scenario, &schedule))
}

/// Prints the result of a seed, and writes its records if it has findings or all records are kept.
fn report(plan: &Plan, seed: u64, outcome: &RunOutcome) {
    match outcome.findings.first() {
        None => println!("seed {seed}: ok, {} of {} requests", outcome.successes, outcome.requests),
        Some(first) => {
            let (count, rule, facts) = (outcome.findings.len(), first.rule, &first.facts);
            println!("seed {seed}: {count} findings, first {rule}: {facts}");
        }
    }
    if outcome.findings.is_empty() && !plan.keeps_all_records {
        return;
    }
    let folder = plan.folder.join(format!("seed-{seed}"));
    match write_run_folder(&folder, outcome) {
        Ok(()) => println!("seed {seed}: records in {}", folder.display()),
        Err(error) => println!("seed {seed}: no records in {}: {error}", folder.display()),
    }
}

/// Minimizes the schedule of a failing seed: removes a fault if the first finding of a run without the fault
/// still has the same rule. Writes the remaining schedule to the folder of the plan. Returns whether the seed
/// has no findings even with the full schedule.
pub fn minimize(plan: &Plan, seed: u64) -> Result<bool> {
    let scenario = scenario(plan, seed);
    let drawn = || Schedule::draw_from_kinds(&scenario, &plan.kinds);
    let mut schedule = plan.schedule.clone().unwrap_or_else(drawn);
    let Some(rule) = first_rule(plan, seed, &schedule)? else {
        println!("seed {seed} does not fail");
        return Ok(true);
    };
    let mut index = 0;
    while index < schedule.faults.len() {
        let mut reduced_schedule = schedule.clone();
        let removed_fault = reduced_schedule.faults.remove(index);
        if first_rule(plan, seed, &reduced_schedule)? == Some(rule) {
            println!("not needed: {removed_fault}");
            schedule = reduced_schedule;
        } else {
            index += 1;
        }
    }
    let path = write_schedule(&plan.folder, seed, &schedule)?;
    println!("seed {seed} fails ({rule}) with\n{schedule}in {}", path.display());
    Ok(false)
}

/// Runs a schedule and returns the rule of its first finding, if any.
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
