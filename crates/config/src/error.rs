//! Why a configuration or a patch is invalid.

/// The kind of error in a configuration or a patch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigErrorKind {
    /// The bytes are not JSON.
    NotJson,
    /// An object has a name twice, so that its value is ambiguous.
    DuplicateField,
    /// The text does not match the schema: a field is missing or has a wrong type or value.
    Schema,
    /// A route refers to a service that does not exist.
    UnknownService,
    /// Two routes have the same host and prefix.
    DuplicateRoute,
    /// The weights of a route do not add up to a finite number above 0.
    ZeroWeight,
    /// The timeout of a route is not a finite number above 0.
    ZeroTimeout,
    /// A path prefix does not begin and end with a slash.
    InvalidPrefix,
    /// Two services have the same name, or a patch names an item twice.
    DuplicateName,
    /// A patch removes an item that does not exist.
    UnknownName,
}

/// Why a configuration or a patch is invalid, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct ConfigError {
    /// The kind of error.
    pub kind: ConfigErrorKind,
    /// The location of the error, as a JSON pointer (RFC 6901); empty for the complete text.
    pub field: String,
    /// The description of the error, for the operator.
    pub reason: String,
}

impl ConfigError {
    pub(crate) fn new(kind: ConfigErrorKind, field: impl Into<String>, reason: impl Into<String>) -> Self {
        ConfigError { kind, field: field.into(), reason: reason.into() }
    }
}
