//! The simulator's wire format: decodes binary frames into records, and encodes actions into reply frames.
//!
//! A frame has a header, records of fixed size, and a tail of variable length, which records refer to by
//! offset and length. All numbers are little-endian. Times are milliseconds as 64-bit floats.

mod error;
mod fields;
mod frame;
mod record;
mod reply;

pub use error::WireError;
pub use frame::{Batch, read_batch};
pub use record::{DiscoveryUpdate, ListKind, MAX_LISTS, Record};
pub use reply::Reply;
