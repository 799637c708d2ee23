//! The clients' side: connections, requests, and responses to them.

pub mod connection;
pub mod connections;
pub mod error_response;
pub mod listener;
pub mod request;
pub mod request_reader;
pub mod response_writer;
