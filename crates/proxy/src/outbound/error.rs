//! The errors of an exchange with a server.

use std::io;

/// The Linux error numbers that indicate resource exhaustion on this machine: `ENOMEM`, `ENFILE`, `EMFILE`,
/// `EADDRNOTAVAIL` and `ENOBUFS`.
const RESOURCE_EXHAUSTION_ERRNOS: [i32; 5] = [12, 23, 24, 99, 105];

/// Why an exchange with a server did not return a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No connection could be established, or a new connection broke before the complete request was sent:
    /// the server is down, unreachable or saturated. The request was not executed.
    #[error(
        "could not connect to the server, or a new connection broke before the complete request was sent"
    )]
    Connect,
    /// The complete request was not sent, for a reason that says nothing about the server's health: the
    /// server has been removed from the endpoint list, the limit on connections is reached, too many reused
    /// connections were stale, or resources on this machine are exhausted.
    #[error("the exchange was aborted before the complete request was sent")]
    Aborted,
    /// The deadline passed before the complete request was sent.
    #[error("the deadline passed before the complete request was sent")]
    TooLate,
    /// The complete request was sent, but then the connection broke, or the received bytes are not a response
    /// to the request.
    #[error("the connection broke after the complete request was sent")]
    ConnectionBroken,
    /// The complete request was sent, or the server had begun to respond, when the deadline passed.
    #[error("the deadline passed after the complete request was sent, or during the response")]
    Timeout,
}

impl ExchangeError {
    /// Converts the error of a failed connect. Resource exhaustion on this machine says nothing about the
    /// server's health.
    pub fn from_connect_error(error: &io::Error) -> ExchangeError {
        let is_exhausted_here =
            error.raw_os_error().is_some_and(|errno| RESOURCE_EXHAUSTION_ERRNOS.contains(&errno));
        if is_exhausted_here { ExchangeError::Aborted } else { ExchangeError::Connect }
    }
}
