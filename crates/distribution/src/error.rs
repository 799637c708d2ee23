//! Why a table rejects what it is given.

use lugwharf_protocol::TablePosition;

/// A list was read under a fencing token that is no longer the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a listing of epoch {listing} after one of epoch {table}")]
pub struct StaleEpoch {
    /// The epoch of the list.
    pub listing: u64,
    /// The epoch of the table.
    pub table: u64,
}

/// Why a delta was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// An incremental delta for a table that holds nothing. Pull again with the default position, for a full one.
    #[error("differences up to {to:?} do not follow {have:?}")]
    Gap {
        /// The position of the table.
        have: TablePosition,
        /// The position to which the delta leads.
        to: TablePosition,
    },
}
