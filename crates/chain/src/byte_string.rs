//! Serde encoding for shared bytes (`#[serde(with = "byte_string")]`): a single CBOR byte string instead of
//! an array of numbers.

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserializer, Serializer};
use std::fmt;
use std::sync::Arc;

/// Serialises the bytes as a single byte string.
pub fn serialize<S: Serializer>(bytes: &Arc<[u8]>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Deserialises a byte string or an array of numbers.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<[u8]>, D::Error> {
    deserializer.deserialize_byte_buf(BytesVisitor)
}

struct BytesVisitor;

impl<'de> Visitor<'de> for BytesVisitor {
    type Value = Arc<[u8]>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a byte string")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Arc<[u8]>, E> {
        Ok(bytes.into())
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Arc<[u8]>, E> {
        Ok(bytes.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Arc<[u8]>, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = sequence.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes.into())
    }
}
