//! The servers' side: connections, and one exchange of a request for an answer.

mod connection;
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

pub use connection::Connection;
pub use exchange::{
    ExchangeError, ExchangeTerms, MAX_STRAY_BYTES, ServerResponse, discard_response, exchange,
};
pub use pool::ConnectionPool;
pub use request::{AttemptHeaders, OutboundRequest};
