//! All errors of the operator API, with the HTTP status and the name of each kind.
//!
//! `docs/DESIGN.md` contains the same table; a test compares the two. The name is also the `outcome` of a
//! rejected change in log lines (`config`), and the `kind` in `refusals_total`. The operator does not retry
//! after the statuses 400, 409, 412, 413 and 422, so a change that may have been accepted must not be
//! answered with one of them.

use lugwharf_config::ConfigError;
use serde::Serialize;

/// The reason why a request of the operator was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The configuration is invalid, independent of the current one.
    InvalidConfiguration,
    /// `If-Match` is missing or not a number.
    BadBase,
    /// Another version is current.
    Conflict,
    /// The version of the change is not higher than the current one.
    Outdated,
    /// The body or the resulting configuration exceeds the maximum size of a configuration.
    TooLarge,
    /// The body could not be read completely.
    Unreadable,
    /// There is no configuration yet.
    NoConfiguration,
    /// The control plane can't decide now; a change may or may not have been accepted. The operator may send
    /// the same request again.
    Unavailable,
    /// There is nothing at this path.
    NotFound,
    /// The path does not support this method.
    MethodNotAllowed,
}

impl ErrorKind {
    /// All kinds.
    pub const ALL: [ErrorKind; 10] = [
        ErrorKind::InvalidConfiguration,
        ErrorKind::BadBase,
        ErrorKind::Conflict,
        ErrorKind::Outdated,
        ErrorKind::TooLarge,
        ErrorKind::Unreadable,
        ErrorKind::NoConfiguration,
        ErrorKind::Unavailable,
        ErrorKind::NotFound,
        ErrorKind::MethodNotAllowed,
    ];

    /// Returns the HTTP status and the name of this kind.
    pub fn status_and_name(self) -> (u16, &'static str) {
        match self {
            ErrorKind::InvalidConfiguration => (400, "invalid_configuration"),
            ErrorKind::BadBase => (400, "bad_base"),
            ErrorKind::Unreadable => (400, "unreadable"),
            ErrorKind::NotFound => (404, "not_found"),
            ErrorKind::NoConfiguration => (404, "no_configuration"),
            ErrorKind::MethodNotAllowed => (405, "method_not_allowed"),
            ErrorKind::Outdated => (409, "outdated"),
            ErrorKind::Conflict => (412, "conflict"),
            ErrorKind::TooLarge => (413, "too_large"),
            ErrorKind::Unavailable => (503, "unavailable"),
        }
    }
}

/// The JSON body of an error response. The encoded names must not change.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ErrorBody {
    /// The name of the error kind.
    pub error: &'static str,
    /// The location of the error, as a JSON pointer or the name of a header.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// A description of the error.
    pub reason: String,
    /// The current version, if the error depends on it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub current: Option<u64>,
}

/// An error of the operator API with its response body.
#[derive(Debug)]
pub struct OperatorError {
    /// The kind of the error.
    pub kind: ErrorKind,
    /// The body of the response.
    pub body: ErrorBody,
}

impl OperatorError {
    /// Creates an error without a field.
    pub fn new(kind: ErrorKind, reason: impl Into<String>) -> OperatorError {
        let error = kind.status_and_name().1;
        OperatorError { kind, body: ErrorBody { error, field: None, reason: reason.into(), current: None } }
    }

    /// Creates the error for a control plane that can't decide now.
    pub fn unavailable() -> OperatorError {
        OperatorError::new(ErrorKind::Unavailable, "the core can't decide now")
    }

    /// Creates the error for a request that needs a configuration while there is none.
    pub fn no_configuration() -> OperatorError {
        OperatorError::new(ErrorKind::NoConfiguration, "there is none yet")
    }

    /// Sets the location of the error: a JSON pointer or the name of a header.
    pub fn with_field(mut self, field: impl Into<String>) -> OperatorError {
        self.body.field = Some(field.into());
        self
    }

    /// Sets the current version.
    pub fn with_current(mut self, current: u64) -> OperatorError {
        self.body.current = Some(current);
        self
    }
}

impl From<ConfigError> for OperatorError {
    fn from(error: ConfigError) -> OperatorError {
        OperatorError::new(ErrorKind::InvalidConfiguration, error.reason).with_field(error.field)
    }
}
