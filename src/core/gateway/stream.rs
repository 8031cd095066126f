//! Framing of event streams, with a check of the order of events.

use super::holding;

/// Maximum size of an event, in bytes. A longer one is an error of the server.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Maximum number of bytes between two ids, such as those of comments, in bytes. A faulty server may
/// send bytes that are no events without end.
const MAX_UNNUMBERED_BYTES: usize = 256 * 1024;

/// Maximum capacity of an empty buffer that is kept for the next event, in bytes.
const MAX_KEPT_BYTES: usize = 4 * 1024;

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
///
/// What it knows of the stream never goes beyond the events that it returned: a stream is resumed after the last of
/// these, so that no event is missing.
#[derive(Debug, Default)]
pub struct Framer {
    buffer: Vec<u8>,
    position: Position,
    error: Option<Error>,
}

/// Largest id of the first event of a stream that begins anew. Nothing precedes that event whose id could confirm its
/// own.
const MAX_FIRST_ID: u64 = 1;

/// Where a stream stands after some of its events.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    last_id: Option<u64>,
    /// Whether the last id follows from the events before. That of the first event may be wrong bytes.
    is_confirmed: bool,
    unnumbered_bytes: usize,
}

impl Position {
    /// Returns the position after one more event.
    fn after(mut self, event: &[u8]) -> Result<Self, Error> {
        for line in event.split_inclusive(|&byte| byte == b'\n') {
            let Some(id) = event_id(line) else {
                self.unnumbered_bytes += line.len();
                if self.unnumbered_bytes > MAX_UNNUMBERED_BYTES {
                    return Err(Error::Unnumbered);
                }
                continue;
            };
            self.unnumbered_bytes = 0;
            self.is_confirmed = match self.last_id {
                Some(last) if last.checked_add(1) != Some(id) => {
                    return Err(Error::Order { id, last });
                }
                Some(_) => true,
                None => id <= MAX_FIRST_ID,
            };
            self.last_id = Some(id);
        }
        Ok(self)
    }
}

impl Framer {
    /// Creates a framer for a stream that resumes after an event.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        let position = Position {
            last_id,
            is_confirmed: last_id.is_some(),
            unnumbered_bytes: 0,
        };
        Self {
            position,
            ..Self::default()
        }
    }

    /// Adds bytes, and returns all complete events before the first wrong byte. [`Self::error`] tells whether one
    /// followed.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stream is invalid and no event is left to pass on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Error> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let capacity = self.capacity_for(bytes.len());
        self.buffer.reserve_exact(capacity - self.buffer.len());
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while self.error.is_none()
            && let Some(length) = event_length(&self.buffer[end..])
        {
            match self.position.after(&self.buffer[end..end + length]) {
                Ok(position) => {
                    self.position = position;
                    end += length;
                }
                Err(error) => self.error = Some(error),
            }
        }
        if self.error.is_none() && self.buffer.len() - end > MAX_EVENT_BYTES {
            self.error = Some(Error::TooLong);
        }
        // What waits for the caller takes as much memory as it has bytes.
        let events = self.buffer[..end].to_vec();
        self.buffer.drain(..end);
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_KEPT_BYTES {
            self.buffer = Vec::new();
        }
        match self.error {
            Some(error) if events.is_empty() => Err(error),
            _ => Ok(events),
        }
    }

    /// Returns why nothing after the events that were returned may be passed on.
    pub fn error(&self) -> Option<Error> {
        self.error
    }

    /// Returns the number of bytes that the framer takes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns the number of bytes that the framer takes while it has some more. Where that is more than now, its
    /// buffer is copied to a larger one.
    pub fn capacity_for(&self, bytes: usize) -> usize {
        let capacity = self.buffer.capacity();
        let needed = self.buffer.len() + bytes;
        if needed > capacity {
            holding::next_capacity(capacity, needed, usize::MAX)
        } else {
            capacity
        }
    }

    /// Returns the id of the last event that was returned.
    pub fn last_id(&self) -> Option<u64> {
        self.position.last_id
    }

    /// Returns the id of the event after which the stream can be resumed, `None` if there is none that is certain: a
    /// server that continues after a wrong id would leave out events.
    pub fn resume_id(&self) -> Option<u64> {
        let Position {
            last_id,
            is_confirmed,
            ..
        } = self.position;
        last_id.filter(|_| is_confirmed)
    }

    /// Returns whether the stream is at the end of an event.
    pub fn is_at_boundary(&self) -> bool {
        self.error.is_none() && self.buffer.iter().all(u8::is_ascii_whitespace)
    }
}

/// Returns the length of the first event, with the empty line at its end.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    while let Some(length) = bytes[line..].iter().position(|&byte| byte == b'\n') {
        line += length + 1;
        for end in [b"\n".as_slice(), b"\r\n"] {
            if bytes[line..].starts_with(end) {
                return Some(line + end.len());
            }
        }
    }
    None
}

fn event_id(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line).ok()?;
    text.strip_prefix("id:")?.trim().parse().ok()
}
