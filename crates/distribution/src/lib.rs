//! The tables that are distributed to the data plane, and the updates that bring another process up to date.
//!
//! Sans I/O: a table is written from lists or updates, and answers a position with a delta. One process, the holder of the
//! list watcher's role, writes the server table. Every other process pulls it from a peer that is ahead and serves it in
//! turn: control process to control process, control process to agent, agent to proxy. A process pulls from one peer at a
//! time and applies the response before it pulls again; a delta is only sound under that order.
#![forbid(unsafe_code)]

mod error;
mod history;
mod server_table;
mod tables;

pub use error::{ApplyError, StaleEpoch};
pub use history::{MAX_EPOCH_CHANGES, MAX_TOMBSTONES, PROVISIONAL_EPOCH};
pub use server_table::ServerTable;
pub use tables::Tables;
