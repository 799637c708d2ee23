//! The storage thread: the one owner of the log file. A slow disk holds up nobody but those who wait for it.

use crate::command::Command;
use crate::message::{PersistOutcome, RecordOwner};
use lugwharf_store::{Log, Recovered, StoreError};
use spdlog::prelude::*;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

#[cfg(test)]
#[path = "storage_tests.rs"]
mod storage_tests;

impl RecordOwner {
    const ALL: [RecordOwner; 2] = [RecordOwner::Chain, RecordOwner::Election];

    fn tag(self) -> u8 {
        match self {
            RecordOwner::Chain => 1,
            RecordOwner::Election => 2,
        }
    }

    /// Marks a record as this owner's.
    pub fn tag_record(self, mut record: Vec<u8>) -> Vec<u8> {
        record.insert(0, self.tag());
        record
    }

    /// The records of this owner, without their marks.
    pub fn untagged_records(self, all: &[Vec<u8>]) -> Vec<Vec<u8>> {
        let own = all.iter().filter(|record| record.first() == Some(&self.tag()));
        own.map(|record| record[1..].to_vec()).collect()
    }

    /// Whether somebody owns this record.
    fn is_owned(record: &[u8]) -> bool {
        RecordOwner::ALL.iter().any(|owner| record.first() == Some(&owner.tag()))
    }
}

/// A batch on its way to the disk.
pub struct LogBatch {
    /// Whose it is.
    pub owner: RecordOwner,
    /// Its number, as its owner counts.
    pub number: u64,
    /// Marked records.
    pub records: Vec<Vec<u8>>,
    /// Whether they replace the whole log.
    pub is_rewrite: bool,
}

/// What was found on the disk.
pub struct OpenedLog {
    /// Marked records in order.
    pub records: Vec<Vec<u8>>,
    /// The log was damaged in its middle and has been set aside; this process starts as if its disk had been lost.
    pub was_quarantined: bool,
    /// Takes batches.
    pub writer: Sender<LogBatch>,
}

/// Opens the log in `directory` and starts the thread that writes it. A log that is damaged in its middle, is none of this
/// program's, or holds records that are not `is_usable` is set aside: this process then starts as if its disk had been lost.
pub fn open(
    directory: &Path, commands: tokio::sync::mpsc::Sender<Command>, is_usable: impl Fn(&[Vec<u8>]) -> bool,
) -> Result<OpenedLog, StoreError> {
    let (log, recovered, was_quarantined) = open_log(directory, is_usable)?;
    if let Some(cut) = &recovered.torn_tail {
        warn!("log_file", kv: { outcome = "tail_cut", offset = cut.offset, bytes = cut.bytes });
    }
    let (writer, queue) = channel();
    let directory = directory.to_owned();
    thread::Builder::new()
        .name("storage".to_owned())
        .spawn(move || write(log, &directory, &queue, &commands))
        .map_err(StoreError::Io)?;
    let records = recovered.records.into_iter().filter(|record| RecordOwner::is_owned(record)).collect();
    Ok(OpenedLog { records, was_quarantined, writer })
}

fn open_log(
    directory: &Path, is_usable: impl Fn(&[Vec<u8>]) -> bool,
) -> Result<(Log, Recovered, bool), StoreError> {
    match Log::open(directory) {
        Ok((log, recovered)) if is_usable(&recovered.records) => return Ok((log, recovered, false)),
        Ok(_) | Err(StoreError::Corrupt { .. } | StoreError::UnknownFormat) => {}
        Err(error) => return Err(error),
    }
    error!("log_file", kv: { outcome = "set_aside", reason = "it can't be read" });
    Log::quarantine(directory)?;
    let (log, recovered) = Log::open(directory)?;
    Ok((log, recovered, true))
}

fn write(
    log: Log, directory: &Path, queue: &Receiver<LogBatch>, commands: &tokio::sync::mpsc::Sender<Command>,
) {
    let mut log = log;
    let directory: PathBuf = directory.to_owned();
    let mut is_healthy = true;
    while let Ok(batch) = queue.recv() {
        let result = if batch.is_rewrite { log.rewrite(&batch.records) } else { log.append(&batch.records) };
        if let Err(error) = &result {
            log_write_failure(is_healthy, &directory, error);
        }
        is_healthy = result.is_ok();
        let outcome = PersistOutcome { owner: batch.owner, batch: batch.number, is_synced: result.is_ok() };
        if commands.blocking_send(Command::Persisted(outcome)).is_err() {
            return;
        }
    }
}

/// Batches that the disk refuses are tried again and again; the first of a row is worth a warning.
fn log_write_failure(was_healthy: bool, directory: &Path, error: &StoreError) {
    let level = if was_healthy { Level::Warn } else { Level::Debug };
    log!(level, "log_file", kv: { outcome = "write_failed", directory: = directory.display(), error: = error });
}
