//! Which monitors a front beats to, how many fronts live, and which peers to suspect.
//!
//! Sans I/O: times are [`std::time::Duration`]s since any fixed point of the caller's steady clock.
//!
//! A front picks its monitors, the control processes, by its place on a [`HashRing`]. Each monitor counts the fronts that
//! it has heard in a [`Census`] and tells the other monitors nothing but that count, so that what is sent between
//! monitors does not grow with the fronts.
#![forbid(unsafe_code)]

mod census;
mod detector;
mod ring;

pub use census::{Census, CensusSettings, MAX_NODES, MAX_PEERS};
pub use detector::{FailureDetector, FailureDetectorSettings};
pub use ring::{HashRing, POINTS_PER_MONITOR};
