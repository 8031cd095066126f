//! One line of a host's log.

use std::fmt;

use serde_json::{
    Map,
    Value, //
};

use crate::names::Name;

/// A line as a gateway wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it was written, by the host's time of day, in milliseconds since 1970.
    pub at_ms: u64,
    /// The host, as whoever collected the lines names it.
    pub host: Name,
    /// What happened.
    pub message: Name,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line, `None` where it is none of a gateway.
    ///
    /// Collectors put words before the line. The last of them that is no number names the host, and
    /// `source` does where there is none.
    pub fn parse(source: &str, text: &str) -> Option<Self> {
        let (before, object) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let at_ms = fields.remove("at")?.as_u64()?;
        let message = fields.remove("message")?;
        fields.remove("level");
        let words = before.split_whitespace();
        let host = words.rev().find(|word| word.parse::<f64>().is_err());
        Some(Self {
            at_ms,
            host: host.unwrap_or(source).into(),
            message: message.as_str()?.into(),
            fields,
        })
    }

    /// Returns a field that holds text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field that holds a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }
}

impl fmt::Display for Line {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.host, self.message)?;
        for (name, value) in &self.fields {
            match value {
                // The whole story is about one request.
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
