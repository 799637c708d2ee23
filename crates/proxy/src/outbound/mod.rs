//! The server side: connections, the connection pool, and the exchange of one request for a response.

mod connection;
#[cfg(test)]
mod connection_tests;
mod error;
mod exchange;
#[cfg(test)]
mod exchange_tests;
#[cfg(test)]
pub mod fixtures;
mod pool;
#[cfg(test)]
mod pool_tests;
mod request;
#[cfg(test)]
mod request_tests;
mod request_writer;
#[cfg(test)]
mod request_writer_tests;
mod response;

pub use connection::Connection;
pub use error::ExchangeError;
pub use exchange::{ExchangeTerms, exchange};
pub use pool::ConnectionPool;
pub use request::{AttemptHeaders, MAX_PRIORITY, OutboundRequest};
pub use response::{MAX_UNMATCHED_BYTES, ServerResponse, discard_response};
