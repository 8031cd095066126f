//! Orders to engines, and what engines answer.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::log::Offset,
    names::Name, //
};

/// What an engine is told to do. Orders are idempotent: they name the wanted state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
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
    #[serde(rename = "wish")]
    pub command: Command,
}

/// A model as an engine reports it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LoadedModel {
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
    /// Incarnation of the engine. JSON calls it `start`.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// Models that it has.
    pub models: Vec<LoadedModel>,
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
