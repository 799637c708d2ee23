//! The servers' side: connections, and one exchange of a request for an answer.

mod connection;
mod exchange;
#[cfg(test)]
mod exchange_tests;
#[cfg(test)]
pub mod fixtures;
mod outbound;
#[cfg(test)]
mod outbound_tests;
mod pool;
#[cfg(test)]
mod pool_tests;
mod writing;
#[cfg(test)]
mod writing_tests;

pub use connection::Connection;
pub use exchange::{Answered, Fault, MOST_SURPLUS, Terms, exchange, read_over};
pub use outbound::{Extra, Outbound};
pub use pool::Pool;
