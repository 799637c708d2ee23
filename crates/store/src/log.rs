//! The log: opening and recovery, appends, rewrites.

use crate::disk::{Disk, DiskFile, FileSystemDirectory};
use crate::error::StoreError;
use crate::frame::{self, HEADER_BYTES, MAX_FRAME_BYTES};
use std::path::Path;

/// The name of the log's file.
const LOG: &str = "log";
/// A new file that is to be renamed to [`LOG`] once it is complete and synced.
const NEW_LOG: &str = "log.new";
/// A corrupt log, kept for analysis.
const QUARANTINED_LOG: &str = "log.damaged";

/// The maximum length of a frame of a rewrite, unless it has one longer record: bounds the memory that a rewrite needs at
/// once.
const MAX_REWRITE_FRAME_BYTES: usize = 1024 * 1024;

/// The end of a file that was cut off at the opening: an append that was not synced completely before a loss of power.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The offset at which it began.
    pub offset: u64,
    /// Its length.
    pub bytes: u64,
}

/// The content of a log at its opening.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// The records, oldest first.
    pub records: Vec<Vec<u8>>,
    /// What was cut off, if anything.
    pub torn_tail: Option<TornTail>,
}

/// An open log.
#[derive(Debug)]
pub struct Log<D: Disk = FileSystemDirectory> {
    disk: D,
    file: D::File,
    /// Counts the rewrites, from 1; part of each frame's checksum.
    generation: u64,
    /// The sequence number of the next frame.
    next_sequence: u64,
    /// The length of the file up to the last frame that was synced.
    valid_bytes: u64,
    /// Whether bytes of a failed append may follow the valid ones.
    has_failed_append: bool,
    /// Whether the name may still refer to the previous file after a loss of power, since the directory was not synced after
    /// the last rewrite.
    needs_directory_sync: bool,
    /// Whether the name may refer to another file than the open one, since a rename failed.
    is_poisoned: bool,
}

impl Log<FileSystemDirectory> {
    /// Opens the log in a directory of the file system, which must exist, or creates an empty one.
    pub fn open(directory: &Path) -> Result<(Log, Recovered), StoreError> {
        Log::open_on(FileSystemDirectory::new(directory))
    }

    /// Renames a corrupt log, so that the next opening creates an empty one.
    pub fn quarantine(directory: &Path) -> Result<(), StoreError> {
        Log::quarantine_on(&FileSystemDirectory::new(directory))
    }
}

impl<D: Disk> Log<D> {
    /// Opens the log on a disk, or creates an empty one.
    pub fn open_on(disk: D) -> Result<(Log<D>, Recovered), StoreError> {
        if let Some(bytes) = disk.read(LOG)? {
            // A rewrite that ended before its rename. It may stay if it can't be removed: the next rewrite truncates it.
            let _ = disk.remove(NEW_LOG);
            return Log::open_existing(disk, &bytes);
        }
        let new_log = disk.read(NEW_LOG)?.filter(|bytes| frame::decode_header(bytes).is_some());
        let Some(bytes) = new_log else { return Log::create(disk) };
        disk.rename(NEW_LOG, LOG)?;
        disk.sync_directory()?;
        Log::open_existing(disk, &bytes)
    }

    /// Renames a corrupt log on a disk, so that the next opening creates an empty one.
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
        // What was read may be in a cache only, if a process died before its sync; so it is synced before anyone relies on it.
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

    /// A log whose file and name are synced.
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

    /// Appends records as one frame and syncs them: they survive together or not at all.
    ///
    /// After an error it is unknown which bytes follow the earlier records on disk. The next append truncates them first, and
    /// fails while it can't.
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

    /// Replaces all records. After an error the log contains either the old records or the new ones.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        let batches = split_into_frames(records);
        for batch in &batches {
            check_length(batch)?;
        }
        let generation = self.generation + 1;
        let (file, valid_bytes) = match self.write_new_log(generation, &batches) {
            Ok(written) => written,
            Err(error) => {
                // Only to free the space; the old log stays in use either way.
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

    /// The length of the file in bytes, without those of a failed append.
    pub fn len_bytes(&self) -> u64 {
        self.valid_bytes
    }

    /// Writes and syncs a new file with one frame for each batch, one frame in memory at a time. Returns it with its length
    /// in bytes.
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

    /// Makes the file safe to append to after an error.
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

/// Splits the records of a rewrite into the batches of its frames, at least one. They need not share a frame to survive
/// together, since all of them become valid with the rename.
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
