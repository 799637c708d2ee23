//! The decisions: events in, actions out, without I/O and without a clock.
//!
//! [`Balancer`] holds all state. Its methods are spread over the files by concern:
//!
//! - `queue`: arrival, waiting, dispatch
//! - `outcomes`: attempts in flight, and what their end means
//! - `admission`: concurrency windows, final answers
//! - `selection`, `slow_start`: which server a request goes to
//! - `probing`: asking servers for their load first
//! - `outlier_ejection`: servers that fail
//! - `server_list`: updates of the list
//!
//! The other files hold the data that these work on.
//!
//! Inside the module times are `f64` milliseconds, since they enter averages and decays; names that hold one end in
//! `_ms`. A point in time is measured from the caller's origin.

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
