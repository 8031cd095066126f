//! Orders to engines, their answers, and reports of engines.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::log::Offset,
    names::Name, //
};

/// Command to an engine. Commands are idempotent: they name the wanted state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Load a version of a model with its adapters.
    Load {
        /// The model.
        model: Name,
        /// Its version.
        version: Name,
        /// Its adapters.
        adapters: Vec<Name>,
    },
    /// Unload a version of a model.
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
    /// Id of the order, unique within one incarnation of a host.
    pub id: u64,
    /// Pool of the engine.
    pub pool: Name,
    /// The engine.
    pub server: Name,
    /// Fencing number: the log offset of the claim under which the order is issued.
    pub fence: Offset,
    /// The command. JSON calls it `wish`.
    #[serde(rename = "wish")]
    pub command: Command,
}

/// A model that an engine has loaded or is loading.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: Name,
    /// Its version.
    pub version: Name,
    /// Its adapters.
    pub adapters: Vec<Name>,
    /// Whether it can serve. Otherwise it is being loaded.
    pub ready: bool,
}

/// Report of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the engine. JSON calls it `start`.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// Models that are loaded or being loaded.
    pub models: Vec<LoadedModel>,
    /// Highest fencing number that it has obeyed, `None` if it does not check them.
    pub fence: Option<Offset>,
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The engine accepted the order.
    Obeyed,
    /// The engine refused because it has obeyed a newer fencing number.
    Fenced {
        /// The newer fencing number.
        newer: Offset,
    },
    /// The engine refused for another reason.
    Refused(Name),
    /// The answer was lost: the order may have taken effect.
    Unknown,
}
