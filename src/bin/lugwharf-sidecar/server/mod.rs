//! The application's side: its connections, their requests to the driver and the answers back.

mod eviction;
mod listener;
mod service;
mod shutdown;

pub use listener::Server;
pub use shutdown::shutdown_time;

#[cfg(test)]
mod server_tests;
