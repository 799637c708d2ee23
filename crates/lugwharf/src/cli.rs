//! The command line: the subcommands, their options and their help texts.

use crate::usage::UsageError;
use crate::{roles, tools};
use eyre::Result;
use getopts::{Matches, Options};

/// A subcommand.
struct Subcommand {
    name: &'static str,
    kind: Kind,
    operand: Operand,
    /// What it does, in one line of the help text.
    summary: &'static str,
    /// Adds the options beyond `--help`.
    add_options: fn(&mut Options),
    run: fn(&Matches) -> Result<()>,
}

/// What kind of program a subcommand is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// A process of the fleet: logs, and counts violated invariants.
    Role,
    /// A program for operators that ends by itself.
    Tool,
}

/// What a subcommand takes besides options.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Operand {
    Nothing,
    File,
}

const SUBCOMMANDS: [Subcommand; 7] = [
    Subcommand {
        name: "proxy",
        kind: Kind::Role,
        operand: Operand::Nothing,
        summary: "the data plane of a front-end node: accepts clients' requests and routes them",
        add_options: roles::add_options,
        run: roles::run_proxy,
    },
    Subcommand {
        name: "agent",
        kind: Kind::Role,
        operand: Operand::Nothing,
        summary: "connects a front-end node to the control plane and feeds its proxy over loopback",
        add_options: roles::add_options,
        run: roles::run_agent,
    },
    Subcommand {
        name: "control",
        kind: Kind::Role,
        operand: Operand::Nothing,
        summary: "a control process: the operator's API, a replica, the list of servers",
        add_options: roles::add_options,
        run: roles::run_control,
    },
    Subcommand {
        name: "check-config",
        kind: Kind::Tool,
        operand: Operand::File,
        summary: "validates a configuration (JSON) as `PUT /config` would",
        add_options: no_options,
        run: tools::check_config,
    },
    Subcommand {
        name: "check-settings",
        kind: Kind::Tool,
        operand: Operand::File,
        summary: "validates a settings file (TOML)",
        add_options: no_options,
        run: tools::check_settings,
    },
    Subcommand {
        name: "check-tuning",
        kind: Kind::Tool,
        operand: Operand::File,
        summary: "validates a file for --tuning (TOML)",
        add_options: no_options,
        run: tools::check_tuning,
    },
    Subcommand {
        name: "print-schema",
        kind: Kind::Tool,
        operand: Operand::Nothing,
        summary: "prints the JSON schema that every configuration is validated against",
        add_options: tools::add_schema_options,
        run: tools::print_schema,
    },
];

fn no_options(_: &mut Options) {}

/// Runs the subcommand that the arguments name. A [`UsageError`] says that the arguments are wrong.
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
    if subcommand.kind == Kind::Role {
        let level = roles::log_level(&matches).map_err(usage_error)?;
        roles::prepare_process(level)?;
    }
    (subcommand.run)(&matches)
}

fn options(subcommand: &Subcommand) -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    (subcommand.add_options)(&mut options);
    options
}

/// The help text of `lugwharf --help`.
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

/// The help text of one subcommand.
fn help(subcommand: &Subcommand) -> String {
    let operand = match subcommand.operand {
        Operand::Nothing => "",
        Operand::File => " FILE",
    };
    let Subcommand { name, summary, .. } = subcommand;
    let brief = format!("Usage: lugwharf {name}{operand} [OPTIONS]\n\nlugwharf {name}: {summary}");
    options(subcommand).usage(&brief)
}
