//! HTTP/1.1 at the byte level, for both ends of a connection.
//!
//! The emulated servers truncate, duplicate and misattribute responses on purpose, and clients check for
//! surplus bytes after a response. A complete HTTP library prevents the former and hides the latter, so a
//! library (`httparse`) parses only heads.

mod connection;
mod error;
mod framing;
mod message;

pub use connection::{Connection, MAX_BODY_BYTES, MAX_HEAD_BYTES};
pub use error::WireError;
pub use framing::Framing;
pub use message::{Headers, Request, Response, chunk, reason};
