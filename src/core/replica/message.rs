//! Messages between the replicas of hosts.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::{
    log::Offset,
    state::{
        Position,
        Record,
        Snapshot, //
    },
};

/// A log record as hosts exchange it. Snapshots and anchors are sent without their state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Offset of the record in the log.
    pub offset: Offset,
    /// Digest of the whole record, see [`Record::digest`].
    pub digest: u64,
    /// The record or its replacement.
    pub content: Content,
}

/// Content of an [`Item`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The record itself.
    Record(Record),
    /// The position of a snapshot. A host that applied the records before it needs no more.
    Snapshot(Position),
    /// Replaces an anchor that isn't valid at its offset.
    Empty,
}

impl Item {
    /// Creates an item from a record that doesn't start a generation.
    pub(super) fn new(offset: Offset, digest: u64, record: Record) -> Self {
        let content = match record {
            Record::Snapshot(snapshot) => Content::Snapshot(snapshot.position),
            Record::Anchor(_) => Content::Empty,
            record => Content::Record(record),
        };
        Self {
            offset,
            digest,
            content,
        }
    }

    /// Returns the record if it changes the state.
    pub(super) fn record(&self) -> Option<&Record> {
        match &self.content {
            Content::Record(record) => Some(record),
            Content::Snapshot(_) | Content::Empty => None,
        }
    }
}

/// A message between the replicas of two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Position and age of the sender's state.
    Digest {
        /// Position of the sender's state.
        position: Position,
        /// Milliseconds since the sender last knew that it had applied all accepted records.
        age_ms: u64,
        /// Whether the sender's state includes all records accepted before the sender started.
        current: bool,
        /// Number of the query that this answers, 0 for none.
        reply_to: u64,
        /// Number of a query that the receiver should answer, 0 for none.
        query: u64,
    },
    /// Requests the records from a position on.
    Fetch {
        /// First position that the sender lacks.
        from: Position,
    },
    /// Contiguous records. They start with one that the receiver has applied, if there is any, so
    /// that it can compare digests.
    Entries {
        /// Generation of the records.
        generation: u64,
        /// The records.
        items: Vec<Item>,
    },
    /// The whole state, for a receiver that lacks records that the sender no longer keeps.
    Snapshot(Box<Snapshot>),
    /// The log has lost records. Asks for the receiver's position, and to drop outstanding reads.
    LossQuery {
        /// Number of the query.
        query: u64,
    },
    /// Answers [`Message::LossQuery`]. The sender ignores replies to reads sent before.
    LossReply {
        /// Number of the query that this answers.
        reply_to: u64,
        /// Position of the sender's state.
        position: Position,
        /// Whether the sender recently verified that its state matches the log.
        is_following_log: bool,
    },
    /// A drain that the sender is about to append to the log.
    Announce(Box<Record>),
}
