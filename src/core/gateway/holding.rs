//! Limits on the bytes that a host holds of responses and of other bodies.
//!
//! Servers cut off responses that nobody reads, so a host reads on and holds what its callers don't take yet. All that
//! it holds is bounded. At the bound it stops reading, except that every stream may go on by a little at a time.
//!
//! A body whose size isn't known may have no end. Such bodies are counted while they are read, and together have a
//! bound of their own. At that bound the largest of them is given up, so that those of usual sizes go on.

use std::cmp::Reverse;

/// Share of the process's memory that held responses may take together, in percent. Request bodies, connections and the
/// gateway's tables share the rest.
const MEMORY_PERCENT: u64 = 15;

const BYTES_PER_MB: u64 = 1_000_000;

/// Maximum number of bytes that are held of one stream.
const MAX_STREAM_BYTES: usize = 1024 * 1024;

/// Number of bytes of a response that may be held in any case: some events of a stream.
const MIN_BYTES: usize = 4 * 1024;

/// Share of the limit that unfinished bodies of unknown size may take together, in percent. The rest is left to
/// responses that callers have yet to take.
const UNFINISHED_PERCENT: usize = 50;

/// Bytes that a part of a stream takes besides its content while it waits for its caller: its place in the queue, and
/// the least that the allocator hands out.
const PART_OVERHEAD_BYTES: usize = 96;

/// Least capacity of a buffer, in bytes.
const MIN_CAPACITY: usize = 256;

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

/// Returns the number of bytes that a waiting part of a stream takes.
pub fn part_bytes(length: usize) -> usize {
    length + PART_OVERHEAD_BYTES
}

/// Returns the capacity to which a buffer grows that must hold `needed` bytes, of at most `max` in the end. Doubling
/// keeps the cost of copying in proportion to the size.
pub fn next_capacity(capacity: usize, needed: usize, max: usize) -> usize {
    (capacity * 2).max(MIN_CAPACITY).min(max).max(needed)
}

/// Whether a body of unknown size may grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    /// It may grow now.
    Admitted,
    /// It may grow once callers have taken some of what is held for them.
    Later,
    /// Unfinished bodies take too much together, and the largest of them must be given up.
    Crowded,
}

/// Whom a body is read for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// A request, or a call that may be anyone's.
    Request,
    /// This host itself, which can't work without it: an answer of the store or of another host.
    Control,
}

/// What is held while a body of unknown size is read, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unfinished {
    /// Of this body.
    pub own: usize,
    /// Of all unfinished bodies of unknown size, this one included.
    pub all: usize,
    /// Of everything that is counted, these bodies included.
    pub held: usize,
}

impl Unfinished {
    /// Returns whether the body may grow by some bytes. One is always read, or none would be.
    pub fn growth(self, purpose: Purpose, bytes: usize, limit: usize) -> Growth {
        if self.own + bytes <= MIN_BYTES {
            return Growth::Admitted;
        }
        if self.all > self.own && self.all + bytes > limit * UNFINISHED_PERCENT / 100 {
            return Growth::Crowded;
        }
        // Slow callers mustn't keep the host from reading the store.
        if purpose == Purpose::Request && self.held > self.own && self.held + bytes > limit {
            return Growth::Later;
        }
        Growth::Admitted
    }
}

/// Returns the unfinished body to give up so that `own` can grow by some bytes: the largest of those that are read for
/// requests, with the growth counted. Others are given up only where there is none.
pub fn victim(own: u64, growth: usize, bodies: impl Iterator<Item = (u64, Purpose, usize)>) -> u64 {
    let key = |&(id, purpose, bytes): &(u64, Purpose, usize)| {
        let growth = if id == own { growth } else { 0 };
        (Reverse(purpose), bytes + growth, id == own)
    };
    bodies.max_by_key(key).map_or(own, |(id, ..)| id)
}
