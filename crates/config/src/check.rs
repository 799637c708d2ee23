//! Validation of a configuration from the operator: first against the schema, then against the rules that a
//! schema cannot express.

use crate::error::{ConfigError, ConfigErrorKind};
use crate::schema::LazySchema;
use crate::{Configuration, Route, SCHEMA};
use std::collections::HashSet;

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
