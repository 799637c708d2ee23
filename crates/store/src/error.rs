//! The errors of a log.

use std::io;

/// Why the log could not be opened, appended to or rewritten.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// An operation of the file system failed.
    #[error("the file system refused: {0}")]
    Io(#[from] io::Error),
    /// Records that were synced can't be read any more: an invalid frame has valid ones after it.
    #[error("the log is damaged at byte {offset}: sound records follow")]
    Corrupt {
        /// The offset of the invalid frame.
        offset: u64,
    },
    /// The file has no valid header of a known version.
    #[error("the file is no log of a known version")]
    UnknownFormat,
    /// The rename of a rewrite failed, so the name may refer to either file. A rewrite or a new opening is needed.
    #[error("the log must be rewritten or reopened first")]
    Poisoned,
    /// The records of one append are longer than a frame may be (64 MiB).
    #[error("{bytes} bytes are too many for one append")]
    TooLong {
        /// Their length together, as framed.
        bytes: usize,
    },
}
