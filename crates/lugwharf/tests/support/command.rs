//! Runs of the binary from the command line, and the files that they read.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Runs the binary with these arguments, an empty environment and no settings file.
pub fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lugwharf"));
    command.args(arguments).env_clear().env("LUGWHARF_BOOT", "/nonexistent/settings.toml");
    command.output().expect("cannot run the binary")
}

/// A file that is removed when the test ends.
pub struct TemporaryFile(PathBuf);

impl TemporaryFile {
    /// Writes a file. Its name has to be unique among the tests of one process.
    pub fn new(name: &str, text: &str) -> TemporaryFile {
        let path = std::env::temp_dir().join(format!("lugwharf-test-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("cannot write the file");
        TemporaryFile(path)
    }

    /// The path of the file.
    pub fn path(&self) -> &str {
        self.0.to_str().expect("the path is not UTF-8")
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        // A failure is ignored: a file that is left in the temporary directory does no harm.
        let _ = std::fs::remove_file(&self.0);
    }
}
