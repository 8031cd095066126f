//! Cuts a stream into whole events and checks their order.

/// Longest event, in bytes. A server that sends a longer one isn't understood.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a stream can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event is longer than the limit.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// An event isn't the one that follows.
    #[error("event {id} came after event {last}")]
    Order {
        /// Its id.
        id: u64,
        /// The id before.
        last: u64,
    },
}

/// Whole events and where they end.
#[derive(Debug, Default)]
pub struct Framer {
    waiting: Vec<u8>,
    last: Option<u64>,
}

impl Framer {
    /// Makes a cutter for a stream that goes on after an event.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self {
            waiting: Vec::new(),
            last,
        }
    }

    /// Takes bytes and returns those that complete events.
    ///
    /// # Errors
    ///
    /// [`Error`] where the bytes are no stream that may be passed on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Error> {
        self.waiting.extend_from_slice(bytes);
        let Some(end) = last_end(&self.waiting) else {
            if self.waiting.len() > MAX_EVENT_BYTES {
                return Err(Error::TooLong);
            }
            return Ok(Vec::new());
        };
        let rest = self.waiting.split_off(end);
        let whole = std::mem::replace(&mut self.waiting, rest);
        for line in whole.split(|&byte| byte == b'\n') {
            self.check(line)?;
        }
        Ok(whole)
    }

    fn check(&mut self, line: &[u8]) -> Result<(), Error> {
        let Some(id) = event_id(line) else {
            return Ok(());
        };
        if let Some(last) = self.last
            && id != last + 1
        {
            return Err(Error::Order { id, last });
        }
        self.last = Some(id);
        Ok(())
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether no event is cut off.
    pub fn is_at_boundary(&self) -> bool {
        self.waiting.iter().all(u8::is_ascii_whitespace)
    }
}

fn last_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|two| two == b"\n\n");
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    lf.map(|at| at + 2).max(crlf.map(|at| at + 4))
}

fn event_id(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line).ok()?;
    text.strip_prefix("id:")?.trim().parse().ok()
}
