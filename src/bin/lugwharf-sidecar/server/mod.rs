//! The server for the application: accepts its connections, passes their requests to the driver and returns
//! the answers.

mod eviction;
mod listener;
mod service;
mod shutdown;

pub use listener::Server;
pub use shutdown::shutdown_time;

#[cfg(test)]
mod server_tests;
