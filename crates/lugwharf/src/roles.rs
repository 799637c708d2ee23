//! The processes of the fleet: proxy, agent and control. They share their options.

use crate::runtime::block_on;
use crate::tuning_file::{self, TuningFile};
use crate::usage::UsageError;
use crate::{front_end, logging};
use eyre::{Result, WrapErr};
use getopts::{Matches, Options};
use lugwharf_agent::AgentOptions;
use lugwharf_control::ControlOptions;
use lugwharf_proxy::ProxyOptions;
use lugwharf_settings::Settings;
use spdlog::Level;

const LOG: &str = "log";
const METRICS: &str = "metrics";
const SETTINGS: &str = "settings";

/// Adds the options of a process.
pub fn add_options(options: &mut Options) {
    options.optopt(
        "l",
        LOG,
        "the least severe level that is logged: error, warn, info, debug, trace",
        "LEVEL",
    );
    options.optopt("m", METRICS, "serve GET /metrics on this port of the machine's address", "PORT");
    options.optopt(
        "t",
        tuning_file::OPTION,
        "a file with parameters of the routing and planning decisions",
        "FILE",
    );
    options.optopt("s", SETTINGS, "the settings file, if not the one in LUGWHARF_BOOT", "FILE");
}

/// The log level that the options name, or the default; the error says what is wrong with it.
pub fn log_level(matches: &Matches) -> Result<Level, String> {
    let name = matches.opt_str(LOG).unwrap_or_else(|| logging::DEFAULT_LEVEL.to_owned());
    logging::level(&name).ok_or_else(|| format!("no log level {name:?}"))
}

/// Starts the log. From now on violated invariants are counted and logged, and end no process, in every build.
pub fn prepare_process(level: Level) -> Result<()> {
    logging::start(level)?;
    lugwharf_invariants::count_violations_only();
    lugwharf_telemetry::install_violation_logger();
    Ok(())
}

/// `lugwharf proxy`
pub fn run_proxy(matches: &Matches) -> Result<()> {
    let metrics_port = metrics_port(matches)?;
    let tuning = TuningFile::from_options(matches)?.routing;
    let options = ProxyOptions { metrics_port, tuning, ..ProxyOptions::default() };
    block_on(lugwharf_proxy::run_with_options(settings(matches)?, options))
}

/// `lugwharf agent`
pub fn run_agent(matches: &Matches) -> Result<()> {
    let options = AgentOptions { metrics_port: metrics_port(matches)?, ..AgentOptions::default() };
    front_end::run_agent(settings(matches)?, options, TuningFile::from_options(matches)?.stages)
}

/// `lugwharf control`
pub fn run_control(matches: &Matches) -> Result<()> {
    let stages = TuningFile::from_options(matches)?.stages;
    let options = ControlOptions { metrics_port: metrics_port(matches)?, stages };
    block_on(lugwharf_control::run(settings(matches)?, options))
}

fn settings(matches: &Matches) -> Result<Settings> {
    let path = matches.opt_str(SETTINGS).map_or_else(Settings::path, Into::into);
    Settings::read(&path).wrap_err("settings")
}

/// The port of the option `--metrics`, if it is given.
fn metrics_port(matches: &Matches) -> Result<Option<u16>> {
    let Some(text) = matches.opt_str(METRICS) else { return Ok(None) };
    let port = text.parse().ok().filter(|port| *port > 0);
    let port = port.ok_or(UsageError::Port { option: METRICS, value: text })?;
    Ok(Some(port))
}
