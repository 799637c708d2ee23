//! What can go wrong with a log.

use std::io;

/// Why the log could not be opened, written or rewritten.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file system refused.
    #[error("the file system refused: {0}")]
    Io(#[from] io::Error),
    /// Records that were synced are not readable any more.
    #[error("the log is damaged at byte {offset}: sound records follow")]
    Corrupt {
        /// Where the damage begins.
        offset: u64,
    },
    /// The file is no log of this version.
    #[error("the file is no log of a known version")]
    UnknownFormat,
    /// A rewrite failed at its renaming, so the name may stand for either file. Rewrite or reopen.
    #[error("the log must be rewritten or reopened first")]
    Poisoned,
    /// The records of one append are too long for a frame.
    #[error("{bytes} bytes are too many for one append")]
    TooLong {
        /// Their length together.
        bytes: usize,
    },
}
