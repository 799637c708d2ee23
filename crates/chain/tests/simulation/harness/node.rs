//! A simulated machine with its disk and process.

use super::scenario::Scenario;
use lugwharf_chain::{Action, BatchId, Event, Replica, ReplicaSettings};
use lugwharf_store::simulated::SimulatedDisk;
use lugwharf_store::{Log, StoreError};
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout after which peers are suspected in runs with dueling proposers. Shorter than two heartbeat
/// intervals on a slow link.
const AGGRESSIVE_SUSPECT_AFTER: Duration = Duration::from_millis(270);

/// A batch that is being written to the disk.
#[derive(Clone, Debug)]
pub struct DiskWrite {
    pub batch: BatchId,
    pub records: Vec<Vec<u8>>,
    /// Whether the records replace the log. Otherwise they are appended.
    pub replaces_log: bool,
}

/// A running process.
pub struct Process {
    pub replica: Replica,
    pub log: Log<SimulatedDisk>,
    pub write_in_progress: Option<DiskWrite>,
    /// The newest version that the replica has reported as committed.
    pub committed_version: Option<u64>,
    pub started_at: Duration,
}

/// A simulated machine.
pub struct Node {
    pub address: SocketAddr,
    pub disk: SimulatedDisk,
    pub process: Option<Process>,
    /// The number of processes started on this machine, which identifies the current one.
    pub incarnation: u64,
    /// The seed addresses of the next process.
    pub seeds: Vec<SocketAddr>,
    /// Whether the next process may take part in bootstrapping.
    pub may_bootstrap: bool,
    /// Whether the machine was permanently removed.
    pub is_removed: bool,
    pub is_paused: bool,
    /// The events that arrived while the process was paused.
    pub queued_events: Vec<Event>,
    pub is_disk_full: bool,
    /// The normal duration of a sync.
    pub sync_time: Duration,
    /// The factor by which the disk is slower than normal.
    pub disk_slowdown: u32,
    /// The number of steps of a rewrite that are executed when the process crashes during the rewrite. Random
    /// if `None`.
    pub rewrite_steps_before_crash: Option<usize>,
    /// The time until which no write completes.
    pub disk_hangs_until: Duration,
}

impl Node {
    /// Creates a machine with an empty disk and no process.
    pub fn new(
        address: SocketAddr, seeds: Vec<SocketAddr>, may_bootstrap: bool, sync_time: Duration,
    ) -> Node {
        Node {
            address,
            disk: SimulatedDisk::new(),
            process: None,
            incarnation: 0,
            seeds,
            may_bootstrap,
            is_removed: false,
            is_paused: false,
            queued_events: Vec::new(),
            is_disk_full: false,
            sync_time,
            disk_slowdown: 1,
            rewrite_steps_before_crash: None,
            disk_hangs_until: Duration::ZERO,
        }
    }

    /// Starts a process on this machine. Returns `Ok(false)` if the disk cannot be read at this time. An
    /// error is a violation.
    pub fn boot(
        &mut self, scenario: &Scenario, now: Duration, seed: u64, actions: &mut Vec<Action>,
    ) -> Result<bool, String> {
        let (log, recovered) = match Log::open_on(self.disk.clone()) {
            Ok(opened) => opened,
            Err(StoreError::Io(_)) => return Ok(false),
            Err(error) => return Err(format!("DISK {}: {error}", self.address)),
        };
        let fault_tolerance = scenario.fault_tolerance;
        let mut settings =
            ReplicaSettings::new(self.address, self.seeds.clone(), self.may_bootstrap, fault_tolerance, seed);
        settings.rewrite_threshold_bytes = scenario.rewrite_threshold_bytes;
        settings.history = scenario.history;
        settings.chunk_bytes = scenario.chunk_bytes;
        if scenario.has_dueling_proposers {
            settings.suspect_after = AGGRESSIVE_SUSPECT_AFTER;
            settings.rejoin_after = Duration::ZERO;
        }
        let replica = Replica::recover(settings, &recovered.records, Duration::ZERO, actions)
            .map_err(|error| format!("DISK {}: {error}", self.address))?;
        self.incarnation += 1;
        self.process =
            Some(Process { replica, log, write_in_progress: None, committed_version: None, started_at: now });
        Ok(true)
    }

    /// The time that the disk needs for the next batch.
    pub fn write_time(&self, now: Duration) -> Duration {
        let hang_time = self.disk_hangs_until.saturating_sub(now);
        hang_time + self.sync_time * self.disk_slowdown
    }

    /// Crashes the process. A batch that is being written may have reached the file without being synced, and
    /// a rewrite of the log may be partially executed.
    pub fn crash(&mut self, rng: &mut fastrand::Rng) {
        self.is_paused = false;
        self.queued_events.clear();
        let Some(mut process) = self.process.take() else { return };
        if let Some(write) = process
            .write_in_progress
            .take()
            .filter(|write| !write.replaces_log && !self.is_disk_full && rng.bool())
        {
            // The write succeeds and the sync fails. The error is ignored since the process is gone.
            self.disk.fail_after(1);
            let _ = process.log.append(&write.records);
            self.disk.fail_after(usize::MAX);
        } else if self.rewrite_steps_before_crash.is_some() || rng.bool() {
            self.crash_during_rewrite(process, rng);
        }
    }

    fn crash_during_rewrite(&mut self, mut process: Process, rng: &mut fastrand::Rng) {
        if let Some(write) =
            process.write_in_progress.take().filter(|write| write.replaces_log && !self.is_disk_full)
        {
            let steps = self.rewrite_steps_before_crash.unwrap_or_else(|| rng.usize(..5));
            self.disk.fail_after(steps);
            // The error is ignored since the process is gone.
            let _ = process.log.rewrite(&write.records);
            self.disk.fail_after(usize::MAX);
        }
    }

    /// Whether a process exists, running or paused.
    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }
}
