//! `lugwharf`: one binary with a subcommand for each role and each tool.
#![forbid(unsafe_code)]

mod commands;
mod front;
mod logging;
mod tuning_file;
mod usage;

use std::process::ExitCode;
use usage::UsageError;

/// The exit status for a wrong command line, as is the custom.
const WRONG_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match commands::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // One plain line, whatever its causes.
            eprintln!("lugwharf: {}", one_line(&format!("{error:#}")));
            match error.downcast_ref::<UsageError>() {
                Some(_) => ExitCode::from(WRONG_USAGE),
                None => ExitCode::FAILURE,
            }
        }
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
