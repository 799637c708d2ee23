//! An append-only log of checksummed records in one folder.
//!
//! The file begins with a magic, a version and a generation, and goes on with frames. One [`Log::append`] writes one
//! frame, and a frame counts only as a whole, so the records of one append survive together or not at all. At most the
//! last frame can be unsynced, since nothing is appended behind a frame that was not synced; so a damaged frame with
//! sound ones behind it is damage, and one at the end is a tail that power loss tore.
//!
//! A rewrite makes a new file, syncs it, renames it over the old one and syncs the folder. Until the folder is synced
//! nothing is appended, since the name may still fall back to the old file.
#![forbid(unsafe_code)]

mod checksum;
mod disk;
mod error;
mod frame;
mod log;
#[cfg(feature = "simulated")]
pub mod simulated;

pub use checksum::crc32c;
pub use disk::{Directory, DirectoryFile, Disk, DiskFile};
pub use error::StoreError;
pub use log::{Log, Recovered, TornTail};
