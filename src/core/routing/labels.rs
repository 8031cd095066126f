//! Rules, reasons and value names of routing decisions, created once so that a decision allocates
//! little.

use crate::{
    core::decision::Value,
    names::Name, //
};

/// Labels that one pool uses in its decisions.
pub struct Labels {
    /// Rule: the lowest score among the sampled servers with room.
    pub lowest_score: Name,
    /// Rule: a baseline policy.
    pub baseline: Name,
    /// Reason: the candidate had a higher score.
    pub higher_score: Name,
    /// Reason: the candidate failed an earlier attempt of this call.
    pub failed_before: Name,
    /// Reason: the candidate is drained.
    pub drained: Name,
    /// Reason: this host's state is too stale to start work in the candidate's data centre.
    pub stale_state: Name,
    /// Reason: the candidate hasn't loaded the model.
    pub no_model: Name,
    /// Reason: this host's share of the candidate is used up.
    pub no_room: Name,
    /// Value: the score of the candidate.
    pub score: Name,
    /// Value: slots that this host may use.
    pub allowed: Name,
    /// Value: slots that this host uses.
    pub used: Name,
    /// Value: estimated limit of the server.
    pub limit: Name,
    /// Value: estimated calls of all hosts on the server.
    pub estimated: Name,
    /// Value: time spent in the queue.
    pub waited: Name,
    /// Value: time left until the deadline.
    pub left: Name,
    /// Value: calls in the queue.
    pub queued: Name,
    /// Value: whether the server caches the prompt prefix, 0 or 1.
    pub cached: Name,
}

impl Labels {
    /// Creates the labels.
    pub fn new() -> Self {
        Self {
            lowest_score: Name::from("lowest_score"),
            baseline: Name::from("baseline"),
            higher_score: Name::from("higher_score"),
            failed_before: Name::from("failed_before"),
            drained: Name::from("drained"),
            stale_state: Name::from("stale_news"),
            no_model: Name::from("model_not_loaded"),
            no_room: Name::from("no_room_in_share"),
            score: Name::from("score_us"),
            allowed: Name::from("allowed_calls"),
            used: Name::from("used_calls"),
            limit: Name::from("limit_calls"),
            estimated: Name::from("estimated_calls"),
            waited: Name::from("waited_ms"),
            left: Name::from("left_ms"),
            queued: Name::from("queued_calls"),
            cached: Name::from("prefix_cached"),
        }
    }
}

impl Default for Labels {
    fn default() -> Self {
        Self::new()
    }
}

/// Creates a value with a label as its name, without allocation.
pub fn value(label: &Name, value: u64) -> Value {
    Value {
        name: label.clone(),
        value: i64::try_from(value).unwrap_or(i64::MAX),
    }
}
