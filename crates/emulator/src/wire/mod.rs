//! HTTP/1.1 down to its bytes.
//!
//! The stand-ins break off, repeat and misplace answers on purpose, and check what stands behind a response. An HTTP library
//! prevents the one and hides the other, so only the heads are parsed by a library here.

mod body;
mod connection;
mod message;

pub use body::Framing;
pub use connection::{Connection, MAX_BODY_BYTES, MAX_HEAD_BYTES, WireError};
pub use message::{Headers, Request, Response, chunk, reason};
