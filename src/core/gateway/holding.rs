//! Limits on the bytes of responses that a host holds for callers that read slowly.
//!
//! Servers cut off responses that nobody reads, so a host reads on and holds what its callers don't take yet. All that
//! it holds is bounded. At the bound it stops reading, except that every stream may go on by a little at a time.

/// Share of the process's memory that held responses may take together, in percent. Request bodies, connections and the
/// gateway's tables share the rest.
const MEMORY_PERCENT: u64 = 15;

const BYTES_PER_MB: u64 = 1_000_000;

/// Maximum number of bytes that are held of one stream.
const MAX_STREAM_BYTES: usize = 1024 * 1024;

/// Number of bytes of a response that may be held in any case: some events of a stream.
const MIN_BYTES: usize = 4 * 1024;

/// Returns the limit on the bytes that are held of all responses, for a process with this memory.
pub fn limit(memory_mb: u64) -> usize {
    let bytes = memory_mb * BYTES_PER_MB * MEMORY_PERCENT / 100;
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

/// What is held, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Of one response.
    pub own: usize,
    /// Of all responses.
    pub all: usize,
}

impl Held {
    /// Returns whether a part of a stream may be held beside what is held already.
    pub fn admits_part(self, bytes: usize, limit: usize) -> bool {
        let own = self.own + bytes;
        // A part that is longer than the minimum has to pass on its own at least.
        self.own == 0 || own <= MIN_BYTES || own <= MAX_STREAM_BYTES && self.all + bytes <= limit
    }

    /// Returns whether a whole response may be read. One is always read, or none would be.
    pub fn admits_whole(self, bytes: usize, limit: usize) -> bool {
        bytes <= MIN_BYTES || self.all == 0 || self.all + bytes <= limit
    }
}
