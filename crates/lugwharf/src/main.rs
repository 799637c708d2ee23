//! `lugwharf`: one binary with a subcommand for each role of the fleet and each tool.
//!
//! | module | job |
//! | --- | --- |
//! | `cli` | the subcommands, their options and help texts |
//! | `roles` | `proxy`, `agent` and `control` |
//! | `front_end` | the agent with a hosted replica, or with redirects to the control plane |
//! | `tools` | `check-config`, `check-settings`, `check-tuning`, `print-schema` |
//! | `tuning_file`, `usage`, `logging`, `runtime` | what they share |
#![forbid(unsafe_code)]

mod cli;
mod front_end;
mod logging;
mod roles;
mod runtime;
mod tools;
mod tuning_file;
mod usage;

use std::process::ExitCode;
use usage::UsageError;

/// The exit status for a wrong command line, as usual for Unix tools.
const USAGE_STATUS: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match cli::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // The error with its causes on one line, which operators' tools match.
            eprintln!("lugwharf: {}", one_line(&format!("{error:#}")));
            match error.downcast_ref::<UsageError>() {
                Some(_) => ExitCode::from(USAGE_STATUS),
                None => ExitCode::FAILURE,
            }
        }
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
