//! Tables distributed to the data plane, and the updates that bring other processes up to date.
//!
//! This crate does no I/O: a table is written from lists or updates, and returns a delta for a given
//! position. One process, the holder of the list watcher's role, writes the server table. Every other process
//! pulls the table from a peer that is ahead and serves it in turn: control process to control process,
//! control process to agent, agent to proxy. The writer also sends each change to its peers unasked. An
//! incremental delta states the position that it was computed for and is applied only to a table that lacks
//! nothing else, so updates may be lost, repeated and reordered.
#![forbid(unsafe_code)]

mod content_digest;
mod error;
mod history;
mod server_table;
mod tables;

pub use error::{ApplyError, StaleEpoch};
pub use history::{MAX_EPOCH_CHANGES, MAX_TOMBSTONES, PROVISIONAL_EPOCH};
pub use server_table::ServerTable;
pub use tables::Tables;
