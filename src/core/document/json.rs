//! Parsing of documents from JSON, which reports duplicate keys.

use std::{
    collections::BTreeMap,
    fmt,
    sync::Arc, //
};

use serde::de::{
    DeserializeOwned,
    DeserializeSeed,
    Deserializer,
    Error as _,
    MapAccess,
    SeqAccess,
    Visitor, //
};
use serde_json::{
    Map,
    Number,
    Value, //
};

use super::{
    Document, Policies,
    problem::{
        Problems,
        format_names,
        nearest, //
    },
};
use crate::names::Name;

/// Parses a document as far as possible and adds a problem for each part that can't be parsed.
pub(super) fn parse(text: &str, problems: &mut Problems) -> Document {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let mut duplicates = Vec::new();
    let node = Node {
        path: String::new(),
        duplicates: &mut duplicates,
    };
    let value = node.deserialize(&mut deserializer);
    let value = value.and_then(|value| deserializer.end().map(|()| value));
    for path in duplicates {
        let remedy = "keep one of the two and remove the other";
        problems.add(path, "the key stands twice in one object", remedy);
    }
    match value {
        Ok(Value::Object(sections)) => parse_document(sections, problems),
        Ok(_) => {
            problems.add("", "the document isn't an object", "write { … }");
            Document::default()
        }
        Err(error) => {
            problems.add("", format!("not JSON: {error}"), "mend the syntax there");
            Document::default()
        }
    }
}

const SECTIONS: &[&str] = &[
    "data_centres",
    "pools",
    "models",
    "pipelines",
    "services",
    "organisations",
    "policies",
];

fn parse_document(sections: Map<String, Value>, problems: &mut Problems) -> Document {
    let mut document = Document::default();
    for (key, value) in sections {
        match key.as_str() {
            "data_centres" => document.data_centres = parse_parts(&key, value, problems),
            "pools" => document.pools = parse_parts(&key, value, problems),
            "models" => document.models = parse_parts(&key, value, problems),
            "pipelines" => document.pipelines = parse_parts(&key, value, problems),
            "services" => document.services = parse_parts(&key, value, problems),
            "organisations" => document.organisations = parse_parts(&key, value, problems),
            "policies" => {
                document.policies =
                    parse_part::<Policies>(&key, value, problems).unwrap_or_default();
            }
            _ => {
                let remedy = match nearest(&key, SECTIONS) {
                    Some(nearest) => format!("write {nearest:?}"),
                    None => format!("remove it, known are {}", format_names(SECTIONS)),
                };
                problems.add(key, "no such section", remedy);
            }
        }
    }
    document
}

fn parse_parts<T: DeserializeOwned>(
    section: &str,
    value: Value,
    problems: &mut Problems,
) -> BTreeMap<Name, Arc<T>> {
    let Value::Object(entries) = value else {
        problems.add(
            section,
            "the section isn't an object",
            "write { \"name\": { … } }",
        );
        return BTreeMap::new();
    };
    let mut parts = BTreeMap::new();
    for (name, value) in entries {
        let path = format!("{section}.{name}");
        if let Some(part) = parse_part(&path, value, problems) {
            parts.insert(Name::from(name), Arc::new(part));
        }
    }
    parts
}

fn parse_part<T: DeserializeOwned>(path: &str, value: Value, problems: &mut Problems) -> Option<T> {
    match serde_path_to_error::deserialize(value) {
        Ok(part) => Some(part),
        Err(error) => {
            let path = match error.path().to_string().as_str() {
                "." => path.to_owned(),
                inner => format!("{path}.{inner}"),
            };
            let found = error.inner().to_string();
            let remedy = remedy_for(&found);
            problems.add(path, found, remedy);
            None
        }
    }
}

/// Returns the remedy for an error message of the deserialiser.
fn remedy_for(found: &str) -> String {
    let quoted: Vec<&str> = found.split('`').skip(1).step_by(2).collect();
    let is_unknown = found.starts_with("unknown field") || found.starts_with("unknown variant");
    match quoted.split_first() {
        Some((name, known)) if is_unknown => match nearest(name, known) {
            Some(nearest) => format!("write {nearest:?}"),
            None => format!("write one of {}", format_names(known)),
        },
        Some((name, _)) if found.starts_with("missing field") => format!("add {name:?}"),
        _ => "write a value of the type that the message expects".to_owned(),
    }
}

/// Deserialises the value at a path and collects the paths of duplicate keys.
///
/// `serde_json` itself keeps the last of several values without an error.
struct Node<'a> {
    path: String,
    duplicates: &'a mut Vec<String>,
}

impl<'de> DeserializeSeed<'de> for Node<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Node<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
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

    fn visit_f64<E: serde::de::Error>(self, value: f64) -> Result<Value, E> {
        match Number::from_f64(value) {
            Some(number) => Ok(Value::Number(number)),
            None => Err(E::custom("a number is too large")),
        }
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        loop {
            let node = Node {
                path: format!("{}[{}]", self.path, values.len()),
                duplicates: &mut *self.duplicates,
            };
            match seq.next_element_seed(node)? {
                Some(value) => values.push(value),
                None => return Ok(Value::Array(values)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut entries = Map::new();
        while let Some(key) = map.next_key::<String>()? {
            let path = match self.path.as_str() {
                "" => key.clone(),
                path => format!("{path}.{key}"),
            };
            let node = Node {
                path: path.clone(),
                duplicates: &mut *self.duplicates,
            };
            let value = map.next_value_seed(node).map_err(A::Error::custom)?;
            if entries.insert(key, value).is_some() {
                self.duplicates.push(path);
            }
        }
        Ok(Value::Object(entries))
    }
}
