//! The log itself.

use crate::disk::{Directory, Disk, DiskFile};
use crate::error::StoreError;
use crate::frame::{self, HEADER_BYTES, MAX_FRAME_BYTES};
use std::path::Path;

/// The file that counts.
const LOG: &str = "log";
/// A file on its way to become the log.
const NEW: &str = "log.new";
/// A damaged log that was set aside.
const QUARANTINED: &str = "log.damaged";

/// A frame of a rewrite is no longer than this or than its only record, in bytes: what a rewrite holds in memory at once.
const REWRITE_FRAME_BYTES: usize = 1024 * 1024;

/// A tail that was cut off at the opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// Where it began.
    pub offset: u64,
    /// How many bytes it had.
    pub bytes: u64,
}

/// What the log held at its opening.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// The records, oldest first.
    pub records: Vec<Vec<u8>>,
    /// What was cut off.
    pub torn_tail: Option<TornTail>,
}

/// An open log.
#[derive(Debug)]
pub struct Log<D: Disk = Directory> {
    disk: D,
    file: D::File,
    generation: u64,
    next_sequence: u64,
    good_bytes: u64,
    /// Bytes of a failed append may lie behind the good ones.
    unclean: bool,
    /// The name may still fall back to the file before the last rewrite.
    directory_unsynced: bool,
    /// The name may stand for another file than the open one.
    misnamed: bool,
}

impl Log<Directory> {
    /// Opens the log in a folder of the file system, or makes an empty one.
    pub fn open(folder: &Path) -> Result<(Log, Recovered), StoreError> {
        Log::open_on(Directory::new(folder))
    }

    /// Sets a damaged log aside, so that the next opening begins with an empty one.
    pub fn quarantine(folder: &Path) -> Result<(), StoreError> {
        Log::quarantine_on(&Directory::new(folder))
    }
}

impl<D: Disk> Log<D> {
    /// Opens the log on a disk, or makes an empty one.
    pub fn open_on(disk: D) -> Result<(Log<D>, Recovered), StoreError> {
        if let Some(bytes) = disk.read(LOG)? {
            // A rewrite that did not come to its renaming. It may stay if it cannot be removed.
            let _ = disk.remove(NEW);
            return Log::open_existing(disk, &bytes);
        }
        let unnamed = disk.read(NEW)?.filter(|bytes| frame::decode_header(bytes).is_some());
        let Some(bytes) = unnamed else { return Log::create(disk) };
        disk.rename(NEW, LOG)?;
        disk.sync_directory()?;
        Log::open_existing(disk, &bytes)
    }

    /// Sets a damaged log aside.
    pub fn quarantine_on(disk: &D) -> Result<(), StoreError> {
        if disk.read(NEW)?.is_some() {
            disk.remove(NEW)?;
        }
        if disk.read(LOG)?.is_some() {
            disk.rename(LOG, QUARANTINED)?;
        }
        disk.sync_directory()?;
        Ok(())
    }

    fn open_existing(disk: D, bytes: &[u8]) -> Result<(Log<D>, Recovered), StoreError> {
        let generation = frame::decode_header(bytes).ok_or(StoreError::UnknownFormat)?;
        let parsed = frame::parse(generation, bytes);
        let good_bytes = parsed.good_bytes as u64;
        if parsed.is_corrupt {
            return Err(StoreError::Corrupt { offset: good_bytes });
        }
        let mut file = disk.open(LOG)?;
        let surplus = bytes.len() as u64 - good_bytes;
        let torn_tail = (surplus > 0).then_some(TornTail { offset: good_bytes, bytes: surplus });
        // What was read may lie in a cache only, if a process died before its sync; so it is synced before it counts.
        if torn_tail.is_some() {
            file.set_length(good_bytes)?;
        }
        file.sync()?;
        disk.sync_directory()?;
        let log = Log {
            disk,
            file,
            generation,
            next_sequence: parsed.next_sequence,
            good_bytes,
            unclean: false,
            directory_unsynced: false,
            misnamed: false,
        };
        Ok((log, Recovered { records: parsed.records, torn_tail }))
    }

