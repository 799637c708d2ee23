//! The subcommands: what each takes, and what it starts.

use crate::tuning_file::{self, TuningFile};
use crate::usage::UsageError;
use crate::{front, logging};
use eyre::{Result, WrapErr};
use getopts::{Matches, Options};
use lugwharf_agent::AgentOptions;
use lugwharf_config::{Configuration, PATCH_SCHEMA, SCHEMA};
use lugwharf_control::ControlOptions;
use lugwharf_proxy::ProxyOptions;
use lugwharf_settings::{Settings, SettingsError};
use std::future::Future;
use std::io::Write;
use std::path::Path;

/// One subcommand.
struct Command {
    name: &'static str,
    /// Whether it is a process of the fleet; else it is a tool.
    is_role: bool,
    /// What it works on.
    operand: Operand,
    summary: &'static str,
    run: fn(&Matches) -> Result<()>,
}

/// What a subcommand takes besides options.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Operand {
    Nothing,
    File,
}

const PRINT_SCHEMA: &str = "print-schema";
/// The option of [`PRINT_SCHEMA`] that chooses the other schema.
const PATCH: &str = "patch";

const COMMANDS: [Command; 7] = [
    Command {
        name: "proxy",
        is_role: true,
        operand: Operand::Nothing,
        summary: "the data plane of a front: takes clients' requests and routes them",
        run: run_proxy,
    },
    Command {
        name: "agent",
        is_role: true,
        operand: Operand::Nothing,
        summary: "the link of a front to the control plane; feeds the proxy over loopback",
        run: run_agent,
    },
    Command {
        name: "control",
        is_role: true,
        operand: Operand::Nothing,
        summary: "a control process: the operator's API, a replica, the list of servers",
        run: run_control,
    },
    Command {
        name: "check-config",
        is_role: false,
        operand: Operand::File,
        summary: "checks a configuration (JSON) as `PUT /config` would",
        run: check_config,
    },
    Command {
        name: "check-settings",
        is_role: false,
        operand: Operand::File,
        summary: "checks a settings file (TOML)",
        run: check_settings,
    },
    Command {
        name: "check-tuning",
        is_role: false,
        operand: Operand::File,
        summary: "checks a file for --tuning (TOML)",
        run: check_tuning,
    },
    Command {
        name: PRINT_SCHEMA,
        is_role: false,
        operand: Operand::Nothing,
        summary: "prints the JSON schema that every configuration is checked against",
        run: print_schema,
    },
];

/// Runs the subcommand that the arguments name.
pub fn run(arguments: &[String]) -> Result<()> {
    match arguments.first().map(String::as_str) {
        None => Err(UsageError::NoSubcommand.into()),
        Some("--help" | "-h" | "help") => {
            print!("{}", overview());
            Ok(())
        }
        Some("--version" | "-V") => {
            println!("lugwharf {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some(name) => {
            let command = COMMANDS.iter().find(|command| command.name == name);
            let command = command.ok_or_else(|| UsageError::UnknownSubcommand(name.to_owned()))?;
            start(command, &arguments[1..])
        }
    }
}

fn start(command: &Command, arguments: &[String]) -> Result<()> {
    let wrong = |reason: String| UsageError::Subcommand { name: command.name, reason };
    let matches = options(command).parse(arguments).map_err(|error| wrong(error.to_string()))?;
    if matches.opt_present("help") {
        print!("{}", usage(command));
        return Ok(());
    }
    match (command.operand, matches.free.as_slice()) {
        (Operand::Nothing, []) | (Operand::File, [_]) => {}
        (Operand::Nothing, [surplus, ..]) => return Err(wrong(format!("takes no {surplus:?}")).into()),
        (Operand::File, _) => return Err(wrong("takes one file".to_owned()).into()),
    }
    if command.is_role {
        let level = matches.opt_str("log").unwrap_or_else(|| logging::DEFAULT_LEVEL.to_owned());
        logging::start(logging::level(&level).ok_or_else(|| wrong(format!("no log level {level:?}")))?)?;
        // A process in service counts what should never be and goes on, in every build.
        lugwharf_invariants::count_only();
        lugwharf_telemetry::log_violations();
    }
    (command.run)(&matches)
}

fn options(command: &Command) -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    if command.name == PRINT_SCHEMA {
        options.optflag("p", PATCH, "the schema of changes of named items (PATCH /config)");
    }
    if !command.is_role {
        return options;
    }
    options.optopt(
        "l",
        "log",
        "the least severe level that is logged: error, warn, info, debug, trace",
        "LEVEL",
    );
    options.optopt("m", "metrics", "serve GET /metrics on this port of the machine's address", "PORT");
    options.optopt("t", tuning_file::OPTION, "a file with figures and switches of the decisions", "FILE");
    options.optopt("s", "settings", "the settings file, if not the one in LUGWHARF_BOOT", "FILE");
    options
}

