//! The errors of reading frames.

use std::io;

/// A frame that cannot be read. No further frame can be read after it.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The input could not be read.
    #[error("reading the input failed: {0}")]
    Input(#[from] io::Error),
    /// The input ended inside a frame.
    #[error("the input ends inside a frame: {got} of {wanted} bytes")]
    Truncated {
        /// The bytes that were read.
        got: usize,
        /// The announced bytes.
        wanted: usize,
    },
    /// The records do not fit into the frame.
    #[error("a frame of {len} bytes cannot hold {records} records")]
    Records {
        /// The announced length.
        len: usize,
        /// The announced number of records.
        records: u32,
    },
    /// A record refers to bytes past the end of the tail.
    #[error("{what} at {offset} for {len} reaches beyond a tail of {tail} bytes")]
    Tail {
        /// The name of the field.
        what: &'static str,
        /// The offset of the reference.
        offset: u32,
        /// The length of the reference, in the unit of the field.
        len: u32,
        /// The length of the tail.
        tail: usize,
    },
    /// A field has a code without a meaning.
    #[error("{what} {code} is unknown")]
    Code {
        /// The name of the field.
        what: &'static str,
        /// The value of the field.
        code: u32,
    },
    /// The clock reading of a frame is not a valid time.
    #[error("the clock reads {0}")]
    Clock(f64),
    /// The settings of an instance are not UTF-8.
    #[error("the settings of instance {0} are not UTF-8")]
    Text(u32),
}
