//! `lugwharf`: one binary with a subcommand for each role of the fleet and each tool.
//!
//! | module | purpose |
//! | --- | --- |
//! | `cli` | the subcommands, their options and help texts |
//! | `roles` | `proxy`, `agent` and `control` |
//! | `front_end` | the agent with a hosted replica, or with redirects to the control plane |
//! | `tools` | `check-config`, `check-settings`, `check-tuning`, `print-schema` |
//! | `tuning_file`, `usage`, `logging`, `runtime` | code that the others share |
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

/// The exit status for an invalid command line, which is the convention of Unix tools.
const USAGE_ERROR_STATUS: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match cli::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Prints the error and its causes on one line, which operators' tools match.
            eprintln!("lugwharf: {}", one_line(&format!("{error:#}")));
            match error.downcast_ref::<UsageError>() {
                Some(_) => ExitCode::from(USAGE_ERROR_STATUS),
                None => ExitCode::FAILURE,
            }
        }
    }
}

/// Replaces each run of white space, including line breaks, by one space.
fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
