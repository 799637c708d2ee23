//! A process of the real binary.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// A shell script that ignores SIGXFSZ and then executes the program. The program inherits the ignored
/// signal, so that a write beyond [`Process::limit_file_size`] fails like a write to a full disk and does not
/// end the process.
const IGNORE_FILE_SIZE_SIGNAL: &str = r#"trap '' XFSZ; exec "$0" "$@""#;
/// The environment variables that a process inherits.
const INHERITED_VARIABLES: [&str; 3] = ["PATH", "HOME", "LANG"];

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: graceful shutdown.
    Terminate,
    /// SIGHUP: the process reloads its settings file.
    Reload,
    /// SIGSTOP: the process is paused, with its connections open.
    Stop,
    /// SIGCONT: the process continues.
    Continue,
    /// SIGKILL: the process ends at once.
    Kill,
}

/// A process that runs or has ended. It is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    output: PathBuf,
}

impl Process {
    /// Starts `binary role arguments` with a settings file. The output is appended to `output.log` in
    /// `directory`.
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

    /// Sends a signal to this process only. Does nothing if the process has ended.
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
        // The standard library can only send SIGKILL. The child has not been waited for, so its id cannot
        // have been reused.
        let status = Command::new("kill").arg(name).arg(self.child.id().to_string()).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("the kill command failed to send the signal"))
        }
    }

    /// Sets the soft limit of open file descriptors, at most to the hard limit that the process started with.
    /// Descriptors that are open stay open.
    pub fn limit_open_descriptors(&mut self, max_open: usize) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        self.set_limit(&format!("--nofile={max_open}:"))
    }

    /// Sets the maximum size of files, in bytes; `None` for no limit. Writes beyond the limit fail with
    /// EFBIG. With 0 all writes fail, also those to the output of the process.
    pub fn limit_file_size(&mut self, max_bytes: Option<u64>) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let max_bytes = max_bytes.map_or("unlimited".to_owned(), |max_bytes| max_bytes.to_string());
        self.set_limit(&format!("--fsize={max_bytes}:"))
    }

    /// Sets a resource limit of the process. `limit` is an argument of the command `prlimit`.
    fn set_limit(&self, limit: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("prlimit").args(["--pid", &id, limit]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("the prlimit command failed to set the limit"))
        }
    }

    /// The number of open file descriptors.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// The exit status; `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// The output so far, of all starts with the same directory.
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
