//! The command line of `lugwharf-soak`.

use eyre::{Result, WrapErr, ensure, eyre};
use getopts::{Matches, Options};
use lugwharf_soak::{FaultKind, Overlap, Schedule};
use std::path::PathBuf;
use std::time::Duration;

/// The default of `--binary`.
const DEFAULT_BINARY: &str = "target/fleet/lugwharf";
/// The default of `--folder`.
const DEFAULT_FOLDER: &str = "soak-found";

/// The options that apply to each seed.
#[derive(Clone)]
pub struct Plan {
    /// The program under test.
    pub binary: PathBuf,
    /// The folder that the records of failing seeds are written to.
    pub folder: PathBuf,
    /// The maximum number of faults that are active at the same time.
    pub overlap: Overlap,
    /// How long faults are injected.
    pub fault_phase: Duration,
    /// The schedule to run instead of the one drawn from the seed.
    pub schedule: Option<Schedule>,
    /// The kinds of faults that schedules are drawn from.
    pub kinds: Vec<FaultKind>,
    /// Whether faults are also injected while the fleet starts for the first time.
    pub has_startup_faults: bool,
    /// Whether front-end nodes host control.
    pub is_without_core: bool,
    /// Whether runs without findings leave records too.
    pub keeps_all_records: bool,
}

/// The command that the command line selects.
pub enum Command {
    /// Prints the given help text.
    Help(String),
    /// Runs seeds, `jobs` of them at a time.
    Play {
        /// The options for each seed.
        plan: Plan,
        /// The seeds.
        seeds: Vec<u64>,
        /// The number of seeds that run at the same time.
        jobs: usize,
    },
    /// Minimizes the schedule of a failing seed.
    Minimize {
        /// The options for the seed.
        plan: Plan,
        /// The seed.
        seed: u64,
    },
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optopt("b", "binary", "the program (target/fleet/lugwharf)", "FILE");
    options.optopt("s", "seed", "plays one seed", "N");
    options.optopt("r", "seeds", "plays a range of seeds, the last one left out", "FIRST..END");
    options.optopt("o", "overlap", "faults at a time (2); 0 for none", "N");
    options.optopt("l", "seconds", "for how long faults are injected (12)", "N");
    options.optopt("j", "jobs", "seeds at a time (1)", "N");
    options.optopt("f", "folder", "where failing seeds leave their records (soak-found)", "FOLDER");
    options.optopt("p", "schedule", "plays the faults of this file in place of those of the seed", "FILE");
    options.optopt("n", "only", "draws faults of these kinds alone, as control_kill,pair_silent", "KINDS");
    options.optflag(
        "t",
        "startle",
        "kills and pauses processes also while the fleet starts for the first time",
    );
    options.optflag(
        "w",
        "without-core",
        "lets the first front-end nodes host control, as where there are no machines for it",
    );
    options.optflag("k", "keep", "leaves records of seeds without findings as well");
    options.optflag("m", "minimize", "leaves out faults of a failing seed that it fails without");
    options
}

/// Parses the arguments of the program.
///
/// # Errors
/// An option is unknown, a value is not a valid number, seed range, schedule or fault kind, or the program
/// does not exist.
pub fn parse(arguments: &[String]) -> Result<Command> {
    let matches = options().parse(arguments)?;
    if matches.opt_present("help") {
        return Ok(Command::Help(options().usage("Usage: lugwharf-soak [OPTIONS]")));
    }
    let path = |name: &str, default: &str| PathBuf::from(matches.opt_str(name).unwrap_or(default.to_owned()));
    let plan = Plan {
        binary: path("binary", DEFAULT_BINARY),
        folder: path("folder", DEFAULT_FOLDER),
        overlap: Overlap(number(&matches, "overlap", 2)? as usize),
        fault_phase: Duration::from_secs(number(&matches, "seconds", 12)?),
        schedule: matches.opt_str("schedule").map(|path| read_schedule(&path)).transpose()?,
        kinds: kinds(&matches)?,
        has_startup_faults: matches.opt_present("startle"),
        is_without_core: matches.opt_present("without-core"),
        keeps_all_records: matches.opt_present("keep"),
    };
    ensure!(plan.binary.exists(), "no program exists at {}", plan.binary.display());
    let seeds = seeds(&matches)?;
    if matches.opt_present("minimize") {
        return Ok(Command::Minimize { plan, seed: seeds[0] });
    }
    let jobs = number(&matches, "jobs", 1)? as usize;
    Ok(Command::Play { plan, seeds, jobs })
}

fn kinds(matches: &Matches) -> Result<Vec<FaultKind>> {
    let Some(text) = matches.opt_str("only") else { return Ok(FaultKind::default_kinds()) };
    let with_name = |name: &str| FaultKind::ALL.iter().copied().find(|kind| kind.name() == name);
    let kinds =
        text.split(',').map(|name| with_name(name).ok_or_else(|| eyre!("unknown fault kind {name:?}")));
    kinds.collect()
}

fn number(matches: &Matches, name: &str, default: u64) -> Result<u64> {
    let Some(text) = matches.opt_str(name) else { return Ok(default) };
    text.parse().wrap_err_with(|| format!("invalid number in --{name}: {text:?}"))
}

/// The seeds to run; at least one.
fn seeds(matches: &Matches) -> Result<Vec<u64>> {
    if let Some(range) = matches.opt_str("seeds") {
        let (first, end) = range
            .split_once("..")
            .ok_or_else(|| eyre!("--seeds {range:?} is not a range of the form FIRST..END"))?;
        let seeds: Vec<u64> = (first.parse()?..end.parse()?).collect();
        ensure!(!seeds.is_empty(), "--seeds {range} is an empty range");
        return Ok(seeds);
    }
    Ok(vec![number(matches, "seed", 1)?])
}

fn read_schedule(path: &str) -> Result<Schedule> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read the schedule {path}"))?;
    Schedule::parse(&text).map_err(|error| eyre!("cannot parse the schedule {path}: {error}"))
}
