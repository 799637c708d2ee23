//! The errors of a replica.

/// The error of a replica that could not be recovered from its records.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum RecoverError {
    /// A record could not be decoded.
    #[error("record {index} of the log is not readable: {reason}")]
    Unreadable {
        /// The position of the record in the log, from 0.
        index: usize,
        /// The decoder's message.
        reason: String,
    },
    /// The first record is not an identity.
    #[error("the log has records but names no disk")]
    NoIdentity,
    /// The history on disk has a gap.
    #[error("the history has a gap at entry {index}")]
    Gap {
        /// The index of the missing entry.
        index: u64,
    },
}
