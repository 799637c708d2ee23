//! Counts the live front-end nodes, and finds the monitors that a node reports to and the peers to suspect.
//!
//! Sans I/O: times are [`std::time::Duration`]s since any fixed point of the caller's steady clock.
//!
//! The control processes are the monitors. A node finds its monitors by its place on a [`HashRing`] and sends them
//! heartbeats. Each monitor counts the nodes that send it heartbeats in a [`LiveNodeCounter`] and reports nothing but that count to
//! the other monitors, so that the traffic between monitors does not grow with the number of nodes.
#![forbid(unsafe_code)]

mod failure_detector;
mod hash_ring;
mod live_nodes;

pub use failure_detector::{FailureDetector, FailureDetectorSettings};
pub use hash_ring::{HashRing, POINTS_PER_MONITOR};
pub use live_nodes::{LiveNodeCounter, LiveNodeCounterSettings, MAX_NODES, MAX_PEERS};
