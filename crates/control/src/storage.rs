//! The storage thread, the sole owner of the log file. A slow disk delays only the operations that wait for
//! it.
//!
//! Batches are written and synced in order; each ends with one [`Command::Persisted`]. A failed write is
//! logged (`log_file outcome=write_failed`) and reported to the state machine that wrote the batch: the
//! replica retries the batch, the elector denies the vote. If the log can't be used at the start, it is
//! quarantined, and this process starts as if its disk had been lost.

use crate::command::Command;
use crate::message::PersistOutcome;
use crate::record_owner::RecordOwner;
use lugwharf_store::{Log, Recovered, StoreError};
use spdlog::prelude::*;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

#[cfg(test)]
#[path = "storage_tests.rs"]
mod storage_tests;

/// A batch of records to write and sync.
pub struct LogBatch {
    /// The state machine that the batch belongs to.
    pub owner: RecordOwner,
    /// The number of the batch, assigned by its owner.
    pub number: u64,
    /// The records with their owner tags.
    pub records: Vec<Vec<u8>>,
    /// Whether the records replace the complete log.
    pub is_rewrite: bool,
}

/// An opened log and the records that it contains.
pub struct OpenedLog {
    /// The records with their owner tags, in order.
    pub records: Vec<Vec<u8>>,
    /// Whether an unusable log was quarantined. This process then starts as if its disk had been lost.
    pub was_quarantined: bool,
    /// Sends batches to the storage thread.
    pub writer: Sender<LogBatch>,
}

/// Opens the log in `directory` and starts the thread that writes it. The log is quarantined if it is corrupt
/// other than at its end, was written by another program, or contains records for which `is_usable` returns
/// false.
///
/// # Errors
/// I/O errors of the log and of starting the thread.
pub fn open(
    directory: &Path, commands: tokio::sync::mpsc::Sender<Command>, is_usable: impl Fn(&[Vec<u8>]) -> bool,
) -> Result<OpenedLog, StoreError> {
    let RecoveredLog { log, recovered, was_quarantined } = open_log(directory, is_usable)?;
    if let Some(cut) = &recovered.torn_tail {
        warn!("log_file", kv: { outcome = "torn_tail", offset = cut.offset, bytes = cut.bytes });
    }
    let (writer, queue) = channel();
    let directory = directory.to_owned();
    thread::Builder::new()
        .name("storage".to_owned())
        .spawn(move || write_batches(log, &directory, &queue, &commands))
        .map_err(StoreError::Io)?;
    let records = recovered.records.into_iter().filter(|record| RecordOwner::has_owner_tag(record)).collect();
    Ok(OpenedLog { records, was_quarantined, writer })
}

/// An open log with its recovered records.
struct RecoveredLog {
    log: Log,
    recovered: Recovered,
    was_quarantined: bool,
}

fn open_log(directory: &Path, is_usable: impl Fn(&[Vec<u8>]) -> bool) -> Result<RecoveredLog, StoreError> {
    let reason = match Log::open(directory) {
        Ok((log, recovered)) if is_usable(&recovered.records) => {
            return Ok(RecoveredLog { log, recovered, was_quarantined: false });
        }
        Ok(_) => "unrecoverable",
        Err(StoreError::Corrupt { .. }) => "corrupt",
        Err(StoreError::UnknownFormat) => "unknown_format",
        Err(error) => return Err(error),
    };
    error!("log_file", kv: { outcome = "quarantined", reason });
    Log::quarantine(directory)?;
    let (log, recovered) = Log::open(directory)?;
    Ok(RecoveredLog { log, recovered, was_quarantined: true })
}

/// Runs the storage thread: writes and syncs batches until the controller has ended or its command queue is
/// closed.
fn write_batches(
    mut log: Log, directory: &Path, queue: &Receiver<LogBatch>, commands: &tokio::sync::mpsc::Sender<Command>,
) {
    let mut is_healthy = true;
    while let Ok(batch) = queue.recv() {
        let result = if batch.is_rewrite { log.rewrite(&batch.records) } else { log.append(&batch.records) };
        if let Err(error) = &result {
            log_write_failure(is_healthy, directory, error);
        }
        is_healthy = result.is_ok();
        let outcome = PersistOutcome { owner: batch.owner, batch: batch.number, is_synced: result.is_ok() };
        if commands.blocking_send(Command::Persisted(outcome)).is_err() {
            return;
        }
    }
}

/// Logs a failed write. The replica retries a failed batch until it succeeds, so only the first of several
/// consecutive failures is a warning.
fn log_write_failure(was_healthy: bool, directory: &Path, error: &StoreError) {
    let level = if was_healthy { Level::Warn } else { Level::Debug };
    log!(level, "log_file", kv: { outcome = "write_failed", directory: = directory.display(), error: = error });
}
