//! One process of the real binary.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Replaces itself by the program, which ignores SIGXFSZ from its start: a write beyond [`Process::limit_file_size`] then fails
/// instead of ending the process, as one to a full disk does.
const IGNORE_FILE_SIZE_SIGNAL: &str = r#"trap '' XFSZ; exec "$0" "$@""#;
/// Environment variables that a process inherits.
const INHERITED_VARIABLES: [&str; 3] = ["PATH", "HOME", "LANG"];

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: graceful shutdown.
    Terminate,
    /// SIGHUP: reload of the settings file.
    Reload,
    /// SIGSTOP: it is paused, with its connections open.
    Stop,
    /// SIGCONT: it continues.
    Continue,
    /// SIGKILL.
    Kill,
}

/// A running or ended process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    output: PathBuf,
}

impl Process {
    /// Starts `binary role arguments` with a settings file; its output is appended to `output.log` in the directory.
    pub fn start(
        binary: &Path, role: &str, arguments: &[String], settings: &Path, directory: &Path,
    ) -> io::Result<Process> {
        let output = directory.join("output.log");
        let log = File::options().create(true).append(true).open(&output)?;
        let mut command = Command::new("sh");
        command
            .args(["-c", IGNORE_FILE_SIZE_SIGNAL])
            .arg(binary)
            .arg(role)
            .args(arguments)
            .env_clear()
            .env("LUGWHARF_BOOT", settings)
            .stdin(Stdio::null());
        for name in INHERITED_VARIABLES {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command.stdout(log.try_clone()?).stderr(log).spawn()?;
        Ok(Process { child, output })
    }

    /// Sends a signal to this process alone; does nothing if it has ended.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let name = match signal {
            Signal::Kill => return self.child.kill(),
            Signal::Terminate => "-TERM",
            Signal::Reload => "-HUP",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        };
        // The standard library sends SIGKILL only. The child has not been waited for, so that its id can't have been reused.
        let status = Command::new("kill").arg(name).arg(self.child.id().to_string()).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("the signal was not sent")) }
    }

    /// Sets the soft limit of open file descriptors, at most the hard limit of its start. Open ones stay open.
    pub fn limit_open_descriptors(&mut self, max_open: usize) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        self.set_limit(&format!("--nofile={max_open}:"))
    }

    /// Sets the size, in bytes, beyond which writes to files fail (EFBIG); `None` for no limit. With 0 all writes fail, those
    /// of its output too.
    pub fn limit_file_size(&mut self, max_bytes: Option<u64>) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let max_bytes = max_bytes.map_or("unlimited".to_owned(), |max_bytes| max_bytes.to_string());
        self.set_limit(&format!("--fsize={max_bytes}:"))
    }

    /// Sets a soft limit of the process; `limit` is an argument of `prlimit`.
    fn set_limit(&self, limit: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("prlimit").args(["--pid", &id, limit]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("the limit was not set")) }
    }

    /// Its open file descriptors.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// Its exit status; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Its output so far, over all starts under its name.
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
