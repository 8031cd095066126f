//! A log line of a host.

use std::fmt;

use serde_json::{
    Map,
    Value, //
};

use crate::names::Name;

/// A parsed log line of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Time of the line by the host's wall clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// Name of the host, as the log collector states it.
    pub host: Name,
    /// Message, which identifies the kind of event.
    pub message: Name,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line. Returns `None` if it isn't a log line of a gateway.
    ///
    /// Log collectors add a prefix. Its last word that isn't a number is the name of the host.
    /// Without one, the name is `source`.
    pub fn parse(source: &str, text: &str) -> Option<Self> {
        let (prefix, object) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let at_ms = fields.remove("at")?.as_u64()?;
        let message = fields.remove("message")?;
        fields.remove("level");
        let words = prefix.split_whitespace();
        let host = words.rev().find(|word| word.parse::<f64>().is_err());
        Some(Self {
            at_ms,
            host: host.unwrap_or(source).into(),
            message: message.as_str()?.into(),
            fields,
        })
    }

    /// Returns the text of a field.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns the number of a field.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }
}

impl fmt::Display for Line {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.host, self.message)?;
        for (name, value) in &self.fields {
            match value {
                // All lines of a timeline belong to the same request.
                _ if name == "request" => {}
                Value::Null => {}
                Value::String(text) if text.contains(' ') => {
                    write!(formatter, " {name}={text:?}")?;
                }
                Value::String(text) => write!(formatter, " {name}={text}")?,
                value => write!(formatter, " {name}={value}")?,
            }
        }
        Ok(())
    }
}
