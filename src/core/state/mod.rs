//! The state that all hosts agree on, made by applying the log's records in their order.
//!
//! All hosts apply the same rule to the same offsets, so they reach the same verdicts: see
//! `docs/configuration-design.md`.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        document::{
            Document,
            Edit, //
        },
        host,
        log::Offset,
        orders, //
    },
    names::Name,
};

mod apply;
pub mod publish;
mod verdicts;

pub use verdicts::Verdicts;

/// A point in the log's order. A higher generation comes after a log that lost records.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// How often the log was anchored anew.
    pub generation: u64,
    /// Number of records of the log that are applied: one past the last offset.
    pub next: Offset,
}

/// Bits of a fencing number that hold the offset, below the generation.
const FENCE_OFFSET_BITS: u32 = 48;

impl Position {
    /// Returns a fencing number that rises also where a log came back shorter.
    pub fn fencing_token(self) -> u64 {
        self.generation << FENCE_OFFSET_BITS | self.next
    }
}

/// A change of configuration, as its operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The change's own id, by which its operator learns the outcome.
    pub id: Name,
    /// The environment that it changes.
    pub environment: Name,
    /// Revision of the environment on which it was based.
    pub based_on: u64,
    /// What it changes.
    pub edits: Vec<Edit>,
}

/// What operators take out or bring back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Target {
    /// A whole data centre.
    DataCentre(Name),
    /// One backend server: pool, server.
    BackendServer(Name, Name),
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A change of configuration.
    Change(Change),
    /// Operators take something out or bring it back.
    Drain {
        /// The order's own id.
        id: Name,
        /// What it is about.
        target: Target,
        /// Whether it's taken out.
        drained: bool,
    },
    /// A host proposes a roster, based on an epoch.
    Roster {
        /// Epoch of the roster before.
        based_on: u64,
        /// The hosts that have a share of every cold server.
        members: Vec<host::Id>,
    },
    /// A controller claims model engines.
    Claim(orders::Claim),
    /// The whole state, so that older records may be forgotten.
    Snapshot(Box<Snapshot>),
    /// The whole state again, after the log lost records that hosts had applied.
    Anchor(Box<Anchor>),
}

impl Record {
    /// Returns the id by which its operator learns the outcome, where it has one.
    pub fn id(&self) -> Option<&Name> {
        match self {
            Self::Change(change) => Some(&change.id),
            Self::Drain { id, .. } => Some(id),
            _ => None,
        }
    }

    /// Returns a digest of the whole record, by which hosts see that they hold the same log.
    pub fn digest(&self) -> u64 {
        let bytes = postcard::to_stdvec(self).expect("records encode");
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

/// The whole state at a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position that the state stands for.
    pub position: Position,
    /// Digest of the last record before the position, 0 for none.
    pub last_digest: u64,
    /// The state.
    pub state: State,
}

/// A new beginning for a log that lost records. It counts only at the offset that it names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Anchor {
    /// Generation that begins.
    pub generation: u64,
    /// Offset at which the log ended when the anchor was made.
    pub log_end: Offset,
    /// The state that goes on.
    pub snapshot: Snapshot,
}

impl Anchor {
    /// Returns whether the anchor counts at the offset at which it landed.
    ///
    /// Nothing landed between the look at the whole log and the anchor, then.
    pub fn is_valid_at(&self, offset: Offset) -> bool {
        offset == self.log_end && self.generation > self.snapshot.position.generation
    }
}

/// A roster of entry hosts and the epoch at which it was accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Number of rosters accepted before.
    pub epoch: u64,
    /// The hosts, sorted.
    pub members: Vec<host::Id>,
}

/// One environment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Environment {
    /// Number of changes accepted so far.
    pub revision: u64,
    /// The document, shared with the views that requests read.
    pub document: Arc<Document>,
}

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is in force from this position on.
    Accepted(Position),
    /// It has no effect and never will, for this reason.
    Void(Name),
    /// It has no effect here, but its verdict may have been given long ago and been forgotten.
    Forgotten,
}

/// The state that all hosts agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Environments by name.
    pub environments: BTreeMap<Name, Environment>,
    /// What is taken out, with the position of the order.
    pub drained: BTreeMap<Target, Position>,
    /// The current roster.
    pub roster: Roster,
    /// The roster before, until every member of it is known to have left it.
    pub previous_roster: Roster,
    /// Claims on model engines.
    pub claims: orders::Claims,
    /// Verdicts on recent changes by id.
    pub verdicts: Verdicts,
    /// Position from which the current generation was anchored.
    pub anchored_from: Position,
}
