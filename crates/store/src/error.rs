//! Errors of the log.

use std::io;

/// The reason why the log could not be opened, appended to or rewritten.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file system operation failed.
    #[error("file system operation failed: {0}")]
    Io(#[from] io::Error),
    /// Synced records can no longer be read: valid frames follow an invalid one.
    #[error("log is corrupt: invalid frame at byte {offset} is followed by valid frames")]
    Corrupt {
        /// The offset of the invalid frame.
        offset: u64,
    },
    /// The file does not start with a valid header of a known format version.
    #[error("log file has no valid header of a known format version")]
    UnknownFormat,
    /// The rename of a rewrite failed, so the file name may refer to either the old or the new file. The log
    /// must be rewritten or reopened before the next append.
    #[error("log must be rewritten or reopened after a failed rename")]
    Poisoned,
    /// The records of one append exceed the maximum frame length (64 MiB).
    #[error("append of {bytes} bytes exceeds the maximum frame length of 64 MiB")]
    TooLong {
        /// The total length of the records as framed, in bytes.
        bytes: usize,
    },
}
