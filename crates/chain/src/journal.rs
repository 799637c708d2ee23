//! Batches records for the disk, one batch at a time, and holds back what may be said only once they are synced.

use crate::entry::EntryHeader;
use crate::message::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// A refused batch is tried again after this; it also probes whether the disk takes writes again.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// What may be done once the records before it are synced.
#[derive(Clone, Debug)]
pub enum Effect {
    /// The identity is on disk.
    Ready,
    /// Say this to a peer.
    Send {
        /// The peer.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The history of a view is on disk.
    Installed {
        /// The number of the view.
        view: u64,
        /// The last entry of the history.
        last_index: u64,
    },
    /// Committed entries that came from outside the chain are on disk.
    Followed {
        /// The last of them.
        index: u64,
    },
    /// An entry is on disk.
    Appended {
        /// The view in which it was added.
        view: u64,
        /// The entry.
        header: EntryHeader,
    },
}

/// A batch on its way to the disk.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Names it.
    pub number: u64,
    /// Its records.
    pub records: Vec<Vec<u8>>,
    /// Whether they replace the whole log.
    pub rewrite: bool,
}

#[derive(Debug)]
struct InFlight {
    batch: Batch,
    effects: Vec<Effect>,
    begun: Duration,
    failed: Option<Duration>,
    /// Refused at least once, so the disk is in trouble until the batch is synced.
    refused: bool,
}

/// The records that are not synced yet.
#[derive(Debug, Default)]
pub struct Journal {
    in_flight: Option<InFlight>,
    records: Vec<Vec<u8>>,
    effects: Vec<Effect>,
    last_batch: u64,
    log_bytes: usize,
}

impl Journal {
    /// A journal of a log that holds this many bytes of records.
    pub fn new(log_bytes: usize) -> Journal {
        Journal { log_bytes, ..Journal::default() }
    }

    /// Adds a record to the next batch.
    pub fn record(&mut self, record: Vec<u8>) {
        self.log_bytes += record.len();
        self.records.push(record);
    }

    /// Adds what may be done once all records so far are synced.
    pub fn then(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// How many bytes of records the log has, the unsynced ones included.
    pub fn log_bytes(&self) -> usize {
        self.log_bytes
    }

    /// Whether a batch may begin.
    pub fn idle(&self) -> bool {
        self.in_flight.is_none()
    }

    /// The effects that wait for no record.
    pub fn take_unbound(&mut self) -> Vec<Effect> {
        if self.idle() && self.records.is_empty() { std::mem::take(&mut self.effects) } else { Vec::new() }
    }

    /// Begins the next batch, if there are records and none is under way.
    pub fn begin(&mut self, now: Duration) -> Option<Batch> {
        if !self.idle() || self.records.is_empty() {
            return None;
        }
        let records = std::mem::take(&mut self.records);
        Some(self.launch(now, records, false))
    }

    /// Begins a rewrite in place of the next batch, whose records are part of `snapshot`. Only while idle.
    pub fn begin_rewrite(&mut self, now: Duration, snapshot: Vec<Vec<u8>>) -> Batch {
        self.records.clear();
        self.log_bytes = snapshot.iter().map(Vec::len).sum();
        self.launch(now, snapshot, true)
    }

    fn launch(&mut self, now: Duration, records: Vec<Vec<u8>>, rewrite: bool) -> Batch {
        self.last_batch += 1;
        let batch = Batch { number: self.last_batch, records, rewrite };
        let effects = std::mem::take(&mut self.effects);
        self.in_flight =
            Some(InFlight { batch: batch.clone(), effects, begun: now, failed: None, refused: false });
        batch
    }

    /// The batch is synced. Returns what may be done now.
    pub fn stored(&mut self, number: u64) -> Vec<Effect> {
        match self.in_flight.take_if(|flight| flight.batch.number == number && flight.failed.is_none()) {
            Some(flight) => flight.effects,
            None => Vec::new(),
        }
    }

    /// The disk refused the batch.
    pub fn failed(&mut self, now: Duration, number: u64) {
        if let Some(flight) = self.in_flight.as_mut().filter(|flight| flight.batch.number == number) {
            flight.failed = Some(now);
            flight.refused = true;
        }
    }

    /// The refused batch, once it is time to try it again.
    pub fn retry(&mut self, now: Duration) -> Option<Batch> {
        let flight = self.in_flight.as_mut()?;
        if now < flight.failed? + RETRY_AFTER {
            return None;
        }
        flight.failed = None;
        Some(flight.batch.clone())
    }

    /// Whether no batch was refused and none takes longer than `patience`.
    pub fn well(&self, now: Duration, patience: Duration) -> bool {
        self.in_flight.as_ref().is_none_or(|flight| !flight.refused && now < flight.begun + patience)
    }

    /// The process stood still for this long; that is no fault of the disk.
    pub fn forgive(&mut self, pause: Duration) {
        if let Some(flight) = self.in_flight.as_mut() {
            flight.begun += pause;
        }
    }
}
