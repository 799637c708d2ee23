//! The log: opening and recovery, appends and rewrites.

use crate::disk::{Disk, DiskFile, FileSystemDirectory};
use crate::error::StoreError;
use crate::frame::{self, HEADER_BYTES, MAX_FRAME_BYTES};
use std::path::Path;

/// The name of the log file.
const LOG: &str = "log";
/// The name of a new log file until it is complete and synced; it is then renamed to [`LOG`].
const NEW_LOG: &str = "log.new";
/// The name under which a corrupt log is kept for analysis.
const QUARANTINED_LOG: &str = "log.damaged";

/// The maximum length in bytes of the records in one frame of a rewrite, unless a single record is longer. It
/// bounds the memory that a rewrite uses at a time.
const MAX_REWRITE_FRAME_BYTES: usize = 1024 * 1024;

/// The end of a file that was truncated when the log was opened: an append that was not completely synced
/// before a power loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The offset at which the torn tail began.
    pub offset: u64,
    /// The length of the torn tail in bytes.
    pub bytes: u64,
}

/// The content of a log at the time it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// The records, oldest first.
    pub records: Vec<Vec<u8>>,
    /// The tail that was truncated, if any.
    pub torn_tail: Option<TornTail>,
}

/// An open log.
#[derive(Debug)]
pub struct Log<D: Disk = FileSystemDirectory> {
    disk: D,
    file: D::File,
    /// Starts at 1 and is incremented by each rewrite. Each frame's checksum covers it.
    generation: u64,
    /// The sequence number of the next frame.
    next_sequence: u64,
    /// The length of the file up to the end of the last synced frame, in bytes.
    valid_bytes: u64,
    /// Whether bytes of a failed append may follow the valid frames.
    has_failed_append: bool,
    /// Whether the directory has not been synced since the last rewrite, so that after a power loss the file
    /// name may still refer to the previous file.
    needs_directory_sync: bool,
    /// Whether a rename has failed, so that the file name may refer to a file other than the open one.
    is_poisoned: bool,
}

impl Log<FileSystemDirectory> {
    /// Opens the log in an existing directory of the file system, or creates an empty log there.
    pub fn open(directory: &Path) -> Result<(Log, Recovered), StoreError> {
        Log::open_on(FileSystemDirectory::new(directory))
    }

    /// Moves a corrupt log aside by renaming it, so that the next open creates an empty one.
    pub fn quarantine(directory: &Path) -> Result<(), StoreError> {
        Log::quarantine_on(&FileSystemDirectory::new(directory))
    }
}

impl<D: Disk> Log<D> {
    /// Opens the log on `disk`, or creates an empty log there.
    pub fn open_on(disk: D) -> Result<(Log<D>, Recovered), StoreError> {
        if let Some(bytes) = disk.read(LOG)? {
            // The file is left over from a rewrite that stopped before its rename. If it cannot be removed it
            // does no harm: the next rewrite truncates it.
            let _ = disk.remove(NEW_LOG);
            return Log::open_existing(disk, &bytes);
        }
        let new_log = disk.read(NEW_LOG)?.filter(|bytes| frame::decode_header(bytes).is_some());
        let Some(bytes) = new_log else { return Log::create(disk) };
        disk.rename(NEW_LOG, LOG)?;
        disk.sync_directory()?;
        Log::open_existing(disk, &bytes)
    }

    /// Moves a corrupt log on `disk` aside by renaming it, so that the next open creates an empty one.
    pub fn quarantine_on(disk: &D) -> Result<(), StoreError> {
        if disk.read(NEW_LOG)?.is_some() {
            disk.remove(NEW_LOG)?;
        }
        if disk.read(LOG)?.is_some() {
            disk.rename(LOG, QUARANTINED_LOG)?;
        }
        disk.sync_directory()?;
        Ok(())
    }

    fn open_existing(disk: D, bytes: &[u8]) -> Result<(Log<D>, Recovered), StoreError> {
        let generation = frame::decode_header(bytes).ok_or(StoreError::UnknownFormat)?;
        let parsed = frame::parse(generation, bytes);
        let valid_bytes = parsed.valid_bytes as u64;
        if parsed.is_corrupt {
            return Err(StoreError::Corrupt { offset: valid_bytes });
        }
        let mut file = disk.open(LOG)?;
        let surplus = bytes.len() as u64 - valid_bytes;
        let torn_tail = (surplus > 0).then_some(TornTail { offset: valid_bytes, bytes: surplus });
        if torn_tail.is_some() {
            file.set_length(valid_bytes)?;
        }
        // If the previous process died before its sync, the bytes read may exist only in the page cache. They
        // are synced before anyone relies on them.
        file.sync()?;
        disk.sync_directory()?;
        let log = Log::new(disk, file, generation, parsed.next_sequence, valid_bytes);
        Ok((log, Recovered { records: parsed.records, torn_tail }))
    }

