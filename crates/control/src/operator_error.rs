//! The closed list of errors of the operator's API and the table from kind to answer.

use lugwharf_config::ConfigError;
use serde::Serialize;

/// Everything that can go wrong with a call of the operator.
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
    /// The body could not be read whole.
    Unreadable,
    /// There is no configuration yet.
    NoConfiguration,
    /// The core can't decide now; nothing is promised.
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

    /// The table from kind to status and name.
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

/// The JSON body of an error.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ErrorBody {
    /// The name of the kind.
    pub error: &'static str,
    /// The place at fault, as a JSON pointer or a header's name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// What is wrong.
    pub reason: String,
    /// The current version, where it matters.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub current: Option<u64>,
}

/// An error on its way to the operator.
#[derive(Debug)]
pub struct OperatorError {
    /// Its kind.
    pub kind: ErrorKind,
    /// What is said of it.
    pub body: ErrorBody,
}

impl OperatorError {
    /// An error without a place.
    pub fn new(kind: ErrorKind, reason: impl Into<String>) -> OperatorError {
        let error = kind.status_and_name().1;
        OperatorError { kind, body: ErrorBody { error, field: None, reason: reason.into(), current: None } }
    }

    /// Adds the place at fault.
    pub fn at(mut self, field: impl Into<String>) -> OperatorError {
        self.body.field = Some(field.into());
        self
    }

    /// Adds the current version.
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
