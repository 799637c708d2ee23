//! A change of named items (`PATCH /config`): routes and services that are added, replaced or removed by their names.
//!
//! The same patch on the same base leads to the same bytes in every process: a change that is computed twice is one change.

use crate::check::{ConfigFault, FaultKind, SchemaCheck};
use crate::{Configuration, PATCH_SCHEMA, VersionNumber};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::HashSet;

static PATCH_CHECK: SchemaCheck = SchemaCheck::of(PATCH_SCHEMA);

/// The lists of a configuration whose items have names.
const LISTS: [&str; 2] = ["Routes", "Services"];
/// The field that names an item.
const NAME: &str = "Name";

/// A change of named items, checked by itself.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct ConfigurationPatch {
    /// The number of the configuration that it leads to.
    pub version: VersionNumber,
    /// Items to add, or to replace by their names; by list.
    #[serde(default)]
    upsert: Map<String, Value>,
    /// Names of items to remove; by list.
    #[serde(default)]
    remove: Map<String, Value>,
}

impl ConfigurationPatch {
    /// Reads and checks the bytes of a patch. Whether its names are there is known only once it is applied.
    pub fn parse(bytes: &[u8]) -> Result<ConfigurationPatch, ConfigFault> {
        let value = PATCH_CHECK.parse(bytes)?;
        let patch: ConfigurationPatch = serde_json::from_value(value)
            .map_err(|error| ConfigFault::new(FaultKind::Schema, "", error.to_string()))?;
        for list in LISTS {
            patch.check_names(list)?;
        }
        Ok(patch)
    }

    /// The configuration, byte for byte, that this patch makes of `base`, which was checked before. The result is checked.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, ConfigFault> {
        let mut whole: Map<String, Value> = serde_json::from_slice(base)
            .map_err(|error| ConfigFault::new(FaultKind::NotJson, "", error.to_string()))?;
        whole.insert("Version".to_owned(), self.version.into());
        for list in LISTS {
            let items = whole.entry(list).or_insert_with(|| Value::Array(Vec::new()));
            if let Value::Array(items) = items {
                self.remove_items(list, items)?;
                self.upsert_items(list, items);
            }
        }
        let bytes = Value::Object(whole).to_string().into_bytes();
        Configuration::parse(&bytes)?;
        Ok(bytes)
    }

    /// No item may be named twice, whether it is to be removed or not.
    fn check_names(&self, list: &str) -> Result<(), ConfigFault> {
        let mut seen = HashSet::new();
        let upserts = self.upserts(list).iter().map(|item| ("Upsert", name_of(item)));
        let removals = self.removals(list).iter().map(|name| ("Remove", name.as_str()));
        for (part, name) in upserts.chain(removals) {
            if name.is_some_and(|name| !seen.insert(name)) {
                let reason = format!("{:?} is named twice", name.unwrap_or_default());
                return Err(ConfigFault::new(FaultKind::SameName, format!("/{part}/{list}"), reason));
            }
        }
        Ok(())
    }

    fn upserts(&self, list: &str) -> &[Value] {
        self.upsert.get(list).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }

    fn removals(&self, list: &str) -> &[Value] {
        self.remove.get(list).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }

    fn remove_items(&self, list: &str, items: &mut Vec<Value>) -> Result<(), ConfigFault> {
        for (index, name) in self.removals(list).iter().enumerate() {
            let before = items.len();
            items.retain(|item| item.get(NAME) != Some(name));
            if items.len() == before {
                let reason = format!("nothing is named {name}");
                let field = format!("/Remove/{list}/{index}");
                return Err(ConfigFault::new(FaultKind::UnknownName, field, reason));
            }
        }
        Ok(())
    }

    fn upsert_items(&self, list: &str, items: &mut Vec<Value>) {
        for item in self.upserts(list) {
            match items.iter_mut().find(|held| name_of(held).is_some() && name_of(held) == name_of(item)) {
                Some(held) => *held = item.clone(),
                None => items.push(item.clone()),
            }
        }
    }
}

fn name_of(item: &Value) -> Option<&str> {
    item.get(NAME).and_then(Value::as_str)
}
