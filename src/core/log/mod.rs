//! Interface of the platform's append-only log.
//!
//! An append may take effect although its reply is lost, or long after it was sent. Records are
//! kept for a limited time. The service has outages, and may lose its newest records in them.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::state::Record;

/// Offset of a record in the log, counted from 0.
pub type Offset = u64;

/// Number that matches a reply of the log to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u64);

/// A record and its offset in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset in the log.
    pub offset: Offset,
    /// The record.
    pub record: Record,
}

/// A request to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a record.
    Append {
        /// Matches the reply.
        token: Token,
        /// The record.
        record: Box<Record>,
    },
    /// Read records from an offset on.
    Read {
        /// Matches the reply.
        token: Token,
        /// First offset to read.
        from: Offset,
    },
}

/// A reply of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An append took effect.
    Appended {
        /// Token of the append.
        token: Token,
        /// Offset of the record.
        offset: Offset,
    },
    /// An append failed, or its reply was lost. It may still take effect.
    AppendUnknown {
        /// Token of the append.
        token: Token,
    },
    /// The reply to a read.
    Read {
        /// Token of the read.
        token: Token,
        /// Oldest offset that the log keeps.
        log_start: Offset,
        /// Offset of the next append.
        log_end: Offset,
        /// Contiguous records from the requested offset on, which may end before the log does.
        entries: Vec<Entry>,
    },
    /// A read failed.
    ReadFailed {
        /// Token of the read.
        token: Token,
    },
}
