//! Positions in the topics of the store.
//!
//! An offset alone names no record: a store that returns from an older copy gives offsets out again. See
//! `docs/platform-design.md`.

use serde::{
    Deserialize,
    Serialize, //
};

/// Position in a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Timeline of the store, which ascends each time it returns from an older copy.
    pub timeline: u64,
    /// Offset of the next record.
    pub offset: u64,
}

/// How an answer relates to the timeline of what was read before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// The answer is of the same timeline.
    Same,
    /// The store returned from a copy meanwhile. The topic has to be read from the start.
    Restored,
    /// The answer is late, and of a timeline that has ended.
    Outdated,
}

/// Returns how an answer of a timeline relates to one that is known.
pub fn continuity(known: u64, answered: u64) -> Continuity {
    match answered.cmp(&known) {
        std::cmp::Ordering::Equal => Continuity::Same,
        std::cmp::Ordering::Greater => Continuity::Restored,
        std::cmp::Ordering::Less => Continuity::Outdated,
    }
}
