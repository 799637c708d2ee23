//! One process of the real binary.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Variables of the caller that a process gets.
const INHERITED_VARIABLES: [&str; 3] = ["PATH", "HOME", "LANG"];

/// What a process is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: it may finish.
    Terminate,
    /// SIGHUP: the settings file has changed.
    Reload,
    /// SIGSTOP: it stands still, with its links open.
    Freeze,
    /// SIGCONT: it goes on.
    Thaw,
    /// SIGKILL.
    Kill,
}

/// A process that this one started; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    output: PathBuf,
}

impl Process {
    /// Starts `binary role arguments` with that settings file; its output goes to a file in the folder.
    pub fn start(
        binary: &Path, role: &str, arguments: &[String], settings: &Path, directory: &Path,
    ) -> io::Result<Process> {
        let output = directory.join("output.log");
        let log = File::options().create(true).append(true).open(&output)?;
        let mut command = Command::new(binary);
        command.arg(role).args(arguments).env_clear().env("LUGWHARF_BOOT", settings).stdin(Stdio::null());
        for name in INHERITED_VARIABLES {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command.stdout(log.try_clone()?).stderr(log).spawn()?;
        Ok(Process { child, output })
    }

    /// Sends a signal to this process alone. One that has ended gets none.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let name = match signal {
            Signal::Kill => return self.child.kill(),
            Signal::Terminate => "-TERM",
            Signal::Reload => "-HUP",
            Signal::Freeze => "-STOP",
            Signal::Thaw => "-CONT",
        };
        // The standard library sends SIGKILL only. The child is not yet waited for, so its id is still its own.
        let status = Command::new("kill").arg(name).arg(self.child.id().to_string()).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("the signal was not sent")) }
    }

    /// Changes how many descriptors it may open from now on, at most as many as it could at its start. What is open stays
    /// open.
    pub fn limit_open_descriptors(&mut self, most: usize) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let (id, limit) = (self.child.id().to_string(), format!("--nofile={most}:"));
        let status = Command::new("prlimit").args(["--pid", &id, &limit]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("the limit was not set")) }
    }

    /// Descriptors that it has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// What it has written so far, over all its starts.
    pub fn output(&self) -> String {
        let bytes = std::fs::read(&self.output).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
