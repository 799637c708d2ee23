//! Errors of table updates.

use lugwharf_protocol::TablePosition;

/// The list was read under a fencing token that is no longer the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("server list of epoch {listing} is older than the server table, which has epoch {table}")]
pub struct StaleEpoch {
    /// The epoch of the list.
    pub listing: u64,
    /// The epoch of the table.
    pub table: u64,
}

/// The reason why a delta was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The delta is incremental, and the table may be missing changes that the delta does not contain. Pull
    /// again from the position of the table; if the delta has no base, from the default position, to get a
    /// full delta.
    #[error("incremental delta from {base:?} to {to:?} does not apply to a table at position {have:?}")]
    Gap {
        /// The position of the table.
        have: TablePosition,
        /// The position that the delta was computed for, if it states one.
        base: Option<TablePosition>,
        /// The position to which the delta leads.
        to: TablePosition,
    },
}
