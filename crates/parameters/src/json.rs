//! Parses JSON and rejects objects with a duplicate key; `serde_json::Value` would silently keep the last value.

use crate::Parsed;
use serde::Deserializer;
use serde::de::{DeserializeSeed, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// Parses a JSON text of any type.
///
/// # Errors
/// Returns the parser's message and position if the text is not JSON, or the name of a duplicate key.
pub fn parse_json(raw: &[u8]) -> Parsed<Value> {
    let mut reader = serde_json::Deserializer::from_slice(raw);
    let parsed = UniqueKeys.deserialize(&mut reader).and_then(|v| reader.end().map(|()| v));
    parsed.map_err(|e| if e.is_data() { e.to_string() } else { format!("not JSON: {e}") })
}

/// Deserializes a [`Value`] whose objects, at every depth, have no duplicate keys.
struct UniqueKeys;

impl<'de> DeserializeSeed<'de> for UniqueKeys {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, reader: D) -> Result<Value, D::Error> {
        reader.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for UniqueKeys {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, v: bool) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_i64<E: Error>(self, v: i64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(v) = elements.next_element_seed(UniqueKeys)? {
            list.push(v);
        }
        Ok(list.into())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = entries.next_key::<String>()? {
            if object.contains_key(&key) {
                return Err(A::Error::custom(format_args!("'{}' is given twice", key.escape_debug())));
            }
            let value = entries.next_value_seed(UniqueKeys)?;
            object.insert(key, value);
        }
        Ok(object.into())
    }
}
