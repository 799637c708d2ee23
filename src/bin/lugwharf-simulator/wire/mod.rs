//! The simulator's wire: binary frames into records, and actions into reply frames. Nothing is decided here.
//!
//! A frame is a header, fixed-size records, and a tail of variable length that records refer to by offset and length. All
//! numbers are little-endian; times are milliseconds as 64-bit floats.

mod error;
mod fields;
mod frame;
mod record;
mod reply;

pub use error::WireError;
pub use frame::{Batch, read_batch};
pub use record::{DiscoveryUpdate, LIST_NUMBERS, ListKind, Record};
pub use reply::Reply;
