//! The errors of a replica.

/// The message of the decoder for a record that could not be decoded.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{0}")]
pub struct DecodeError(pub String);

/// The reason why a replica could not be recovered from its log.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum RecoverError {
    /// A record could not be decoded.
    #[error("cannot decode log record {index}: {reason}")]
    Unreadable {
        /// The position of the record in the log, from 0.
        index: usize,
        /// The error of the decoder.
        reason: DecodeError,
    },
    /// The first record is not an identity record.
    #[error("the first log record is not an identity record")]
    NoIdentity,
    /// The records of the log leave a gap in the history.
    #[error("log records leave a gap in the history at entry {index}")]
    Gap {
        /// The index of the entry after which the gap was found, or of the entry that does not follow its
        /// predecessor.
        index: u64,
    },
}
