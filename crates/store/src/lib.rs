//! An append-only log of checksummed records in one directory: the write-ahead log of the control plane.
//!
//! The file consists of a header (magic, format version, generation) followed by frames. Each [`Log::append`]
//! writes one frame, and a frame is valid only if it is complete, so an append is atomic: after a crash
//! either all of its records are recovered or none. Nothing is appended after a frame that has not been
//! synced, so at most the last frame can be unsynced. Therefore an invalid frame that is followed by valid
//! frames indicates corruption, and an invalid frame at the end of the file is a torn write caused by a power
//! loss.
//!
//! A rewrite creates a new file, syncs it, renames it over the old one and syncs the directory. Nothing is
//! appended until the directory is synced, since after a power loss the name may still refer to the old file.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `log` | opening and recovery, appends, rewrites |
//! | `frame` | the file format |
//! | `checksum` | CRC-32C |
//! | `disk` | the file operations that the log needs, and their implementation on the file system |
//! | `simulated` (with the `simulated` feature) | an in-memory disk with fault injection, for tests |
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
