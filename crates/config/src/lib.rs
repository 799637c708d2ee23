//! The operator's configuration: routes, services and limits under one version number.
//!
//! [`Configuration::parse`] checks the bytes of a `PUT /config` against the schema file and then against all that a schema
//! can't say; [`ConfigurationPatch`] makes one of another. [`Configuration::trusted`] reads bytes that were checked before. [`RouteTable`] finds the route of a request.
#![forbid(unsafe_code)]

mod check;
mod model;
mod patch;
mod route_table;

pub use check::{ConfigFault, FaultKind};
pub use model::{Configuration, Engine, Limits, Route, RouteKind, Service, Split, VersionNumber};
pub use patch::ConfigurationPatch;
pub use route_table::RouteTable;

/// The schema file that every configuration is checked against.
pub const SCHEMA: &str = include_str!("../schema/configuration.schema.json");
/// The schema file that every change of named items is checked against.
pub const PATCH_SCHEMA: &str = include_str!("../schema/patch.schema.json");
