//! Framing of event streams, with a check of the order of events.

/// Maximum size of an event, in bytes. A longer one is an error of the server.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Maximum number of bytes between two ids, such as those of comments, in bytes. A faulty server may
/// send bytes that are no events without end.
const MAX_UNNUMBERED_BYTES: usize = 256 * 1024;

/// Why a stream is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event exceeds the maximum size.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The bytes are no events: many of them came without an id.
    #[error("{MAX_UNNUMBERED_BYTES} bytes without an id")]
    Unnumbered,
    /// An event is missing, repeated or out of order.
    #[error("event {id} came after event {last}")]
    Order {
        /// Id of the event.
        id: u64,
        /// Id of the event before.
        last: u64,
    },
}

/// Splits a byte stream at the ends of events.
#[derive(Debug, Default)]
pub struct Framer {
    buffer: Vec<u8>,
    last_id: Option<u64>,
    unnumbered_bytes: usize,
}

impl Framer {
    /// Creates a framer for a stream that resumes after an event.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            buffer: Vec::new(),
            last_id,
            unnumbered_bytes: 0,
        }
    }

    /// Adds bytes, and returns all complete events.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stream is invalid and must not be passed on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Error> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buffer) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(Error::TooLong);
            }
            return Ok(Vec::new());
        };
        let rest = self.buffer.split_off(end);
        let complete = std::mem::replace(&mut self.buffer, rest);
        for line in complete.split(|&byte| byte == b'\n') {
            self.check(line)?;
        }
        Ok(complete)
    }

    fn check(&mut self, line: &[u8]) -> Result<(), Error> {
        let Some(id) = event_id(line) else {
            self.unnumbered_bytes += line.len() + 1;
            if self.unnumbered_bytes > MAX_UNNUMBERED_BYTES {
                return Err(Error::Unnumbered);
            }
            return Ok(());
        };
        self.unnumbered_bytes = 0;
        if let Some(last) = self.last_id
            && id != last + 1
        {
            return Err(Error::Order { id, last });
        }
        self.last_id = Some(id);
        Ok(())
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the stream is at the end of an event.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.iter().all(u8::is_ascii_whitespace)
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|two| two == b"\n\n");
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    lf.map(|index| index + 2).max(crlf.map(|index| index + 4))
}

fn event_id(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line).ok()?;
    text.strip_prefix("id:")?.trim().parse().ok()
}
