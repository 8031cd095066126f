//! Framing of event streams, with a check of the order of events.

use super::holding;

/// Maximum size of an event, in bytes. A longer one is an error of the server.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Maximum number of bytes of comments between two events, in bytes. A faulty server may send them without end.
const MAX_COMMENT_BYTES: usize = 256 * 1024;

/// Maximum capacity of an empty buffer that is kept for the next event, in bytes.
const MAX_KEPT_BYTES: usize = 4 * 1024;

/// Why a stream is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event exceeds the maximum size.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The bytes are no events: only comments came.
    #[error("{MAX_COMMENT_BYTES} bytes of comments without an event")]
    Comments,
    /// A block has no id, so that it is no event of the stream.
    #[error("a block without an id")]
    Unnumbered,
    /// A line is neither a comment nor a field of an event.
    #[error("a line that is no field of an event")]
    Malformed,
    /// An event is missing, repeated or out of order, or has two ids.
    #[error("id {id} came after id {last}")]
    Order {
        /// Id of the event.
        id: u64,
        /// Id before it.
        last: u64,
    },
}

/// Splits a byte stream at the ends of events.
///
/// What it knows of the stream never goes beyond the events that it returned: a stream is resumed after the last of
/// these, so that no event is missing. Comments, and a first event whose id could be any, are returned with the event
/// behind them or with the sound end of the stream: until then it isn't known that they belong to it.
#[derive(Debug, Default)]
pub struct Framer {
    buffer: Vec<u8>,
    // Number of bytes of complete blocks at the start of the buffer that aren't known to belong to the stream.
    unconfirmed: usize,
    // Number of bytes of the block behind them in which no end was found.
    scanned: usize,
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
}

impl Position {
    /// Returns the position after an event.
    fn after(self, id: u64) -> Result<Self, Error> {
        let is_confirmed = match self.last_id {
            Some(last) if last.checked_add(1) != Some(id) => {
                return Err(Error::Order { id, last });
            }
            Some(_) => true,
            None => id <= MAX_FIRST_ID,
        };
        Ok(Self {
            last_id: Some(id),
            is_confirmed,
        })
    }
}

/// A line of a stream.
enum Line {
    Empty,
    Comment,
    Id(u64),
    Field,
}

impl Line {
    fn parse(line: &[u8]) -> Result<Self, Error> {
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|&byte| byte == b':') else {
            return if line.is_empty() {
                Ok(Self::Empty)
            } else {
                Err(Error::Malformed)
            };
        };
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
        match name {
            b"" => Ok(Self::Comment),
            b"id" => {
                let text = std::str::from_utf8(value).map_err(|_| Error::Malformed)?;
                let id = text.trim().parse().map_err(|_| Error::Malformed)?;
                Ok(Self::Id(id))
            }
            name if name.iter().all(is_name) => Ok(Self::Field),
            _ => Err(Error::Malformed),
        }
    }
}

/// Returns the id of a block, `None` if it consists of comments only.
fn block_id(block: &[u8]) -> Result<Option<u64>, Error> {
    let mut found = None;
    let mut has_fields = false;
    for line in block.split_inclusive(|&byte| byte == b'\n') {
        match Line::parse(line)? {
            Line::Empty | Line::Comment => {}
            Line::Field => has_fields = true,
            Line::Id(id) => {
                if let Some(last) = found.replace(id) {
                    return Err(Error::Order { id, last });
                }
            }
        }
    }
    if found.is_none() && has_fields {
        return Err(Error::Unnumbered);
    }
    Ok(found)
}

impl Framer {
    /// Creates a framer for a stream that resumes after an event.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        let position = Position {
            last_id,
            is_confirmed: last_id.is_some(),
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
            && let Some(length) = self.next_block()
        {
            let start = self.unconfirmed;
            let block = &self.buffer[start..start + length];
            let position = block_id(block).and_then(|id| {
                let position = id.map(|id| self.position.after(id));
                position.transpose()
            });
            match position {
                Ok(None) => self.unconfirmed += length,
                Ok(Some(position)) => {
                    self.position = position;
                    self.unconfirmed += length;
                    if position.is_confirmed {
                        end = self.unconfirmed;
                    }
                }
                Err(error) => self.error = Some(error),
            }
        }
        if self.error.is_none() {
            self.error = self.excess(end);
        }
        // What waits for the caller takes as much memory as it has bytes.
        let events = self.buffer[..end].to_vec();
        self.buffer.drain(..end);
        self.unconfirmed -= end;
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_KEPT_BYTES {
            self.buffer = Vec::new();
        }
        match self.error {
            Some(error) if events.is_empty() => Err(error),
            _ => Ok(events),
        }
    }

    /// Returns the error if more is held behind the events that end at `end` than a sound server sends.
    fn excess(&self, end: usize) -> Option<Error> {
        if self.buffer.len() - self.unconfirmed > MAX_EVENT_BYTES {
            return Some(Error::TooLong);
        }
        (self.unconfirmed - end > MAX_COMMENT_BYTES).then_some(Error::Comments)
    }

    /// Returns the length of the next block, with the empty line at its end, if it is complete. The bytes that were
    /// searched before aren't searched again.
    fn next_block(&mut self) -> Option<usize> {
        let block = &self.buffer[self.unconfirmed..];
        let mut line = self.scanned;
        while let Some(length) = block[line..].iter().position(|&byte| byte == b'\n') {
            let next = line + length + 1;
            for end in [b"\n".as_slice(), b"\r\n"] {
                if block[next..].starts_with(end) {
                    self.scanned = 0;
                    return Some(next + end.len());
                }
            }
            if block.len() - next < 2 {
                // The empty line may be incomplete.
                self.scanned = line + length;
                return None;
            }
            line = next;
        }
        self.scanned = block.len();
        None
    }

    /// Returns why nothing after the events that were returned may be passed on.
    pub fn error(&self) -> Option<Error> {
        self.error
    }

    /// Ends the stream, and returns what was not returned yet. Returns `None` if it didn't end soundly.
    pub fn finish(&mut self) -> Option<Vec<u8>> {
        let is_complete = self.error.is_none()
            && self.buffer[self.unconfirmed..]
                .iter()
                .all(u8::is_ascii_whitespace);
        is_complete.then(|| std::mem::take(&mut self.buffer))
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

    /// Returns the id of the event after which the stream can be resumed, `None` if there is none that is certain: a
    /// server that continues after a wrong id would leave out events.
    pub fn resume_id(&self) -> Option<u64> {
        let Position {
            last_id,
            is_confirmed,
        } = self.position;
        last_id.filter(|_| is_confirmed)
    }
}
