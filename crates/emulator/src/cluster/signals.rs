//! Kills, signals and the loss of disks.

use super::process::Signal;
use super::{Cluster, FRONT_ROLES, control_name};
use std::io;

impl Cluster {
    /// Kills the process of a control machine and waits until it has ended.
    pub fn kill_control(&mut self, index: usize) -> io::Result<()> {
        self.kill(&control_name(index))
    }

    /// Sends a signal to the process of a control machine, without waiting.
    pub fn signal_control(&mut self, index: usize, signal: Signal) -> io::Result<()> {
        match self.processes.get_mut(&control_name(index)) {
            Some(process) => process.signal(signal),
            None => Ok(()),
        }
    }

    /// Kills one process of a front-end node (`proxy` or `agent`) and waits until it has ended.
    pub fn kill_front(&mut self, index: usize, role: &str) -> io::Result<()> {
        self.kill(&self.front_name(index, role))
    }

    /// Sends SIGTERM to both processes of a front-end node, without waiting.
    pub fn terminate_front(&mut self, index: usize) -> io::Result<()> {
        self.signal_front(index, Signal::Terminate)
    }

    /// Sends a signal to both processes of a front-end node, without waiting.
    pub fn signal_front(&mut self, index: usize, signal: Signal) -> io::Result<()> {
        for role in FRONT_ROLES {
            if let Some(process) = self.processes.get_mut(&self.front_name(index, role)) {
                process.signal(signal)?;
            }
        }
        Ok(())
    }

    /// Kills all processes of all machines at once and waits until they have ended.
    pub fn kill_all(&mut self) -> io::Result<()> {
        for process in self.processes.values_mut() {
            process.signal(Signal::Kill)?;
        }
        for process in self.processes.values_mut() {
            process.wait()?;
        }
        Ok(())
    }

    /// Erases the disk of a control machine. The process of the machine must not be running.
    pub fn wipe_control_disk(&mut self, index: usize) -> io::Result<()> {
        std::fs::remove_dir_all(self.data_directory(index))
    }

    /// Sends SIGTERM to a process, without waiting. Does nothing if the process was never started.
    pub fn terminate(&mut self, name: &str) -> io::Result<()> {
        match self.processes.get_mut(name) {
            Some(process) => process.signal(Signal::Terminate),
            None => Ok(()),
        }
    }

    /// Kills a process and waits until it has ended. Does nothing if the process was never started.
    fn kill(&mut self, name: &str) -> io::Result<()> {
        let Some(process) = self.processes.get_mut(name) else {
            return Ok(());
        };
        process.signal(Signal::Kill)?;
        process.wait()?;
        Ok(())
    }
}
