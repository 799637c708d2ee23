//! The errors of a replica.

/// The error of a record that could not be decoded: the message of the decoder.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{0}")]
pub struct DecodeError(pub String);

/// The error of a replica that could not be recovered from its records.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum RecoverError {
    /// A record could not be decoded.
    #[error("record {index} of the log is not readable: {reason}")]
    Unreadable {
        /// The position of the record in the log, from 0.
        index: usize,
        /// The error of the decoder.
        reason: DecodeError,
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
