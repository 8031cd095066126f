//! The replicated state, which results from applying the records of the log in order.
//!
//! All hosts apply the same rules to the same records, so they reach the same verdicts: see
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

/// A position in the history of the log. A higher generation starts after the log lost records.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of anchors that started a new generation.
    pub generation: u64,
    /// Offset after the last applied record.
    pub next: Offset,
}

/// Bits of a fencing token that hold the offset, below the generation.
const FENCE_OFFSET_BITS: u32 = 48;

impl Position {
    /// Returns a fencing token, which increases with positions even if the log lost records.
    pub fn fencing_token(self) -> u64 {
        self.generation << FENCE_OFFSET_BITS | self.next
    }
}

/// A change of the configuration by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Id of the change, by which its operator learns the verdict.
    pub id: Name,
    /// Environment that it changes.
    pub environment: Name,
    /// Revision of the environment on which it is based.
    pub based_on: u64,
    /// Changed parts of the document.
    pub edits: Vec<Edit>,
}

/// What an operator drains or puts back into service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Target {
    /// A whole data centre.
    DataCentre(Name),
    /// One backend server: pool and server.
    BackendServer(Name, Name),
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A change of configuration.
    Change(Change),
    /// An operator's order to drain a target or to put it back into service.
    Drain {
        /// Id of the order, by which its operator learns the verdict.
        id: Name,
        /// Target of the order.
        target: Target,
        /// Whether the target is drained.
        drained: bool,
    },
    /// A roster proposed by a host.
    Roster {
        /// Epoch of the roster that it replaces.
        based_on: u64,
        /// Hosts that have a share of every cold server.
        members: Vec<host::Id>,
    },
    /// A controller's claim on model engines.
    Claim(orders::Claim),
    /// The whole state, so that the log may delete older records.
    Snapshot(Box<Snapshot>),
    /// The whole state at the start of a generation, after the log lost applied records.
    Anchor(Box<Anchor>),
}

impl Record {
    /// Returns the id by which an operator learns the verdict, if the record has one.
    pub fn id(&self) -> Option<&Name> {
        match self {
            Self::Change(change) => Some(&change.id),
            Self::Drain { id, .. } => Some(id),
            _ => None,
        }
    }

    /// Returns a digest of the whole record, by which hosts compare their histories.
    pub fn digest(&self) -> u64 {
        let bytes = postcard::to_stdvec(self).expect("records encode");
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

/// The whole state at a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position up to which records are applied.
    pub position: Position,
    /// Digest of the last applied record, 0 for none.
    pub last_digest: u64,
    /// The state.
    pub state: State,
}

/// The start of a new generation of a log that lost records. It is valid only at the offset
/// `log_end`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Anchor {
    /// Generation that it starts.
    pub generation: u64,
    /// End of the log when the anchor was created.
    pub log_end: Offset,
    /// The state at the start of the generation.
    pub snapshot: Snapshot,
}

impl Anchor {
    /// Returns whether the anchor is valid at the offset at which it was appended.
    ///
    /// That is the case if no record was appended between the search of the whole log and the
    /// anchor.
    pub fn is_valid_at(&self, offset: Offset) -> bool {
        offset == self.log_end && self.generation > self.snapshot.position.generation
    }
}

/// A roster of entry hosts with its epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Number of rosters accepted before.
    pub epoch: u64,
    /// The hosts, sorted.
    pub members: Vec<host::Id>,
}

/// An environment, such as production.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Environment {
    /// Number of accepted changes.
    pub revision: u64,
    /// The document, shared with the views that requests read.
    pub document: Arc<Document>,
}

/// Outcome of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is in force from this position on.
    Accepted(Position),
    /// It has no effect and never will, for this reason.
    Void(Name),
    /// It has no effect at this position, but an evicted verdict may have accepted it earlier.
    Forgotten,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Environments by name.
    pub environments: BTreeMap<Name, Environment>,
    /// Drained targets, with the position of the order.
    pub drained: BTreeMap<Target, Position>,
    /// The current roster.
    pub roster: Roster,
    /// The roster before the current one.
    pub previous_roster: Roster,
    /// Claims on model engines.
    pub claims: orders::Claims,
    /// Verdicts on recent changes and drains by id.
    pub verdicts: Verdicts,
    /// Position of the state with which the current generation started.
    pub anchored_from: Position,
}
