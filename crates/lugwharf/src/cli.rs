//! The command line: the subcommands, their options and their help texts.

use crate::usage::UsageError;
use crate::{roles, tools};
use eyre::Result;
use getopts::{Matches, Options};

/// A subcommand of `lugwharf`.
struct Subcommand {
    name: &'static str,
    kind: SubcommandKind,
    operand: Operand,
    /// What the subcommand does, as one line of the help text.
    summary: &'static str,
    /// Adds the subcommand's options other than `--help`.
    add_options: fn(&mut Options),
    run: fn(&Matches) -> Result<()>,
}

/// Whether a subcommand runs a process of the fleet or a tool.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SubcommandKind {
    /// A process of the fleet, which writes a log and counts violated invariants.
    Role,
    /// A tool for operators, which runs to completion.
    Tool,
}

/// The operand that a subcommand takes besides options.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Operand {
    Nothing,
    File,
}

const SUBCOMMANDS: [Subcommand; 7] = [
    Subcommand {
        name: "proxy",
        kind: SubcommandKind::Role,
        operand: Operand::Nothing,
        summary: "the data plane of a front-end node: accepts clients' requests and routes them",
        add_options: roles::add_options,
        run: roles::run_proxy,
    },
    Subcommand {
        name: "agent",
        kind: SubcommandKind::Role,
        operand: Operand::Nothing,
        summary: "connects a front-end node to the control plane and feeds its proxy over loopback",
        add_options: roles::add_options,
        run: roles::run_agent,
    },
    Subcommand {
        name: "control",
        kind: SubcommandKind::Role,
        operand: Operand::Nothing,
        summary: "a control process: the operator's API, a replica, the list of servers",
        add_options: roles::add_options,
        run: roles::run_control,
    },
    Subcommand {
        name: "check-config",
        kind: SubcommandKind::Tool,
        operand: Operand::File,
        summary: "validates a configuration (JSON) as `PUT /config` would",
        add_options: no_options,
        run: tools::check_config,
    },
    Subcommand {
        name: "check-settings",
        kind: SubcommandKind::Tool,
        operand: Operand::File,
        summary: "validates a settings file (TOML)",
        add_options: no_options,
        run: tools::check_settings,
    },
    Subcommand {
        name: "check-tuning",
        kind: SubcommandKind::Tool,
        operand: Operand::File,
        summary: "validates a file for --tuning (TOML)",
        add_options: no_options,
        run: tools::check_tuning,
    },
    Subcommand {
        name: "print-schema",
        kind: SubcommandKind::Tool,
        operand: Operand::Nothing,
        summary: "prints the JSON schema that every configuration is validated against",
        add_options: tools::add_schema_options,
        run: tools::print_schema,
    },
];

fn no_options(_: &mut Options) {}

/// Runs the subcommand that the arguments name. Fails with a [`UsageError`] if the arguments are invalid.
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
            let subcommand = SUBCOMMANDS.iter().find(|subcommand| subcommand.name == name);
            let subcommand = subcommand.ok_or_else(|| UsageError::UnknownSubcommand(name.to_owned()))?;
            run_subcommand(subcommand, &arguments[1..])
        }
    }
}

fn run_subcommand(subcommand: &Subcommand, arguments: &[String]) -> Result<()> {
    let usage_error = |reason: String| UsageError::Subcommand { name: subcommand.name, reason };
    let matches = options(subcommand).parse(arguments).map_err(|error| usage_error(error.to_string()))?;
    if matches.opt_present("help") {
        print!("{}", help(subcommand));
        return Ok(());
    }
    match (subcommand.operand, matches.free.as_slice()) {
        (Operand::Nothing, []) | (Operand::File, [_]) => {}
        (Operand::Nothing, [surplus, ..]) => return Err(usage_error(format!("takes no {surplus:?}")).into()),
        (Operand::File, _) => return Err(usage_error("takes one file".to_owned()).into()),
    }
    if subcommand.kind == SubcommandKind::Role {
        let level = roles::log_level(&matches).map_err(usage_error)?;
        roles::init_process(level)?;
    }
    (subcommand.run)(&matches)
}

/// Returns all options of a subcommand.
fn options(subcommand: &Subcommand) -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    (subcommand.add_options)(&mut options);
    options
}

/// Returns the text that `lugwharf --help` prints.
fn overview() -> String {
    let mut text = String::from("Usage: lugwharf SUBCOMMAND [OPTIONS]\n\nSubcommands:\n");
    for subcommand in &SUBCOMMANDS {
        text.push_str(&format!("    {:<16}{}\n", subcommand.name, subcommand.summary));
    }
    text.push_str(
        "\n`lugwharf SUBCOMMAND --help` lists the options of each, `lugwharf --version` prints the version.\n",
    );
    text.push_str("Exit status: 0 for success, 1 for a failure, 2 for a wrong command line.\n");
    text
}

/// Returns the text that `lugwharf SUBCOMMAND --help` prints.
fn help(subcommand: &Subcommand) -> String {
    let operand = match subcommand.operand {
        Operand::Nothing => "",
        Operand::File => " FILE",
    };
    let Subcommand { name, summary, .. } = subcommand;
    let brief = format!("Usage: lugwharf {name}{operand} [OPTIONS]\n\nlugwharf {name}: {summary}");
    options(subcommand).usage(&brief)
}
