//! The closed list of errors of the operator's API, with the status and the name of each kind.
//!
//! `docs/DESIGN.md` shows the same table; a test compares the two. The name is also the `outcome` of the rejected change in the
//! log (`config`), and the `kind` in `refusals_total`. Statuses 400, 409, 412, 413 and 422 end a request for good, so a change
//! that may have been accepted must not get one.

use lugwharf_config::ConfigError;
use serde::Serialize;

/// Why a request of the operator was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The configuration is invalid by itself.
    InvalidConfiguration,
    /// `If-Match` is missing or no number.
    BadBase,
    /// Another version is current.
    Conflict,
    /// The version's number is not above the current one.
    Outdated,
    /// The body is longer than any configuration may be.
    TooLarge,
    /// The body could not be read completely.
    Unreadable,
    /// There is no configuration yet.
    NoConfiguration,
    /// The control plane can't decide now; nothing is promised. The operator may send the same request again.
    Unavailable,
    /// There is nothing at this path.
    NotFound,
    /// The path does not take this method.
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

    /// The HTTP status and the name of this kind.
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

/// The JSON body of an error. Encoded names are fixed.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ErrorBody {
    /// The name of the kind.
    pub error: &'static str,
    /// What is at fault, as a JSON pointer or the name of a header.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// What is wrong.
    pub reason: String,
    /// The current version, where it matters.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub current: Option<u64>,
}

/// An error with the body of its response.
#[derive(Debug)]
pub struct OperatorError {
    /// Its kind.
    pub kind: ErrorKind,
    /// The body of the response.
    pub body: ErrorBody,
}

impl OperatorError {
    /// An error without a field.
    pub fn new(kind: ErrorKind, reason: impl Into<String>) -> OperatorError {
        let error = kind.status_and_name().1;
        OperatorError { kind, body: ErrorBody { error, field: None, reason: reason.into(), current: None } }
    }

    /// The control plane can't decide now.
    pub fn unavailable() -> OperatorError {
        OperatorError::new(ErrorKind::Unavailable, "the core can't decide now")
    }

    /// There is no configuration yet.
    pub fn no_configuration() -> OperatorError {
        OperatorError::new(ErrorKind::NoConfiguration, "there is none yet")
    }

    /// Names the field at fault.
    pub fn at(mut self, field: impl Into<String>) -> OperatorError {
        self.body.field = Some(field.into());
        self
    }

    /// Names the current version.
    pub fn with_current(mut self, current: u64) -> OperatorError {
        self.body.current = Some(current);
        self
    }
}

impl From<ConfigError> for OperatorError {
    fn from(error: ConfigError) -> OperatorError {
        OperatorError::new(ErrorKind::InvalidConfiguration, error.reason).at(error.field)
    }
}
