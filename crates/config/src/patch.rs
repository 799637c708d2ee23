//! A patch of named items (`PATCH /config`): routes and services are added, replaced or removed by name.
//!
//! Applying a patch is deterministic: the same patch on the same base gives the same bytes in every process.
//! Processes that independently apply a patch to the same base therefore propose the same configuration.

use crate::error::{ConfigError, ConfigErrorKind};
use crate::schema::LazySchema;
use crate::{Configuration, PATCH_SCHEMA, VersionNumber};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::HashSet;

static COMPILED_PATCH_SCHEMA: LazySchema = LazySchema::new(PATCH_SCHEMA);

/// The lists of a configuration that a patch can change. Their items have names.
const PATCHABLE_LISTS: [&str; 2] = ["Routes", "Services"];
/// The field that contains the name of an item.
const NAME_FIELD: &str = "Name";

/// A valid patch. [`ConfigurationPatch::apply`] checks whether the patch can be applied to a base.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct ConfigurationPatch {
    /// The version of the resulting configuration.
    pub version: VersionNumber,
    /// For each list: the items to add, or to replace by name.
    #[serde(default)]
    upsert: Map<String, Value>,
    /// For each list: the names of the items to remove.
    #[serde(default)]
    remove: Map<String, Value>,
}

impl ConfigurationPatch {
    /// Parses and validates the JSON text of a patch. Whether the names to remove exist is checked when the
    /// patch is applied.
    pub fn parse(bytes: &[u8]) -> Result<ConfigurationPatch, ConfigError> {
        let value = COMPILED_PATCH_SCHEMA.parse(bytes)?;
        let patch: ConfigurationPatch = serde_json::from_value(value)
            .map_err(|error| ConfigError::new(ConfigErrorKind::Schema, "", error.to_string()))?;
        for list in PATCHABLE_LISTS {
            patch.check_names(list)?;
        }
        Ok(patch)
    }

    /// Applies the patch to `base`, the JSON text of a valid configuration. Returns the JSON text of the
    /// resulting configuration, which is validated.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, ConfigError> {
        let mut configuration: Map<String, Value> = serde_json::from_slice(base)
            .map_err(|error| ConfigError::new(ConfigErrorKind::NotJson, "", error.to_string()))?;
        configuration.insert("Version".to_owned(), self.version.into());
        for list in PATCHABLE_LISTS {
            let items = configuration.entry(list).or_insert_with(|| Value::Array(Vec::new()));
            if let Value::Array(items) = items {
                self.remove_items(list, items)?;
                self.upsert_items(list, items);
            }
        }
        let bytes = Value::Object(configuration).to_string().into_bytes();
        Configuration::parse(&bytes)?;
        Ok(bytes)
    }

    /// Checks that the patch names no item of a list twice, among upserts and removals together.
    fn check_names(&self, list: &str) -> Result<(), ConfigError> {
        let mut seen = HashSet::new();
        let upserts = self.upserts(list).iter().map(|item| ("Upsert", name_of(item)));
        let removals = self.removals(list).iter().map(|name| ("Remove", name.as_str()));
        for (operation, name) in upserts.chain(removals) {
            if name.is_some_and(|name| !seen.insert(name)) {
                let reason = format!("{:?} is named twice", name.unwrap_or_default());
                return Err(ConfigError::new(
                    ConfigErrorKind::DuplicateName,
                    format!("/{operation}/{list}"),
                    reason,
                ));
            }
        }
        Ok(())
    }

    /// The items of a list to add or replace.
    fn upserts(&self, list: &str) -> &[Value] {
        self.upsert.get(list).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }

    /// The names of the items of a list to remove.
    fn removals(&self, list: &str) -> &[Value] {
        self.remove.get(list).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }

    fn remove_items(&self, list: &str, items: &mut Vec<Value>) -> Result<(), ConfigError> {
        for (index, name) in self.removals(list).iter().enumerate() {
            let before = items.len();
            items.retain(|item| item.get(NAME_FIELD) != Some(name));
            if items.len() == before {
                let reason = format!("nothing is named {name}");
                let field = format!("/Remove/{list}/{index}");
                return Err(ConfigError::new(ConfigErrorKind::UnknownName, field, reason));
            }
        }
        Ok(())
    }

    fn upsert_items(&self, list: &str, items: &mut Vec<Value>) {
        for item in self.upserts(list) {
            match items
                .iter_mut()
                .find(|present| name_of(present).is_some() && name_of(present) == name_of(item))
            {
                Some(present) => *present = item.clone(),
                None => items.push(item.clone()),
            }
        }
    }
}

fn name_of(item: &Value) -> Option<&str> {
    item.get(NAME_FIELD).and_then(Value::as_str)
}
