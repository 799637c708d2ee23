//! The journal: groups records into batches for the disk, and defers effects until their records are synced.
//!
//! At most one batch is in flight. Records that are appended meanwhile form the next batch (group commit). An
//! [`Effect`] is released once every record that was appended before it is on disk, so a promise, an
//! acceptance or an acknowledgement is never sent before it is durable.

use crate::action::BatchId;
use crate::entry::EntryHeader;
use crate::message::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// The delay before a failed batch is written again. The retry also detects whether the disk accepts writes
/// again.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// An operation that the replica performs once the preceding records are synced.
#[derive(Clone, Debug)]
pub enum Effect {
    /// The identity is on disk: start to participate.
    BecomeReady,
    /// Send a message to a peer.
    Send {
        /// The address of the peer.
        to: SocketAddr,
        message: Message,
    },
    /// The history of a view is on disk.
    StateInstalled {
        view: u64,
        /// The index of the last entry of the history.
        last_index: u64,
    },
    /// Committed entries that a process outside the chain has received are on disk.
    LearnerSynced {
        /// The index of the last of these entries.
        index: u64,
    },
    /// An entry is on disk.
    EntrySynced {
        /// The number of the view in which it was appended.
        view: u64,
        /// The header of the entry.
        header: EntryHeader,
    },
}

/// A batch of records to be written to the disk.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The sequence number of the batch, from 1.
    pub id: BatchId,
    /// The encoded records, in order.
    pub records: Vec<Vec<u8>>,
    /// Whether the records replace the whole log.
    pub is_rewrite: bool,
}

/// The batch in flight and the effects that it releases.
#[derive(Debug)]
struct InFlight {
    batch: Batch,
    effects: Vec<Effect>,
    started_at: Duration,
    /// The time of the last failed write, until the batch is written again.
    failed_at: Option<Duration>,
    /// Whether a write of the batch has failed at least once. The disk then counts as unhealthy until the
    /// batch is synced.
    has_failed: bool,
}

/// The records that are not synced yet, and the effects that wait for them.
#[derive(Debug, Default)]
pub struct Journal {
    in_flight: Option<InFlight>,
    records: Vec<Vec<u8>>,
    effects: Vec<Effect>,
    last_batch: BatchId,
    log_bytes: usize,
}

impl Journal {
    /// Creates a journal for a log that contains this many bytes of records.
    pub fn new(log_bytes: usize) -> Journal {
        Journal { log_bytes, ..Journal::default() }
    }

    /// Adds a record to the next batch.
    pub fn append(&mut self, record: Vec<u8>) {
        self.log_bytes += record.len();
        self.records.push(record);
    }

    /// Adds an effect that is released once all records appended so far are synced.
    pub fn after_sync(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// The total size of the records of the log in bytes, including unsynced ones.
    pub fn log_bytes(&self) -> usize {
        self.log_bytes
    }

    /// Whether no batch is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    /// Takes the effects that do not wait for a record.
    pub fn take_released(&mut self) -> Vec<Effect> {
        if self.is_idle() && self.records.is_empty() { std::mem::take(&mut self.effects) } else { Vec::new() }
    }

    /// Starts the next batch, if there are records and no batch is in flight.
    pub fn start_batch(&mut self, now: Duration) -> Option<Batch> {
        if !self.is_idle() || self.records.is_empty() {
            return None;
        }
        let records = std::mem::take(&mut self.records);
        Some(self.start(now, records, false))
    }

    /// Starts a rewrite of the log in place of the next batch. `snapshot` must cover the records of that
    /// batch. Must only be called while no batch is in flight.
    pub fn start_rewrite(&mut self, now: Duration, snapshot: Vec<Vec<u8>>) -> Batch {
        self.records.clear();
        self.log_bytes = snapshot.iter().map(Vec::len).sum();
        self.start(now, snapshot, true)
    }

    fn start(&mut self, now: Duration, records: Vec<Vec<u8>>, is_rewrite: bool) -> Batch {
        self.last_batch = BatchId(self.last_batch.0 + 1);
        let batch = Batch { id: self.last_batch, records, is_rewrite };
        self.in_flight = Some(InFlight {
            batch: batch.clone(),
            effects: std::mem::take(&mut self.effects),
            started_at: now,
            failed_at: None,
            has_failed: false,
        });
        batch
    }

    /// Handles the completion of a batch. Returns the effects that it releases.
    pub fn record_persisted(&mut self, id: BatchId) -> Vec<Effect> {
        let is_expected =
            |in_flight: &mut InFlight| in_flight.batch.id == id && in_flight.failed_at.is_none();
        self.in_flight.take_if(is_expected).map_or_else(Vec::new, |in_flight| in_flight.effects)
    }

    /// Handles the failure to write a batch.
    pub fn record_failure(&mut self, now: Duration, id: BatchId) {
        if let Some(in_flight) = self.in_flight.as_mut().filter(|in_flight| in_flight.batch.id == id) {
            in_flight.failed_at = Some(now);
            in_flight.has_failed = true;
        }
    }

    /// Returns the failed batch once its retry is due.
    pub fn take_retry(&mut self, now: Duration) -> Option<Batch> {
        let in_flight = self.in_flight.as_mut()?;
        if now < in_flight.failed_at? + RETRY_AFTER {
            return None;
        }
        in_flight.failed_at = None;
        Some(in_flight.batch.clone())
    }

    /// Whether the batch in flight has neither failed nor taken longer than `max_duration`.
    pub fn is_healthy(&self, now: Duration, max_duration: Duration) -> bool {
        self.in_flight
            .as_ref()
            .is_none_or(|in_flight| !in_flight.has_failed && now < in_flight.started_at + max_duration)
    }

    /// Excludes a pause of the process from the duration of the batch in flight, since the disk did not cause
    /// it.
    pub fn discount_pause(&mut self, pause: Duration) {
        if let Some(in_flight) = self.in_flight.as_mut() {
            in_flight.started_at += pause;
        }
    }
}
