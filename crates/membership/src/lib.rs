//! Counts the live front-end nodes, assigns each node to monitors, and detects failed peers.
//!
//! This crate does no I/O: times are [`std::time::Duration`]s since an arbitrary fixed point of the caller's
//! monotonic clock.
//!
//! The control processes are the monitors. A node finds its monitors by its position on a [`HashRing`] and
//! sends them heartbeats. Each monitor counts the nodes that send it heartbeats with a [`LiveNodeCounter`],
//! and reports only that count to the other monitors, so that the traffic between monitors does not grow with
//! the number of nodes.
#![forbid(unsafe_code)]

mod failure_detector;
mod hash_ring;
mod live_nodes;

pub use failure_detector::{FailureDetector, FailureDetectorSettings};
pub use hash_ring::{HashRing, POINTS_PER_MONITOR};
pub use live_nodes::{LiveNodeCounter, LiveNodeCounterSettings, MAX_NODES, MAX_PEERS};
