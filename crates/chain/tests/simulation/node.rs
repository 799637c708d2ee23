//! A simulated machine: its disk, and the process on it with its driver.

use crate::world::Scenario;
use lugwharf_chain::{Action, Event, Replica, ReplicaSettings};
use lugwharf_store::simulated::SimulatedDisk;
use lugwharf_store::{Log, StoreError};
use std::net::SocketAddr;
use std::time::Duration;

/// Shorter than two heartbeats on a slow link.
const NERVOUS: Duration = Duration::from_millis(270);

/// A batch that the disk works on.
#[derive(Clone, Debug)]
pub struct DiskJob {
    pub batch: u64,
    pub records: Vec<Vec<u8>>,
    pub rewrite: bool,
}

/// A running process.
pub struct Process {
    pub replica: Replica,
    pub log: Log<SimulatedDisk>,
    pub job: Option<DiskJob>,
    pub committed: Option<u64>,
    pub started: Duration,
}

/// A machine.
pub struct Node {
    pub address: SocketAddr,
    pub disk: SimulatedDisk,
    pub process: Option<Process>,
    /// Counts the processes that ran here.
    pub epoch: u64,
    pub seeds: Vec<SocketAddr>,
    pub bootstrap: bool,
    /// Taken away for good.
    pub gone: bool,
    pub frozen: bool,
    /// What arrived while frozen.
    pub held: Vec<Event>,
    pub disk_full: bool,
    /// The usual time of a sync.
    pub sync: Duration,
    pub disk_factor: u32,
    /// A rewrite that the process dies in gets so many steps far; drawn if none.
    pub rewrite_steps: Option<usize>,
    /// The disk hangs until then.
    pub disk_hangs_until: Duration,
}

impl Node {
    pub fn new(address: SocketAddr, seeds: Vec<SocketAddr>, bootstrap: bool, sync: Duration) -> Node {
        Node {
            address,
            disk: SimulatedDisk::new(),
            process: None,
            epoch: 0,
            seeds,
            bootstrap,
            gone: false,
            frozen: false,
            held: Vec::new(),
            disk_full: false,
            sync,
            disk_factor: 1,
            rewrite_steps: None,
            disk_hangs_until: Duration::ZERO,
        }
    }

    /// Starts a process on this machine. `Ok(false)` if the disk does not allow it now.
    pub fn boot(
        &mut self, scenario: &Scenario, now: Duration, seed: u64, out: &mut Vec<Action>,
    ) -> Result<bool, String> {
        let (log, recovered) = match Log::open_on(self.disk.clone()) {
            Ok(opened) => opened,
            Err(StoreError::Io(_)) => return Ok(false),
            Err(error) => return Err(format!("DISK {}: {error}", self.address)),
        };
        let tolerated = scenario.tolerated;
        let mut settings =
            ReplicaSettings::new(self.address, self.seeds.clone(), self.bootstrap, tolerated, seed);
        settings.rewrite_threshold_bytes = scenario.rewrite_above;
        settings.history = scenario.history;
        settings.chunk_bytes = scenario.piece_bytes;
        if scenario.nervous {
            settings.suspect_after = NERVOUS;
            settings.rejoin_after = Duration::ZERO;
        }
        let replica = Replica::recover(settings, &recovered.records, Duration::ZERO, out)
            .map_err(|error| format!("DISK {}: {error}", self.address))?;
        self.epoch += 1;
        self.process = Some(Process { replica, log, job: None, committed: None, started: now });
        Ok(true)
    }

    /// How long the disk takes for the next batch.
    pub fn disk_time(&self, now: Duration) -> Duration {
        let hang = self.disk_hangs_until.saturating_sub(now);
        hang + self.sync * self.disk_factor
    }

    /// Ends the process. A batch under way may have reached the file without being synced.
    pub fn kill(&mut self, rng: &mut fastrand::Rng) {
        self.frozen = false;
        self.held.clear();
        let Some(mut process) = self.process.take() else { return };
        if let Some(job) = process.job.take().filter(|job| !job.rewrite && !self.disk_full && rng.bool()) {
            // The write succeeds and the sync fails.
            self.disk.fail_after(1);
            let _ = process.log.append(&job.records);
            self.disk.fail_after(usize::MAX);
        } else if self.rewrite_steps.is_some() || rng.bool() {
            self.break_rewrite(process, rng);
        }
    }

    fn break_rewrite(&mut self, mut process: Process, rng: &mut fastrand::Rng) {
        if let Some(job) = process.job.take().filter(|job| job.rewrite && !self.disk_full) {
            let steps = self.rewrite_steps.unwrap_or_else(|| rng.usize(..5));
            self.disk.fail_after(steps);
            let _ = process.log.rewrite(&job.records);
            self.disk.fail_after(usize::MAX);
        }
    }

    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }
}
