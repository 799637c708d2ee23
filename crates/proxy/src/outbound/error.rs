//! Why an exchange with a server brought no response.

use std::io;

/// The errors of Linux that mean a shortage on this machine: `ENOMEM`, `ENFILE`, `EMFILE`, `EADDRNOTAVAIL` and `ENOBUFS`.
const LOCAL_SHORTAGE_ERRNOS: [i32; 5] = [12, 23, 24, 99, 105];

/// Why an exchange brought no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No connection was established: the server is down or unreachable. Nothing was sent.
    #[error("no connection to the server")]
    Connect,
    /// Nothing was sent, through no fault of the server: it has been removed from the endpoint list, or there are too many
    /// connections, or too few resources on this machine.
    #[error("the exchange was aborted before anything was sent")]
    Aborted,
    /// The deadline passed before the complete request was sent.
    #[error("too late to send the request")]
    TooLate,
    /// The complete request was sent. Then the connection broke, or what was received is no response to the request.
    #[error("the connection broke before the response")]
    ConnectionBroken,
    /// The complete request was sent, or the server has begun to respond. Then the deadline passed.
    #[error("no response before the deadline")]
    Timeout,
}

impl ExchangeError {
    /// What a failed connect means: a shortage on this machine says nothing about the server.
    pub fn from_connect_error(error: &io::Error) -> ExchangeError {
        let is_local = error.raw_os_error().is_some_and(|errno| LOCAL_SHORTAGE_ERRNOS.contains(&errno));
        if is_local { ExchangeError::Aborted } else { ExchangeError::Connect }
    }
}
