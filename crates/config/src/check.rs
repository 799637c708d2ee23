//! Validation of a configuration from the operator: first against the schema, then against the rules that a
//! schema cannot express.

use crate::{Configuration, Route, SCHEMA, unique_names};
use jsonschema::Validator;
use serde_json::Value;
use std::collections::HashSet;
use std::sync::OnceLock;

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

/// A JSON schema that is compiled once, on first use.
pub(crate) struct LazySchema {
    schema: &'static str,
    validator: OnceLock<Option<Validator>>,
}

impl LazySchema {
    pub(crate) const fn new(schema: &'static str) -> LazySchema {
        LazySchema { schema, validator: OnceLock::new() }
    }

    fn validator(&self) -> Option<&Validator> {
        let compile = || {
            let schema: Value = serde_json::from_str(self.schema).ok()?;
            jsonschema::validator_for(&schema).ok()
        };
        self.validator.get_or_init(compile).as_ref()
    }

    /// Parses JSON text and validates it against the schema. The error names the first location that does not
    /// match.
    pub(crate) fn parse(&self, bytes: &[u8]) -> Result<Value, ConfigError> {
        let value = unique_names::parse(bytes)?;
        let validator = self.validator();
        let validator = validator
            .ok_or_else(|| ConfigError::new(ConfigErrorKind::Schema, "", "the schema can't be read"))?;
        if let Some(error) = validator.iter_errors(&value).next() {
            let field = error.instance_path().to_string();
            return Err(ConfigError::new(ConfigErrorKind::Schema, field, error.to_string()));
        }
        Ok(value)
    }
}

static CONFIGURATION_SCHEMA: LazySchema = LazySchema::new(SCHEMA);

impl Configuration {
    /// Parses and validates the JSON text of a configuration. The result is what
    /// [`Configuration::parse_unchecked`] returns for the same text, so that every reader of a configuration
    /// that was accepted gets the value that was validated.
    pub fn parse(bytes: &[u8]) -> Result<Configuration, ConfigError> {
        CONFIGURATION_SCHEMA.parse(bytes)?;
        let configuration = Configuration::parse_unchecked(bytes)
            .map_err(|error| ConfigError::new(ConfigErrorKind::Schema, "", error.to_string()))?;
        configuration.validate()?;
        Ok(configuration)
    }

    /// Checks the rules that the schema cannot express.
    fn validate(&self) -> Result<(), ConfigError> {
        let mut service_names = HashSet::new();
        for (index, service) in self.services.iter().enumerate() {
            if !service_names.insert(service.name.as_str()) {
                let field = format!("/Services/{index}/Name");
                return Err(ConfigError::new(
                    ConfigErrorKind::DuplicateName,
                    field,
                    "another service has this name",
                ));
            }
        }
        let mut hosts_and_prefixes = HashSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            validate_route(route, index, &service_names)?;
            if !hosts_and_prefixes.insert((route.host.to_ascii_lowercase(), route.path_prefix.as_str())) {
                let field = format!("/Routes/{index}/PathPrefix");
                return Err(ConfigError::new(
                    ConfigErrorKind::DuplicateRoute,
                    field,
                    "another route has this host and prefix",
                ));
            }
        }
        Ok(())
    }
}

fn validate_route(route: &Route, index: usize, service_names: &HashSet<&str>) -> Result<(), ConfigError> {
    let pointer_to = |name: &str| format!("/Routes/{index}/{name}");
    if !(route.timeout_ms.is_finite() && route.timeout_ms > 0.0) {
        return Err(ConfigError::new(
            ConfigErrorKind::ZeroTimeout,
            pointer_to("TimeoutMs"),
            "must be above 0",
        ));
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(ConfigError::new(
            ConfigErrorKind::InvalidPrefix,
            pointer_to("PathPrefix"),
            "must begin and end with a slash",
        ));
    }
    if let Some(target) = route.targets().find(|target| !service_names.contains(target.service)) {
        let reason = format!("no service is named {:?}", target.service);
        return Err(ConfigError::new(ConfigErrorKind::UnknownService, pointer_to("Service"), reason));
    }
    let weight: f64 = route.targets().map(|target| target.weight).sum();
    if !(weight.is_finite() && weight > 0.0) {
        return Err(ConfigError::new(
            ConfigErrorKind::ZeroWeight,
            pointer_to("TrafficSplit"),
            "the weights add up to 0",
        ));
    }
    Ok(())
}
