//! Records of decisions and their reasons.
//!
//! One [`Decision`] is the source of the log line and of the answer to `why`, so that both have the
//! values that were used.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    names::Name,
    time::Instant, //
};

/// An input value of a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Name of the value with its unit, such as `waiting_ms`.
    pub name: Name,
    /// The value.
    pub value: i64,
}

/// A candidate of a decision, with its values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the candidate, such as a backend server.
    pub name: Name,
    /// Values for the comparison.
    pub values: Vec<Value>,
    /// Why it was rejected. `None` if it wasn't.
    pub passed_over: Option<Name>,
}

/// Kind of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A request was admitted or refused.
    Admission,
    /// A call was sent to a backend server, or kept in the queue.
    Route,
    /// A call was retried, or not.
    Retry,
    /// The outcome of a request id was prepared, sealed or reported.
    Outcome,
    /// The placement of a model changed.
    Placement,
    /// An order was sent to a model engine.
    Order,
    /// The limit of a backend server changed.
    Limit,
    /// A change of the configuration was accepted or voided.
    Configuration,
    /// A host was suspected, removed or admitted.
    Membership,
}

/// A decision and its reasons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Time of the decision, by the clock of the process that made it.
    pub at: Instant,
    /// Kind of the decision.
    pub kind: Kind,
    /// Subject, such as a request, a server or a model.
    pub subject: Name,
    /// Stage of the subject, if it has stages.
    pub stage: Option<Name>,
    /// Stable name of the rule that was applied.
    pub rule: Name,
    /// The result.
    pub choice: Name,
    /// Values that don't belong to one candidate.
    pub values: Vec<Value>,
    /// All candidates.
    pub candidates: Vec<Candidate>,
}

/// Creates a [`Value`]. A number that doesn't fit is capped.
pub fn value(name: &'static str, value: impl TryInto<i64>) -> Value {
    Value {
        name: Name::from(name),
        value: value.try_into().unwrap_or(i64::MAX),
    }
}
