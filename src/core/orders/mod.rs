//! Orders to model engines: one controller for each engine at a time, by claims in the log.
//!
//! How orders are fenced: see `docs/orders-design.md`.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        decision::Decision,
        host,
        log::Offset,
        view::View, //
    },
    names::Name,
    time::Instant,
};

/// A claim of a controller on a group of engines. Its offset in the log is the fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The group of engines, such as all of one pool in one data centre.
    pub group: Name,
    /// Who claims.
    pub controller: host::Id,
    /// Fencing number of the claim that it replaces, `None` for the first.
    pub replaces: Option<Offset>,
}

/// The holder of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Who holds it.
    pub controller: host::Id,
    /// Fencing number.
    pub fence: Offset,
}

/// Claims in force, by group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Holders by group.
    pub holders: BTreeMap<Name, Holder>,
}

/// What an engine is told to do. Orders are idempotent: they name the wanted state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wish {
    /// Load a model with version and adapters.
    Load {
        /// The model.
        model: Name,
        /// Its version.
        version: Name,
        /// Its adapters.
        adapters: Vec<Name>,
    },
    /// Unload a model's version.
    Unload {
        /// The model.
        model: Name,
        /// Its version.
        version: Name,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The order's own id, unique within one life of a host.
    pub id: u64,
    /// Pool of the engine.
    pub pool: Name,
    /// The engine.
    pub server: Name,
    /// Fencing number.
    pub fence: Offset,
    /// What is wanted.
    pub wish: Wish,
}

/// A model as an engine reports it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Loaded {
    /// The model.
    pub model: Name,
    /// Its version.
    pub version: Name,
    /// Its adapters.
    pub adapters: Vec<Name>,
    /// Whether it can serve; otherwise it is being loaded.
    pub ready: bool,
}

/// What an engine reports of itself when it is read back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Which life of the engine this is.
    pub start: u64,
    /// Models that it has.
    pub models: Vec<Loaded>,
    /// Highest fencing number that it has obeyed, where it keeps one.
    pub fence: Option<Offset>,
}

/// How an order was answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The engine obeyed.
    Obeyed,
    /// The engine refused because the fencing number is old.
    Fenced {
        /// The number that it has obeyed.
        newer: Offset,
    },
    /// The engine refused for another reason.
    Refused(Name),
    /// The answer was lost: the order may have taken effect.
    Unknown,
}

/// What a controller is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed, or the view changed.
    Tick,
    /// An engine was read back, or the reading failed.
    Report {
        /// Pool of the engine.
        pool: Name,
        /// The engine.
        server: Name,
        /// What it reports, `None` where it did not answer.
        report: Option<Report>,
    },
    /// An order was answered.
    Ordered {
        /// The order's id.
        id: u64,
        /// How.
        outcome: Outcome,
    },
    /// Demand for a model that this host saw since the last time, in calls.
    Demand {
        /// The model.
        model: Name,
        /// Count of calls.
        calls: u64,
        /// Time that they ran, in milliseconds.
        busy_ms: u64,
    },
}

/// What a controller wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Give an order to an engine.
    Order(Order),
    /// Read an engine's report.
    Read {
        /// Pool of the engine.
        pool: Name,
        /// The engine.
        server: Name,
    },
    /// Append a claim to the log.
    Claim(Claim),
    /// Log a decision.
    Decide(Decision),
}

/// The controller of engines on one host.
pub struct Controller {
    own: host::Id,
}

impl Controller {
    /// Makes a controller that holds no claim.
    pub fn new(own: host::Id, seed: u64) -> Self {
        let _ = seed;
        Self { own }
    }

    /// Takes one event and returns what follows from it.
    pub fn step(&mut self, now: Instant, view: &View, claims: &Table, event: Event) -> Vec<Action> {
        let _ = (now, view, claims, event, &self.own);
        Vec::new()
    }
}
