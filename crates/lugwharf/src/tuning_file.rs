//! The file that `--tuning` names: figures and switches of the decisions, all with defaults. `docs/OPERATING.md` lists them.

use eyre::{Result, WrapErr, eyre};
use getopts::Matches;
use lugwharf_routing::Tuning;
use lugwharf_stages::StageTuning;
use serde::Deserialize;
use std::fmt;
use std::path::Path;

/// The option that names the file.
pub const OPTION: &str = "tuning";

/// What the file may set, by the part that it is for.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TuningFile {
    /// Decisions of proxies.
    pub routing: Tuning,
    /// The planning of servers' parts by control processes.
    pub stages: StageTuning,
}

impl TuningFile {
    /// Reads the file; the error names the line, or the name that is unknown.
    pub fn read(path: &Path) -> Result<TuningFile> {
        let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        toml::from_str(&text).map_err(|error| eyre!("{}: {error}", path.display()))
    }

    /// The file that the command line names, or the defaults.
    pub fn of(matches: &Matches) -> Result<TuningFile> {
        match matches.opt_str(OPTION) {
            Some(path) => TuningFile::read(Path::new(&path)).wrap_err("tuning"),
            None => Ok(TuningFile::default()),
        }
    }
}

/// Everything in force, as `lugwharf check-tuning` prints it.
impl fmt::Display for TuningFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TuningFile {{ routing: {}, stages: {} }}", self.routing, self.stages)
    }
}
