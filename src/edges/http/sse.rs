//! Parser of server-sent events.

/// Longest line and longest data of an event, in bytes. Anything longer is an error.
const MAX_LINE_BYTES: usize = 256 * 1024;

/// Server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Id, empty if there is none.
    pub id: String,
    /// Event type, empty if there is none.
    pub kind: String,
    /// Data, with lines separated by newlines.
    pub data: String,
}

/// Malformed event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A line, or the data of an event, is longer than the limit.
    #[error("a line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// A line isn't valid UTF-8.
    #[error("a line is not UTF-8")]
    NotUtf8,
}

/// Incremental parser. Chunks may end at any byte.
#[derive(Default)]
pub struct Parser {
    line: Vec<u8>,
    event: Event,
}

impl Parser {
    /// Parses a chunk and returns the events that it completes.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stream is malformed.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, Error> {
        let mut events = Vec::new();
        for &byte in bytes {
            if byte != b'\n' {
                if self.line.len() >= MAX_LINE_BYTES {
                    return Err(Error::TooLong);
                }
                self.line.push(byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let line = String::from_utf8(line).map_err(|_| Error::NotUtf8)?;
            self.parse_line(line.trim_end_matches('\r'), &mut events)?;
        }
        Ok(events)
    }

    fn parse_line(&mut self, line: &str, events: &mut Vec<Event>) -> Result<(), Error> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            if event != Event::default() {
                events.push(event);
            }
            return Ok(());
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = value.to_string(),
            "event" => self.event.kind = value.to_string(),
            "data" => {
                if self.event.data.len() + value.len() > MAX_LINE_BYTES {
                    return Err(Error::TooLong);
                }
                if !self.event.data.is_empty() {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            // The standard requires that comments and unknown fields are ignored.
            _ => {}
        }
        Ok(())
    }
}
