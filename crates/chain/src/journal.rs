//! The journal: collects records into batches for the disk, and delays effects until their records are synced.
//!
//! At most one batch is in flight. Records that arrive meanwhile form the next one (group commit). An [`Effect`] is released
//! once every record that was added before it is on disk; this is how a promise, an acceptance or an acknowledgement is never
//! sent before it is durable.

use crate::action::BatchId;
use crate::entry::EntryHeader;
use crate::message::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// A batch that the disk refused is retried after this. The retry also shows whether the disk accepts writes again.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// What the replica does once the records before it are synced.
#[derive(Clone, Debug)]
pub enum Effect {
    /// The identity is on disk: take part.
    BecomeReady,
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The history of a view is on disk.
    StateInstalled {
        /// The number of the view.
        view: u64,
        /// The index of the last entry of the history.
        last_index: u64,
    },
    /// Committed entries that a process outside the chain has fetched are on disk.
    LearnerSynced {
        /// The index of the last of them.
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

/// A batch of records for the disk.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Counts the batches from 1.
    pub id: BatchId,
    /// The encoded records, in order.
    pub records: Vec<Vec<u8>>,
    /// Whether they replace the complete log.
    pub is_rewrite: bool,
}

#[derive(Debug)]
struct InFlight {
    batch: Batch,
    effects: Vec<Effect>,
    started_at: Duration,
    /// The time of the last refusal, until the batch is retried.
    failed_at: Option<Duration>,
    /// Whether it was refused at least once. The disk then counts as unhealthy until the batch is synced.
    was_refused: bool,
}

/// The records that are not synced yet.
#[derive(Debug, Default)]
pub struct Journal {
    in_flight: Option<InFlight>,
    records: Vec<Vec<u8>>,
    effects: Vec<Effect>,
    last_batch: BatchId,
    log_bytes: usize,
}

impl Journal {
    /// A journal for a log that contains this many bytes of records.
    pub fn new(log_bytes: usize) -> Journal {
        Journal { log_bytes, ..Journal::default() }
    }

    /// Adds a record to the next batch.
    pub fn append(&mut self, record: Vec<u8>) {
        self.log_bytes += record.len();
        self.records.push(record);
    }

    /// Adds an effect that is released once all records so far are synced.
    pub fn after_sync(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// The size of the log in bytes of records, the unsynced ones included.
    pub fn log_bytes(&self) -> usize {
        self.log_bytes
    }

    /// Whether no batch is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    /// Takes the effects that do not wait for any record.
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

    /// Starts a rewrite of the log instead of the next batch, whose records `snapshot` must contain. Only while idle.
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
            was_refused: false,
        });
        batch
    }

    /// Records that a batch is synced. Returns the effects that it releases.
    pub fn record_persisted(&mut self, id: BatchId) -> Vec<Effect> {
        let is_this = |in_flight: &mut InFlight| in_flight.batch.id == id && in_flight.failed_at.is_none();
        self.in_flight.take_if(is_this).map_or_else(Vec::new, |in_flight| in_flight.effects)
    }

    /// Records that the disk refused a batch.
    pub fn record_failure(&mut self, now: Duration, id: BatchId) {
        if let Some(in_flight) = self.in_flight.as_mut().filter(|in_flight| in_flight.batch.id == id) {
            in_flight.failed_at = Some(now);
            in_flight.was_refused = true;
        }
    }

    /// The refused batch, once its retry is due.
    pub fn take_retry(&mut self, now: Duration) -> Option<Batch> {
        let in_flight = self.in_flight.as_mut()?;
        if now < in_flight.failed_at? + RETRY_AFTER {
            return None;
        }
        in_flight.failed_at = None;
        Some(in_flight.batch.clone())
    }

    /// Whether the batch in flight was neither refused nor has taken `max_duration`.
    pub fn is_healthy(&self, now: Duration, max_duration: Duration) -> bool {
        self.in_flight
            .as_ref()
            .is_none_or(|in_flight| !in_flight.was_refused && now < in_flight.started_at + max_duration)
    }

    /// Discounts a pause of the process from the duration of the batch in flight: it is no fault of the disk.
    pub fn discount_pause(&mut self, pause: Duration) {
        if let Some(in_flight) = self.in_flight.as_mut() {
            in_flight.started_at += pause;
        }
    }
}
