//! The client side: connections, requests, and responses.

pub mod body_reservation;
pub mod connection;
pub mod connections;
#[cfg(test)]
mod connections_tests;
pub mod error_response;
pub mod idle_deadline;
pub mod listener;
pub mod request;
pub mod request_reader;
pub mod response_writer;
