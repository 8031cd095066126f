//! The state that all hosts agree on, made by applying the log's records in their order.
//!
//! All hosts apply the same rule to the same offsets, so they reach the same verdicts: see
//! `docs/configuration-design.md`.

use std::collections::BTreeMap;

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
        out: bool,
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
}

/// The whole state at a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position that the state stands for.
    pub position: Position,
    /// The state.
    pub state: State,
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
    /// The document.
    pub document: Document,
}

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is in force from this position on.
    Accepted(Position),
    /// It has no effect and never will, for this reason.
    Void(Name),
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
    pub claims: orders::Table,
    /// Verdicts on recent changes by id.
    pub verdicts: BTreeMap<Name, Verdict>,
}
