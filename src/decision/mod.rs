//! The decision logic. It turns events into actions, without I/O and without a clock.
//!
//! [`Balancer`] holds all state. Its methods are split over the files by concern:
//!
//! - `queue`: arrival, queueing and dispatch of requests
//! - `outcomes`: attempts in flight, and the processing of their outcomes
//! - `admission`: concurrency windows, and final answers without a server's answer
//! - `selection`, `slow_start`: the choice of a server
//! - `probing`: probing servers for their load before sending
//! - `outlier_ejection`: ejection of failing servers
//! - `server_list`: updates of the server list
//!
//! The other files define the data that these methods work on.
//!
//! Within the module, times are `f64` milliseconds, because averages and exponential decays are computed from
//! them; their names end in `_ms`. Points in time are measured from the caller's origin.

mod admission;
mod balancer;
mod concurrency_window;
#[cfg(test)]
mod latency_tests;
#[cfg(test)]
mod memory_tests;
mod outcome_history;
mod outcomes;
mod outlier_ejection;
mod probing;
mod queue;
mod request;
mod selection;
mod server;
mod server_list;
mod server_table;
mod slow_start;
mod statistics;
mod time;

pub use balancer::Balancer;
