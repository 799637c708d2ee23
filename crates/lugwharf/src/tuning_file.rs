//! The file of the option `--tuning`: parameters of the routing and planning decisions, all of which have
//! defaults. `docs/OPERATING.md` lists them.

use eyre::{Result, WrapErr, eyre};
use getopts::Matches;
use lugwharf_routing::Tuning;
use lugwharf_stages::StageTuning;
use serde::Deserialize;
use std::fmt;
use std::path::Path;

/// The name of the option that names the file.
pub const OPTION: &str = "tuning";

/// The content of the file, one table for each component.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TuningFile {
    /// Parameters of the routing decisions of proxies.
    pub routing: Tuning,
    /// Parameters of the stage planner of control processes.
    pub stages: StageTuning,
}

impl TuningFile {
    /// Reads and parses the file. An error names the line, and the key if the key is unknown.
    pub fn read(path: &Path) -> Result<TuningFile> {
        let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        toml::from_str(&text).map_err(|error| eyre!("{}: {error}", path.display()))
    }

    /// Reads the file that the command line names; returns the defaults if it names none.
    pub fn from_options(matches: &Matches) -> Result<TuningFile> {
        match matches.opt_str(OPTION) {
            Some(path) => TuningFile::read(Path::new(&path)).wrap_err("tuning"),
            None => Ok(TuningFile::default()),
        }
    }
}

/// Writes all parameters in effect, as `lugwharf check-tuning` prints them.
impl fmt::Display for TuningFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TuningFile {{ routing: {}, stages: {} }}", self.routing, self.stages)
    }
}
