//! The check of a configuration that an operator sent: first the schema, then what a schema can't say.

use crate::{Configuration, Route, SCHEMA};
use jsonschema::Validator;
use serde_json::Value;
use std::collections::HashSet;
use std::sync::OnceLock;

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The bytes are not JSON.
    NotJson,
    /// A field is missing or has the wrong type.
    Schema,
    /// A route names a service that is not there.
    UnknownService,
    /// Two routes share host and prefix.
    SamePlace,
    /// A route's weights add up to nothing.
    NoWeight,
    /// A route has no time.
    NoTimeout,
    /// A prefix does not begin and end with a slash.
    BadPrefix,
    /// A name stands twice.
    SameName,
    /// An item that is to be removed is not there.
    UnknownName,
}

/// What is wrong with a configuration, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct ConfigFault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// The place, as a JSON pointer; empty for the whole text.
    pub field: String,
    /// What is wrong there.
    pub reason: String,
}

impl ConfigFault {
    pub(crate) fn new(kind: FaultKind, field: impl Into<String>, reason: impl Into<String>) -> Self {
        ConfigFault { kind, field: field.into(), reason: reason.into() }
    }
}

/// A check of JSON text against a schema, which is compiled once, at its first use.
pub(crate) struct SchemaCheck {
    schema: &'static str,
    validator: OnceLock<Option<Validator>>,
}

impl SchemaCheck {
    pub(crate) const fn of(schema: &'static str) -> SchemaCheck {
        SchemaCheck { schema, validator: OnceLock::new() }
    }

    fn validator(&self) -> Option<&Validator> {
        let compile = || {
            let schema: Value = serde_json::from_str(self.schema).ok()?;
            jsonschema::validator_for(&schema).ok()
        };
        self.validator.get_or_init(compile).as_ref()
    }

    /// Reads JSON text that keeps to the schema; the fault names the first place that does not.
    pub(crate) fn parse(&self, bytes: &[u8]) -> Result<Value, ConfigFault> {
        let value: Value = serde_json::from_slice(bytes)
            .map_err(|error| ConfigFault::new(FaultKind::NotJson, "", error.to_string()))?;
        let validator = self.validator();
        let validator =
            validator.ok_or_else(|| ConfigFault::new(FaultKind::Schema, "", "the schema can't be read"))?;
        if let Some(error) = validator.iter_errors(&value).next() {
            let field = error.instance_path().to_string();
            return Err(ConfigFault::new(FaultKind::Schema, field, error.to_string()));
        }
        Ok(value)
    }
}

static CONFIGURATION_CHECK: SchemaCheck = SchemaCheck::of(SCHEMA);

impl Configuration {
    /// Reads and checks the bytes of a configuration.
    pub fn parse(bytes: &[u8]) -> Result<Configuration, ConfigFault> {
        let value = CONFIGURATION_CHECK.parse(bytes)?;
        let configuration: Configuration = serde_json::from_value(value)
            .map_err(|e| ConfigFault::new(FaultKind::Schema, "", e.to_string()))?;
        configuration.check()?;
        Ok(configuration)
    }

    fn check(&self) -> Result<(), ConfigFault> {
        let mut services = HashSet::new();
        for (index, service) in self.services.iter().enumerate() {
            if !services.insert(service.name.as_str()) {
                let field = format!("/Services/{index}/Name");
                return Err(ConfigFault::new(FaultKind::SameName, field, "another service has this name"));
            }
        }
        let mut places = HashSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            check_route(route, index, &services)?;
            if !places.insert((route.host.to_ascii_lowercase(), route.path_prefix.as_str())) {
                let field = format!("/Routes/{index}/PathPrefix");
                return Err(ConfigFault::new(
                    FaultKind::SamePlace,
                    field,
                    "another route has this host and prefix",
                ));
            }
        }
        Ok(())
    }
}

fn check_route(route: &Route, index: usize, services: &HashSet<&str>) -> Result<(), ConfigFault> {
    let at = |name: &str| format!("/Routes/{index}/{name}");
    if !(route.timeout_ms.is_finite() && route.timeout_ms > 0.0) {
        return Err(ConfigFault::new(FaultKind::NoTimeout, at("TimeoutMs"), "must be above 0"));
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(ConfigFault::new(
            FaultKind::BadPrefix,
            at("PathPrefix"),
            "must begin and end with a slash",
        ));
    }
    if let Some((name, _)) = route.targets().find(|(name, _)| !services.contains(name)) {
        let reason = format!("no service is named {name:?}");
        return Err(ConfigFault::new(FaultKind::UnknownService, at("Service"), reason));
    }
    let weight: f64 = route.targets().map(|(_, weight)| weight).sum();
    if !(weight.is_finite() && weight > 0.0) {
        return Err(ConfigFault::new(FaultKind::NoWeight, at("TrafficSplit"), "the weights add up to 0"));
    }
    Ok(())
}
