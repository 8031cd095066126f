//! Server-sent events as engines write them.

/// Longest line, in bytes. A server that sends a longer one isn't understood.
const MAX_LINE_BYTES: usize = 256 * 1024;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Its id, empty where it has none.
    pub id: String,
    /// Its type, empty where it has none.
    pub kind: String,
    /// Its data.
    pub data: String,
}

/// Why bytes are no stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A line is longer than the limit.
    #[error("a line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// A line isn't UTF-8.
    #[error("a line is not UTF-8")]
    NotText,
}

/// Cuts bytes into events, whatever the pieces in which they come.
#[derive(Default)]
pub struct Parser {
    line: Vec<u8>,
    event: Event,
}

impl Parser {
    /// Takes some bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// [`Error`] where the bytes are no stream of events.
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
            let line = String::from_utf8(line).map_err(|_| Error::NotText)?;
            self.line(line.trim_end_matches('\r'), &mut events)?;
        }
        Ok(events)
    }

    fn line(&mut self, line: &str, events: &mut Vec<Event>) -> Result<(), Error> {
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
            // Comments and unknown fields are skipped, as the standard asks.
            _ => {}
        }
        Ok(())
    }
}
