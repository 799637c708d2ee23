//! `lugwharf-soak`: runs seeds on real processes, and writes a folder of records for each seed that fails.
//!
//! Exits with 0 if no seed has findings, with 1 if a seed has findings or could not be run, and with 2 if the
//! command line is invalid or a schedule cannot be minimized.
#![forbid(unsafe_code)]

mod campaign;
mod command_line;

use command_line::Command;
use std::process::ExitCode;

fn main() -> ExitCode {
    match execute() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("lugwharf-soak: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Executes the command line. Returns whether all seeds were run without findings.
fn execute() -> eyre::Result<bool> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match command_line::parse(&arguments)? {
        Command::Help(text) => {
            print!("{text}");
            Ok(true)
        }
        Command::Play { plan, seeds, jobs } => Ok(campaign::play_seeds(&plan, &seeds, jobs)),
        Command::Minimize { plan, seed } => campaign::minimize(&plan, seed),
    }
}
