//! JSON in which no key comes twice: the usual reader takes the last one and says nothing.

use crate::Parsed;
use serde::Deserializer;
use serde::de::{DeserializeSeed, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// Reads a JSON text.
///
/// # Errors
/// Where it is no JSON, and names a key that is given twice.
pub fn object(raw: &[u8]) -> Parsed<Value> {
    let mut reader = serde_json::Deserializer::from_slice(raw);
    let read = Once.deserialize(&mut reader).and_then(|v| reader.end().map(|()| v));
    read.map_err(|e| if e.is_data() { e.to_string() } else { format!("not JSON: {e}") })
}

struct Once;

impl<'de> DeserializeSeed<'de> for Once {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, reader: D) -> Result<Value, D::Error> {
        reader.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Once {
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

    fn visit_seq<A: SeqAccess<'de>>(self, mut of: A) -> Result<Value, A::Error> {
        let mut all = Vec::new();
        while let Some(v) = of.next_element_seed(Once)? {
            all.push(v);
        }
        Ok(all.into())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut of: A) -> Result<Value, A::Error> {
        let mut all = Map::new();
        while let Some(key) = of.next_key::<String>()? {
            if all.contains_key(&key) {
                return Err(A::Error::custom(format_args!("'{}' is given twice", key.escape_debug())));
            }
            let value = of.next_value_seed(Once)?;
            all.insert(key, value);
        }
        Ok(all.into())
    }
}
