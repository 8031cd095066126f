//! Decisions with their reasons, made from the very values that decided.
//!
//! The log line, the answer to `why` and the decision itself come from one [`Decision`].

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    names::Name,
    time::Instant, //
};

/// One value that took part in a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// What the value is, with its unit, such as `waiting_ms`.
    pub name: Name,
    /// The value.
    pub value: i64,
}

/// A candidate that was considered, with its values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The candidate, such as a backend server.
    pub name: Name,
    /// The values by which it was compared.
    pub values: Vec<Value>,
    /// Why it was passed over, empty for the chosen one.
    pub passed_over: Option<Name>,
}

/// What kind of decision was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A request was admitted or refused.
    Admission,
    /// A call was given to a backend server, or kept waiting.
    Route,
    /// A call was repeated, or not.
    Retry,
    /// An id was prepared, sealed or answered for.
    Outcome,
    /// A model was placed.
    Placement,
    /// An order was given to a model engine.
    Order,
    /// A limit on a backend server changed.
    Limit,
    /// A change of configuration was accepted or voided.
    Configuration,
    /// A host was suspected, removed or admitted.
    Membership,
}

/// One decision and its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// When it was made, on the clock of the process that made it.
    pub at: Instant,
    /// What kind of decision it is.
    pub kind: Kind,
    /// What it is about: a request, a server, a model.
    pub subject: Name,
    /// Which stage of the subject, where it has stages.
    pub stage: Option<Name>,
    /// The rule that decided, in a stable word.
    pub rule: Name,
    /// What was chosen.
    pub choice: Name,
    /// Values that are not those of one candidate.
    pub values: Vec<Value>,
    /// Candidates that were considered.
    pub candidates: Vec<Candidate>,
}

/// Makes a [`Value`].
pub fn value(name: &'static str, value: impl TryInto<i64>) -> Value {
    Value {
        name: Name::from(name),
        value: value.try_into().unwrap_or(i64::MAX),
    }
}
