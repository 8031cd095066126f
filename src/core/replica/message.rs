//! What the replicas of hosts say to each other.

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

/// A record on its way between hosts, with its digest in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Where the log keeps it.
    pub offset: Offset,
    /// Digest of the whole record, see [`Record::digest`].
    pub digest: u64,
    /// What it holds.
    pub content: Content,
}

/// What a record on its way between hosts holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The record itself.
    Record(Record),
    /// In place of a snapshot its position: who holds the records before needs no more.
    Snapshot(Position),
    /// In place of an anchor that doesn't count.
    Empty,
}

impl Item {
    /// Makes an item of a record that doesn't begin a generation.
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

    /// Returns the record, where it changes anything.
    pub(super) fn record(&self) -> Option<&Record> {
        match &self.content {
            Content::Record(record) => Some(record),
            Content::Snapshot(_) | Content::Empty => None,
        }
    }
}

/// What the replicas of hosts say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// How far the sender is, and how old its news is.
    Digest {
        /// Position of the sender's state.
        position: Position,
        /// Milliseconds since the sender last knew that it had all.
        age_ms: u64,
        /// Whether the sender's state is at least as new as what was accepted before it started.
        current: bool,
        /// Echoes the number of the question that this answers, 0 for none.
        reply_to: u64,
        /// Number of a question, 0 for none.
        query: u64,
    },
    /// Asks for records from a position on.
    Fetch {
        /// First position that the sender lacks.
        from: Position,
    },
    /// Contiguous records, the first of which the receiver holds already where there is one.
    Entries {
        /// Generation of the entries.
        generation: u64,
        /// The records.
        items: Vec<Item>,
    },
    /// The whole state, for one who lacks records that the sender dropped.
    Snapshot(Box<Snapshot>),
    /// The log has lost records: asks how far the receiver is, and to drop reads on their way.
    LossQuery {
        /// Number of the question.
        query: u64,
    },
    /// Answers [`Message::LossQuery`]: reads sent before it have no effect any more.
    LossReply {
        /// Number of the question.
        reply_to: u64,
        /// Position of the sender's state.
        position: Position,
        /// Whether the sender holds what the log holds, as far as it knows.
        follows: bool,
    },
}