    fn create(disk: D) -> Result<(Log<D>, Recovered), StoreError> {
        let generation = 1;
        let mut file = disk.create(NEW_LOG)?;
        file.write_all_at(0, &frame::encode_header(generation))?;
        file.sync()?;
        disk.rename(NEW_LOG, LOG)?;
        disk.sync_directory()?;
        let log = Log::new(disk, file, generation, 1, HEADER_BYTES as u64);
        Ok((log, Recovered { records: Vec::new(), torn_tail: None }))
    }

    /// Returns a log whose file and file name have been synced.
    fn new(disk: D, file: D::File, generation: u64, next_sequence: u64, valid_bytes: u64) -> Log<D> {
        Log {
            disk,
            file,
            generation,
            next_sequence,
            valid_bytes,
            has_failed_append: false,
            needs_directory_sync: false,
            is_poisoned: false,
        }
    }

    /// Atomically appends `records` as one frame and syncs it.
    ///
    /// After an error it is unknown which bytes follow the earlier records on disk. The next append first
    /// truncates them, and fails as long as that is not possible.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        check_length(records)?;
        self.repair()?;
        let frame = frame::encode_frame(self.generation, self.next_sequence, records);
        self.has_failed_append = true;
        self.file.write_all_at(self.valid_bytes, &frame)?;
        self.file.sync()?;
        self.has_failed_append = false;
        self.valid_bytes += frame.len() as u64;
        self.next_sequence += 1;
        Ok(())
    }

    /// Atomically replaces all records. After an error the log contains either the old or the new records.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        let batches = split_into_frames(records);
        for batch in &batches {
            check_length(batch)?;
        }
        let generation = self.generation + 1;
        let (file, valid_bytes) = match self.write_new_log(generation, &batches) {
            Ok(written) => written,
            Err(error) => {
                // The removal only frees space; the old log stays in use even if it fails.
                let _ = self.disk.remove(NEW_LOG);
                return Err(error);
            }
        };
        self.is_poisoned = true;
        self.disk.rename(NEW_LOG, LOG)?;
        self.is_poisoned = false;
        self.file = file;
        self.generation = generation;
        self.next_sequence = batches.len() as u64 + 1;
        self.valid_bytes = valid_bytes;
        self.has_failed_append = false;
        self.needs_directory_sync = true;
        self.disk.sync_directory()?;
        self.needs_directory_sync = false;
        Ok(())
    }

    /// Returns the length of the file in bytes, excluding the bytes of a failed append.
    pub fn len_bytes(&self) -> u64 {
        self.valid_bytes
    }

    /// Writes and syncs a new file with one frame per batch, encoding one frame at a time. Returns the file
    /// and its length in bytes.
    fn write_new_log(&self, generation: u64, batches: &[&[Vec<u8>]]) -> Result<(D::File, u64), StoreError> {
        let mut file = self.disk.create(NEW_LOG)?;
        let mut offset = 0;
        for (sequence, records) in (1..).zip(batches) {
            let mut content = if offset == 0 { frame::encode_header(generation) } else { Vec::new() };
            content.extend(frame::encode_frame(generation, sequence, records));
            file.write_all_at(offset, &content)?;
            offset += content.len() as u64;
        }
        file.sync()?;
        Ok((file, offset))
    }

    /// Restores the file to a state that is safe to append to after an earlier error.
    fn repair(&mut self) -> Result<(), StoreError> {
        if self.is_poisoned {
            return Err(StoreError::Poisoned);
        }
        if self.needs_directory_sync {
            self.disk.sync_directory()?;
            self.needs_directory_sync = false;
        }
        if self.has_failed_append {
            self.file.set_length(self.valid_bytes)?;
            self.file.sync()?;
            self.has_failed_append = false;
        }
        Ok(())
    }
}

/// Splits the records of a rewrite into batches, one per frame and at least one in total. The records need
/// not share a frame for the rewrite to be atomic, since all frames become valid with the rename.
fn split_into_frames(records: &[Vec<u8>]) -> Vec<&[Vec<u8>]> {
    let mut batches = Vec::new();
    let mut remaining = records;
    loop {
        let mut bytes = 0;
        let fits = |record: &&Vec<u8>| {
            bytes += record.len();
            bytes <= MAX_REWRITE_FRAME_BYTES
        };
        let count = remaining.iter().take_while(fits).count().max(1).min(remaining.len());
        let (batch, rest) = remaining.split_at(count);
        batches.push(batch);
        remaining = rest;
        if remaining.is_empty() {
            return batches;
        }
    }
}

fn check_length(records: &[Vec<u8>]) -> Result<(), StoreError> {
    let bytes = frame::framed_bytes(records);
    if bytes > MAX_FRAME_BYTES {
        return Err(StoreError::TooLong { bytes });
    }
    Ok(())
}