fn overview() -> String {
    let mut text = String::from("Usage: lugwharf SUBCOMMAND [OPTIONS]\n\nSubcommands:\n");
    for command in &COMMANDS {
        text.push_str(&format!("    {:<16}{}\n", command.name, command.summary));
    }
    text.push_str(
        "\n`lugwharf SUBCOMMAND --help` lists the options of each, `lugwharf --version` tells the version.\n",
    );
    text.push_str("Exit status: 0 for success, 1 for a failure, 2 for a wrong command line.\n");
    text
}

fn usage(command: &Command) -> String {
    let operand = match command.operand {
        Operand::Nothing => "",
        Operand::File => " FILE",
    };
    let Command { name, summary, .. } = command;
    let brief = format!("Usage: lugwharf {name}{operand} [OPTIONS]\n\nlugwharf {name}: {summary}");
    options(command).usage(&brief)
}

fn settings(matches: &Matches) -> Result<Settings> {
    let path = matches.opt_str("settings").map_or_else(Settings::path, Into::into);
    Settings::read(&path).wrap_err("settings")
}

/// One thread: the machines have a fraction of a core, and a second thread would only cost wake-ups and memory.
pub fn block_on(task: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().wrap_err("the runtime")?;
    let result = runtime.block_on(task);
    // What is still under way has nobody to wait for it.
    runtime.shutdown_background();
    result
}

/// The port that the option `--metrics` names.
fn metrics_port(matches: &Matches) -> Result<Option<u16>> {
    let Some(text) = matches.opt_str("metrics") else { return Ok(None) };
    let port = text.parse().ok().filter(|port| *port > 0);
    let port = port.ok_or(UsageError::Port { option: "metrics", value: text })?;
    Ok(Some(port))
}

fn run_proxy(matches: &Matches) -> Result<()> {
    let metrics_port = metrics_port(matches)?;
    let tuning = TuningFile::of(matches)?.routing;
    let options = ProxyOptions { metrics_port, tuning, ..ProxyOptions::default() };
    block_on(lugwharf_proxy::run_with(settings(matches)?, options))
}

fn run_agent(matches: &Matches) -> Result<()> {
    let options = AgentOptions { metrics_port: metrics_port(matches)?, ..AgentOptions::default() };
    front::run_agent(settings(matches)?, options, TuningFile::of(matches)?.stages)
}

fn run_control(matches: &Matches) -> Result<()> {
    let stages = TuningFile::of(matches)?.stages;
    let options = ControlOptions { metrics_port: metrics_port(matches)?, stages };
    block_on(lugwharf_control::run(settings(matches)?, options))
}

/// The one operand; its presence was checked.
fn file(matches: &Matches) -> &str {
    matches.free.first().map_or("", String::as_str)
}

fn check_config(matches: &Matches) -> Result<()> {
    let path = file(matches);
    let bytes = std::fs::read(path).wrap_err_with(|| path.to_owned())?;
    let configuration = Configuration::parse(&bytes).wrap_err_with(|| path.to_owned())?;
    println!(
        "{path}: version {}, {} routes, {} services",
        configuration.version,
        configuration.routes.len(),
        configuration.services.len()
    );
    Ok(())
}

fn check_settings(matches: &Matches) -> Result<()> {
    let path = file(matches);
    let settings = Settings::read(Path::new(path)).map_err(|error| match error {
        // It names the file itself.
        SettingsError::Unreadable { .. } => eyre::Report::new(error),
        error => eyre::Report::new(error).wrap_err(path.to_owned()),
    })?;
    settings.control_placement().wrap_err_with(|| path.to_owned())?;
    println!("{path}: node {}, role {}", settings.node, settings.role);
    Ok(())
}

fn check_tuning(matches: &Matches) -> Result<()> {
    let path = file(matches);
    let tuning = TuningFile::read(Path::new(path))?;
    println!("{path}: {tuning}");
    Ok(())
}

fn print_schema(matches: &Matches) -> Result<()> {
    let schema = if matches.opt_present(PATCH) { PATCH_SCHEMA } else { SCHEMA };
    let mut out = std::io::stdout().lock();
    out.write_all(schema.as_bytes()).and_then(|()| out.flush()).wrap_err("standard output")
}
