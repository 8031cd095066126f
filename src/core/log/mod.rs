//! The platform's append-only log, as the core sees it.
//!
//! An append may take effect while its answer is lost, or take effect late. Records are kept for a
//! limited time. The service has outages, and may come back older than it was.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::state::Record;

/// Offset of a record in the log, counted from 0.
pub type Offset = u64;

/// Number by which the answer to an append or a read is matched to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u64);

/// A record with the offset at which the log keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where the log keeps it.
    pub offset: Offset,
    /// The record.
    pub record: Record,
}

/// What the core asks of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a record.
    Append {
        /// Matches the answer.
        token: Token,
        /// The record.
        record: Box<Record>,
    },
    /// Read records from an offset on.
    Read {
        /// Matches the answer.
        token: Token,
        /// First offset wanted.
        from: Offset,
    },
}

/// What the log answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An append took effect.
    Appended {
        /// The append's token.
        token: Token,
        /// Where the record stands.
        offset: Offset,
    },
    /// An append failed, or its answer was lost: it may still take effect.
    AppendUnknown {
        /// The append's token.
        token: Token,
    },
    /// The answer to a read.
    Read {
        /// The read's token.
        token: Token,
        /// Oldest offset that the log still keeps.
        first: Offset,
        /// Offset that the next append will get.
        end: Offset,
        /// Records from the wanted offset on, contiguous, perhaps not all.
        entries: Vec<Entry>,
    },
    /// A read failed.
    ReadFailed {
        /// The read's token.
        token: Token,
    },
}
