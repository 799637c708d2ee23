//! Validation of JSON text against a schema.

use crate::error::{ConfigError, ConfigErrorKind};
use crate::unique_names;
use jsonschema::Validator;
use serde_json::Value;
use std::sync::OnceLock;

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
