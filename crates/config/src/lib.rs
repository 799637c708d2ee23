//! The operator's configuration: routes, services and limits under one version.
//!
//! [`Configuration::parse`] validates the body of a `PUT /config` request against the schema and against the
//! rules that a schema cannot express. [`Configuration::parse_unchecked`] parses text that was validated
//! before. [`ConfigurationPatch`] derives a configuration from another one (`PATCH /config`). [`RouteTable`]
//! finds the route of a request.
#![forbid(unsafe_code)]

mod check;
mod error;
mod model;
mod patch;
mod route_table;
mod schema;
mod unique_names;

pub use error::{ConfigError, ConfigErrorKind};
pub use model::{
    Configuration, Engine, Limits, Route, RouteKind, RouteTarget, Service, VersionNumber, WeightedService,
};
pub use patch::ConfigurationPatch;
pub use route_table::RouteTable;

/// The JSON schema of configurations.
pub const SCHEMA: &str = include_str!("../schema/configuration.schema.json");
/// The JSON schema of patches.
pub const PATCH_SCHEMA: &str = include_str!("../schema/patch.schema.json");
