//! The processes of the fleet, which share their options: proxy, agent and control.

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

const LOG_OPTION: &str = "log";
const METRICS_OPTION: &str = "metrics";
const SETTINGS_OPTION: &str = "settings";

/// Adds the options that all processes of the fleet share.
pub fn add_options(options: &mut Options) {
    options.optopt(
        "l",
        LOG_OPTION,
        "the least severe level that is logged: error, warn, info, debug, trace",
        "LEVEL",
    );
    options.optopt("m", METRICS_OPTION, "serve GET /metrics on this port of the machine's address", "PORT");
    options.optopt(
        "t",
        tuning_file::OPTION,
        "a file with parameters of the routing and planning decisions",
        "FILE",
    );
    options.optopt("s", SETTINGS_OPTION, "the settings file, if not the one in LUGWHARF_BOOT", "FILE");
}

/// Returns the log level that the options name, or the default. The error is the reason why the name is
/// invalid.
pub fn log_level(matches: &Matches) -> Result<Level, String> {
    let name = matches.opt_str(LOG_OPTION).unwrap_or_else(|| logging::DEFAULT_LEVEL.to_owned());
    logging::level(&name).ok_or_else(|| format!("no log level {name:?}"))
}

/// Initializes the log. From now on, violated invariants are counted and logged instead of ending the
/// process, in every build.
pub fn init_process(level: Level) -> Result<()> {
    logging::init(level)?;
    lugwharf_invariants::count_violations_only();
    lugwharf_telemetry::install_violation_logger();
    Ok(())
}

/// Runs `lugwharf proxy`.
pub fn run_proxy(matches: &Matches) -> Result<()> {
    let metrics_port = metrics_port(matches)?;
    let tuning = TuningFile::from_options(matches)?.routing;
    let options = ProxyOptions { metrics_port, tuning, ..ProxyOptions::default() };
    block_on(lugwharf_proxy::run_with_options(settings(matches)?, options))
}

/// Runs `lugwharf agent`.
pub fn run_agent(matches: &Matches) -> Result<()> {
    let options = AgentOptions { metrics_port: metrics_port(matches)?, ..AgentOptions::default() };
    front_end::run_agent(settings(matches)?, options, TuningFile::from_options(matches)?.stages)
}

/// Runs `lugwharf control`.
pub fn run_control(matches: &Matches) -> Result<()> {
    let stages = TuningFile::from_options(matches)?.stages;
    let options = ControlOptions { metrics_port: metrics_port(matches)?, stages };
    block_on(lugwharf_control::run(settings(matches)?, options))
}

/// Reads the settings file of the option `--settings`, or else the default one.
fn settings(matches: &Matches) -> Result<Settings> {
    let path = matches.opt_str(SETTINGS_OPTION).map_or_else(Settings::path, Into::into);
    Settings::read(&path).wrap_err("settings")
}

/// Returns the port of the option `--metrics`, if the option is given.
fn metrics_port(matches: &Matches) -> Result<Option<u16>> {
    let Some(text) = matches.opt_str(METRICS_OPTION) else { return Ok(None) };
    let port = text.parse().ok().filter(|port| *port > 0);
    let port = port.ok_or(UsageError::Port { option: METRICS_OPTION, value: text })?;
    Ok(Some(port))
}
