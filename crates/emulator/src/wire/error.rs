//! Errors of reading a message from a connection.

use std::io;

/// Why a message could not be read.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Broken(#[from] io::Error),
    /// The connection was closed before the message was complete.
    #[error("connection closed before the message was complete")]
    EndedEarly,
    /// The bytes are not a valid HTTP/1.1 message, for the given reason.
    #[error("invalid HTTP/1.1 message: {0}")]
    Malformed(&'static str),
    /// A head is larger than [`super::MAX_HEAD_BYTES`], or a body or chunk is larger than
    /// [`super::MAX_BODY_BYTES`].
    #[error("message exceeds the size limit: 64 KiB for a head, 16 MiB for a body or chunk")]
    TooLong,
}
