//! Parsing of JSON text in which no object has a name twice.
//!
//! JSON leaves open what such an object means (RFC 8259, section 4), and parsers differ: one takes the last
//! value, another rejects the text.

use crate::error::{ConfigError, ConfigErrorKind};
use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::cell::RefCell;
use std::fmt;

/// Parses JSON text.
///
/// # Errors
/// [`ConfigErrorKind::DuplicateField`] with the place of a name that its object has twice, or
/// [`ConfigErrorKind::NotJson`].
pub(crate) fn parse(bytes: &[u8]) -> Result<Value, ConfigError> {
    let duplicate = RefCell::default();
    let seed = UniqueNames { path: Path::Root, duplicate: &duplicate };
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let parsed = seed.deserialize(&mut deserializer).and_then(|value| deserializer.end().map(|()| value));
    parsed.map_err(|error| match duplicate.take() {
        Some(field) => ConfigError::new(ConfigErrorKind::DuplicateField, field, DUPLICATE_REASON),
        None => ConfigError::new(ConfigErrorKind::NotJson, "", error.to_string()),
    })
}

const DUPLICATE_REASON: &str = "the object has this name twice";

/// The place of a value in the text, as a list from the value to the root.
enum Path<'a> {
    Root,
    Name(&'a Path<'a>, &'a str),
    Index(&'a Path<'a>, usize),
}

/// Formats the path as a JSON pointer (RFC 6901).
impl fmt::Display for Path<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Path::Root => Ok(()),
            Path::Name(parent, name) => {
                write!(f, "{parent}/{}", name.replace('~', "~0").replace('/', "~1"))
            }
            Path::Index(parent, index) => write!(f, "{parent}/{index}"),
        }
    }
}

/// Deserializes the value at a path, and stores the place of the first duplicate name.
struct UniqueNames<'a> {
    path: Path<'a>,
    duplicate: &'a RefCell<Option<String>>,
}

impl<'de> DeserializeSeed<'de> for UniqueNames<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for UniqueNames<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Number::from_f64(value).map(Value::Number).ok_or_else(|| E::custom("the number is not finite"))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut array = Vec::new();
        loop {
            let path = Path::Index(&self.path, array.len());
            let seed = UniqueNames { path, duplicate: self.duplicate };
            match items.next_element_seed(seed)? {
                Some(item) => array.push(item),
                None => return Ok(Value::Array(array)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(name) = fields.next_key::<String>()? {
            let path = Path::Name(&self.path, &name);
            if object.contains_key(&name) {
                self.duplicate.replace(Some(path.to_string()));
                return Err(A::Error::custom(DUPLICATE_REASON));
            }
            let value = fields.next_value_seed(UniqueNames { path, duplicate: self.duplicate })?;
            object.insert(name, value);
        }
        Ok(Value::Object(object))
    }
}
