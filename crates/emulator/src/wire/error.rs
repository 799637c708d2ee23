//! Why no message could be read from a connection.

use std::io;

/// Why no message could be read.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(#[from] io::Error),
    /// The connection ended inside a message.
    #[error("the connection ended inside a message")]
    EndedEarly,
    /// The bytes are no HTTP/1.1 message; says what is wrong with them.
    #[error("no message: {0}")]
    Malformed(&'static str),
    /// A head or body is over [`super::MAX_HEAD_BYTES`] or [`super::MAX_BODY_BYTES`].
    #[error("a message is too long")]
    TooLong,
}
