//! The tools for operators: validating files and printing the schemas.

use crate::tuning_file::TuningFile;
use eyre::{Result, WrapErr};
use getopts::{Matches, Options};
use lugwharf_config::{Configuration, PATCH_SCHEMA, SCHEMA};
use lugwharf_settings::{Settings, SettingsError};
use std::io::Write;
use std::path::Path;

/// The option of `print-schema` that selects the schema of patches.
const PATCH_OPTION: &str = "patch";

/// Adds the options of `print-schema`.
pub fn add_schema_options(options: &mut Options) {
    options.optflag("p", PATCH_OPTION, "the schema of patches of named items (PATCH /config)");
}

/// Runs `lugwharf check-config FILE`.
pub fn check_config(matches: &Matches) -> Result<()> {
    let path = file_operand(matches);
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

/// Runs `lugwharf check-settings FILE`.
pub fn check_settings(matches: &Matches) -> Result<()> {
    let path = file_operand(matches);
    let settings = Settings::read(Path::new(path)).map_err(|error| match error {
        // This error names the file itself.
        SettingsError::Unreadable { .. } => eyre::Report::new(error),
        error => eyre::Report::new(error).wrap_err(path.to_owned()),
    })?;
    settings.control_placement().wrap_err_with(|| path.to_owned())?;
    println!("{path}: node {}, role {}", settings.node, settings.role);
    Ok(())
}

/// Runs `lugwharf check-tuning FILE`.
pub fn check_tuning(matches: &Matches) -> Result<()> {
    let path = file_operand(matches);
    let tuning = TuningFile::read(Path::new(path))?;
    println!("{path}: {tuning}");
    Ok(())
}

/// Runs `lugwharf print-schema`.
pub fn print_schema(matches: &Matches) -> Result<()> {
    let schema = if matches.opt_present(PATCH_OPTION) { PATCH_SCHEMA } else { SCHEMA };
    let mut out = std::io::stdout().lock();
    out.write_all(schema.as_bytes()).and_then(|()| out.flush()).wrap_err("standard output")
}

/// Returns the operand `FILE`, which the command line has been checked to contain.
fn file_operand(matches: &Matches) -> &str {
    matches.free.first().map_or("", String::as_str)
}
