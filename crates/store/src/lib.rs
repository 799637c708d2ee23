//! An append-only log of checksummed records in one directory: the write-ahead log of the control plane.
//!
//! The file begins with a header (magic, format version, generation), then frames follow. One [`Log::append`] writes one frame,
//! and a frame is valid only if it is complete, so the records of one append survive together or not at all. Nothing is
//! appended after a frame that was not synced, so at most the last frame can be unsynced. Therefore an invalid frame with
//! valid ones after it is corruption, and an invalid frame at the end is the torn tail of a loss of power.
//!
//! A rewrite creates a new file, syncs it, renames it over the old one and syncs the directory. Until the directory is synced
//! nothing is appended, since the name may still refer to the old file after a loss of power.
//!
//! | module | job |
//! | --- | --- |
//! | `log` | opening and recovery, appends, rewrites |
//! | `frame` | the layout of the file |
//! | `checksum` | CRC-32C |
//! | `disk` | the operations on files that the log needs, and the file system |
//! | `simulated` (with the feature of that name) | a disk in memory with faults, for tests |
#![forbid(unsafe_code)]

mod checksum;
mod disk;
mod error;
mod frame;
mod log;
#[cfg(feature = "simulated")]
pub mod simulated;

pub use checksum::crc32c;
pub use disk::{Disk, DiskFile, FileSystemDirectory, FileSystemFile};
pub use error::StoreError;
pub use log::{Log, Recovered, TornTail};
