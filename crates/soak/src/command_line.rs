//! The command line of `lugwharf-soak`.

use eyre::{Result, WrapErr, ensure, eyre};
use getopts::{Matches, Options};
use lugwharf_soak::{FaultKind, Overlap, Schedule};
use std::path::PathBuf;
use std::time::Duration;

/// The program that is played unless another is named.
const DEFAULT_BINARY: &str = "target/fleet/lugwharf";
/// The folder of failing seeds unless another is named.
const DEFAULT_FOLDER: &str = "soak-found";

/// How seeds are played.
#[derive(Clone)]
pub struct Plan {
    /// The program under test.
    pub binary: PathBuf,
    /// Where the records of failing seeds are written.
    pub folder: PathBuf,
    /// Faults at a time.
    pub overlap: Overlap,
    /// For how long faults are injected.
    pub fault_phase: Duration,
    /// Played in place of the schedule that a seed draws.
    pub schedule: Option<Schedule>,
    /// The kinds of faults that are drawn.
    pub kinds: Vec<FaultKind>,
    /// Whether faults are injected during the first start as well.
    pub has_startup_faults: bool,
    /// Whether front-end nodes host control.
    pub is_without_core: bool,
    /// Whether runs without findings leave records too.
    pub keeps_all_records: bool,
}

/// What the command line asks for.
pub enum Command {
    /// Prints this text.
    Help(String),
    /// Plays seeds, so many at a time.
    Play {
        /// How they are played.
        plan: Plan,
        /// The seeds.
        seeds: Vec<u64>,
        /// Seeds at a time.
        jobs: usize,
    },
    /// Reduces the schedule of a failing seed.
    Minimize {
        /// How it is played.
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

/// Reads the arguments of the program.
///
/// # Errors
/// An unknown option, a value that is no number, seed range, schedule or kind, or a program that does not exist.
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
    ensure!(plan.binary.exists(), "no program at {}", plan.binary.display());
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
    let kinds = text.split(',').map(|name| with_name(name).ok_or_else(|| eyre!("no trouble {name:?}")));
    kinds.collect()
}

fn number(matches: &Matches, name: &str, default: u64) -> Result<u64> {
    let Some(text) = matches.opt_str(name) else { return Ok(default) };
    text.parse().wrap_err_with(|| format!("--{name} {text:?}"))
}

/// The seeds to be played; at least one.
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