    fn create(disk: D) -> Result<(Log<D>, Recovered), StoreError> {
        let generation = 1;
        let mut file = disk.create(NEW)?;
        file.write_at(0, &frame::encode_header(generation))?;
        file.sync()?;
        disk.rename(NEW, LOG)?;
        disk.sync_directory()?;
        let log = Log {
            disk,
            file,
            generation,
            next_sequence: 1,
            good_bytes: HEADER_BYTES as u64,
            unclean: false,
            directory_unsynced: false,
            misnamed: false,
        };
        Ok((log, Recovered { records: Vec::new(), torn_tail: None }))
    }

    /// Appends records and syncs them. After an error nothing is known of what lies on disk behind the records before;
    /// the next append first takes it away, and fails while it cannot.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        check_length(records)?;
        self.repair()?;
        let frame = frame::encode_frame(self.generation, self.next_sequence, records);
        self.unclean = true;
        self.file.write_at(self.good_bytes, &frame)?;
        self.file.sync()?;
        self.unclean = false;
        self.good_bytes += frame.len() as u64;
        self.next_sequence += 1;
        Ok(())
    }

    /// Replaces all records. After an error the log holds either the old records or the new ones.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        let frames = into_frames(records);
        for frame in &frames {
            check_length(frame)?;
        }
        let generation = self.generation + 1;
        let (file, good_bytes) = match self.write_new(generation, &frames) {
            Ok(written) => written,
            Err(error) => {
                // The space is wanted back; the old log goes on.
                let _ = self.disk.remove(NEW);
                return Err(error);
            }
        };
        self.misnamed = true;
        self.disk.rename(NEW, LOG)?;
        self.misnamed = false;
        self.file = file;
        self.generation = generation;
        self.next_sequence = frames.len() as u64 + 1;
        self.good_bytes = good_bytes;
        self.unclean = false;
        self.directory_unsynced = true;
        self.disk.sync_directory()?;
        self.directory_unsynced = false;
        Ok(())
    }

    /// The length of the file in bytes, without what a failed append may have left.
    pub fn len_bytes(&self) -> u64 {
        self.good_bytes
    }

    /// Writes and syncs a file of these frames, one in memory at a time. Returns it with its length in bytes.
    fn write_new(&self, generation: u64, frames: &[&[Vec<u8>]]) -> Result<(D::File, u64), StoreError> {
        let mut file = self.disk.create(NEW)?;
        let mut offset = 0;
        for (sequence, records) in (1..).zip(frames) {
            let mut content = if offset == 0 { frame::encode_header(generation) } else { Vec::new() };
            content.extend(frame::encode_frame(generation, sequence, records));
            file.write_at(offset, &content)?;
            offset += content.len() as u64;
        }
        file.sync()?;
        Ok((file, offset))
    }

    fn repair(&mut self) -> Result<(), StoreError> {
        if self.misnamed {
            return Err(StoreError::Poisoned);
        }
        if self.directory_unsynced {
            self.disk.sync_directory()?;
            self.directory_unsynced = false;
        }
        if self.unclean {
            self.file.set_length(self.good_bytes)?;
            self.file.sync()?;
            self.unclean = false;
        }
        Ok(())
    }
}

/// Cuts the records of a rewrite into frames, at least one. They need no frame in common, since all of them count with
/// the renaming.
fn into_frames(records: &[Vec<u8>]) -> Vec<&[Vec<u8>]> {
    let mut frames = Vec::new();
    let mut rest = records;
    loop {
        let mut bytes = 0;
        let fits = |record: &&Vec<u8>| {
            bytes += record.len();
            bytes <= REWRITE_FRAME_BYTES
        };
        let count = rest.iter().take_while(fits).count().max(1).min(rest.len());
        let (frame, left) = rest.split_at(count);
        frames.push(frame);
        rest = left;
        if rest.is_empty() {
            return frames;
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
